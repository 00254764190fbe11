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
	// Returned is true shortly after the store was away: registrations that are missing may come back.
	Returned bool
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
	for {
		q, err := m.in.Get(ctx)
		if err != nil {
			return nil
		}
		a, err := m.ask(ctx, q)
		if err != nil {
			m.log.Warn("no answer from the mirror", log.Fields{"address": q.address, "error": err.Error()})
			continue
		}
		if !a.Newer {
			continue
		}
		u := update{prefix: q.question.Prefix, snapshot: true, mirrored: true, entries: a.Entries, revision: a.Revision, returned: a.Returned}
		if m.out.Put(ctx, u) != nil {
			return nil
		}
	}
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

// answerMirror tells another VM the keys of a prefix, if this VM watches the store and knows more.
func (k *knowledge) answerMirror(now types.Instant, m mirrorRead) {
	c := k.contents[m.question.Prefix]
	a := MirrorAnswer{}
	if c != nil && k.watching.on && !c.away && k.inTouch(now) && c.known > m.question.Known {
		a = MirrorAnswer{Newer: true, Revision: c.known, Returned: k.registry.Returning(now)}
		for _, e := range c.entries {
			a.Entries = append(a.Entries, e)
		}
	}
	m.reply <- a
}

// askMirror asks another VM of the data centre, while the store does not answer this one.
func (k *knowledge) askMirror(now types.Instant) {
	others := k.neighbours()
	if len(others) == 0 {
		return
	}
	for prefix, c := range k.contents {
		if (!c.away && k.inTouch(now)) || now.Before(c.mirrorAt) {
			continue
		}
		c.mirrorAt = now.Add(awaySpacing)
		k.ask(prefix, c, others[k.turn%len(others)])
		k.turn++
	}
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
