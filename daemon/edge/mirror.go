package edge

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// mirrorCall bounds a question to another VM.
	mirrorCall = 400 * time.Millisecond
	// mirrorSpacing spaces the questions about one prefix.
	mirrorSpacing = 100 * time.Millisecond
	// awaySpacing is the same while the store turns this VM away.
	awaySpacing = 600 * time.Millisecond
	// mirrorMethod is the name of the call between VMs.
	mirrorMethod = "Mirror.Read"
)

// MirrorQuestion asks a VM for what it knows of a prefix of the store.
type MirrorQuestion struct {
	Prefix string
	// Known is the revision of the store up to which the asker knows the prefix.
	Known types.Revision
}

// MirrorAnswer holds the keys of the prefix if they are newer than the asker's.
type MirrorAnswer struct {
	Newer    bool
	Revision types.Revision
	Entries  []store.Entry
	// GraceLeft is how long registrations that are missing may still come back, after the store was away.
	GraceLeft time.Duration
}

// mirrorRead passes a question to the knowledge duty.
type mirrorRead struct {
	question MirrorQuestion
	reply    chan MirrorAnswer
}

// Mirror is the net/rpc service that other VMs ask while the store turns them away.
type Mirror struct {
	knowledge *ring.Ring[any]
}

// Read answers from what this VM knows. It returns a CodeTimeout fault when the knowledge duty does not answer in time.
func (m *Mirror) Read(q MirrorQuestion, a *MirrorAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), mirrorCall)
	defer cancel()
	r := mirrorRead{question: q, reply: make(chan MirrorAnswer, 1)}
	if err := m.knowledge.Put(ctx, r); err != nil {
		return err
	}
	select {
	case *a = <-r.reply:
		return nil
	case <-ctx.Done():
		return types.NewFault(types.CodeTimeout, "the mirror is busy")
	}
}

// mirrorAsk orders a question to another VM.
type mirrorAsk struct {
	question MirrorQuestion
	address  string
}

// mirrorClient asks other VMs, one question at a time.
type mirrorClient struct {
	in  *ring.Ring[mirrorAsk]
	out *ring.Ring[any]
	log *telemetry.Log
}

func (m *mirrorClient) duty() duty.Duty { return duty.Duty{Name: "mirror-client", Run: m.run} }

func (m *mirrorClient) run(ctx context.Context) error {
	m.in.Serve(ctx, func(q mirrorAsk) error { return m.answer(ctx, q) })
	return nil
}

// answer asks a question and passes on what is newer.
func (m *mirrorClient) answer(ctx context.Context, q mirrorAsk) error {
	a, err := m.ask(ctx, q)
	if err != nil {
		m.log.Warn("no answer from the mirror", log.Fields{"address": q.address, "error": err.Error()})
		return nil
	}
	if !a.Newer {
		return nil
	}
	return m.out.Put(ctx, update{
		prefix: q.question.Prefix, snapshot: true, mirrored: true, entries: a.Entries, revision: a.Revision, graceLeft: a.GraceLeft,
	})
}

// ask opens a connection for each question, because questions come only while the store turns this VM away.
func (m *mirrorClient) ask(ctx context.Context, q mirrorAsk) (a MirrorAnswer, err error) {
	d := net.Dialer{Timeout: mirrorCall}
	conn, err := d.DialContext(ctx, "tcp", q.address)
	if err != nil {
		return a, types.WrapFault(types.CodePeerUnavailable, err, "reach %s", q.address)
	}
	_ = conn.SetDeadline(time.Now().Add(mirrorCall))
	client := rpc.NewClient(conn)
	defer client.Close()
	if err := client.Call(mirrorMethod, q.question, &a); err != nil {
		return a, types.WrapFault(types.CodePeerUnavailable, err, "ask %s", q.address)
	}
	return a, nil
}

// answerMirror tells another VM the keys of a prefix, if this VM watches the store and knows more. A VM that knows nothing
// gets what this one has, however old.
func (k *knowledge) answerMirror(now types.Instant, m mirrorRead) {
	q := m.question
	a := MirrorAnswer{}
	c := k.contents[q.Prefix]
	switch {
	case q.Prefix == ownerPrefix:
		a = k.mirrorOwners()
	case c == nil || c.known <= q.Known:
	case q.Known == 0 || (k.watching.on && !c.away && k.inTouch(now)):
		a = MirrorAnswer{Newer: true, Revision: c.known, GraceLeft: k.registry.GraceLeft(now)}
		for _, e := range c.entries {
			a.Entries = append(a.Entries, e)
		}
	}
	m.reply <- a
}

// mirrorOwners returns the owners of keys as the store holds them.
func (k *knowledge) mirrorOwners() MirrorAnswer {
	a := MirrorAnswer{Newer: len(k.owners) > 0}
	for s, t := range k.owners {
		value, err := encodeTable(t)
		if err != nil {
			k.log.Warn("owners of keys not told", log.Fields{"service": s, "error": err.Error()})
			continue
		}
		a.Entries = append(a.Entries, store.Entry{Key: ownersKey(s), Value: value})
	}
	return a
}

// askMirror asks other VMs in place of the store: those of the data centre, or the seeds of the settings while no other VM
// is known.
func (k *knowledge) askMirror(now types.Instant) {
	if k.inTouch(now) && !k.anyAway() {
		return
	}
	addresses := k.mirrorAddresses()
	if len(addresses) == 0 {
		return
	}
	for prefix, c := range k.contents {
		if (!c.away && k.inTouch(now)) || now.Before(c.mirrorAt) {
			continue
		}
		c.mirrorAt = now.Add(awaySpacing)
		k.ask(prefix, c.known, addresses[k.turn%len(addresses)])
	}
	if k.configuration != nil && len(k.owners) == 0 && !k.inTouch(now) {
		k.ask(ownerPrefix, 0, addresses[k.turn%len(addresses)])
	}
	k.turn++
}

func (k *knowledge) anyAway() bool {
	for _, c := range k.contents {
		if c.away {
			return true
		}
	}
	return false
}

func (k *knowledge) mirrorAddresses() []string {
	var list []string
	for _, m := range k.neighbours() {
		list = append(list, m.MirrorAddress)
	}
	if len(list) > 0 {
		return list
	}
	for _, s := range k.seeds {
		if s != k.entry.MirrorAddress {
			list = append(list, s)
		}
	}
	return list
}

// neighbours returns the other VMs of the data centre, ordered by name.
func (k *knowledge) neighbours() []vmEntry {
	var list []vmEntry
	for _, name := range k.vmNames() {
		if m := k.vms[name]; name != k.vm && m.DataCentre == k.entry.DataCentre {
			list = append(list, m)
		}
	}
	return list
}
