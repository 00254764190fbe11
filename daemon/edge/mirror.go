package edge

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/rpc"
	"slices"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// mirrorCallTimeout bounds the time to connect to another VM, and the time without a byte of its answer.
	mirrorCallTimeout = 400 * time.Millisecond
	// mirrorTransferTimeout bounds a query, so that there is time for one to another VM within the platform's bound. All VMs of a data
	// centre ask at the same moment for a new configuration, and a transfer that is cut off starts from its beginning.
	mirrorTransferTimeout = 1200 * time.Millisecond
	// mirrorSpacing is the shortest time between two queries for one prefix after digests of neighbours.
	mirrorSpacing = 100 * time.Millisecond
	// unavailableSpacing is the time between two queries for one prefix while the store is unavailable to this VM.
	unavailableSpacing = 600 * time.Millisecond
	// maxMirrorAnswerBytes bounds the answer to a query. The configuration has at most 1 MB, a registration about 400 bytes.
	maxMirrorAnswerBytes = 8 << 20
	// mirrorMethod is the net/rpc method of a query.
	mirrorMethod = "Mirror.Read"
)

// MirrorQuestion is the argument of Mirror.Read: it asks a VM for its copy of a prefix of the store.
type MirrorQuestion struct {
	Prefix string
	// Known is the store revision up to which the caller knows the prefix, 0 if it knows nothing.
	Known types.Revision
	// NewestRevision, Count and Hash are those of the caller's digest of the prefix.
	NewestRevision types.Revision
	Count          int
	Hash           uint64
	// AcceptsChanges is true if the caller takes the changes since Known in place of all entries.
	AcceptsChanges bool
}

// MirrorAnswer is the result of Mirror.Read: the entries of the prefix if they are newer than the caller's.
type MirrorAnswer struct {
	Newer bool
	// Same is true if the caller's copy has the same keys and revisions as this VM's, which was current Age ago.
	Same     bool
	Revision types.Revision
	Entries  []store.Entry
	// Partial is true if Changes holds the changes since the caller's Known, in place of Entries. Hash is that of the whole copy.
	// In a large fleet all entries would fill the link of the VM that answers.
	Partial bool
	Changes []store.Event
	Hash    uint64
	// Age is how long ago the copy was proved to be current.
	Age time.Duration
	// GraceLeft is how long missing registrations are still kept after a store outage, because their targets may register
	// again.
	GraceLeft time.Duration
}

// mirrorQuery is a question of another VM, in the ring of the store cache.
type mirrorQuery struct {
	question MirrorQuestion
	reply    chan MirrorAnswer
}

// Mirror is the net/rpc service that gives other VMs a copy of the store's content while the store is unavailable to them or
// they have missed a change.
type Mirror struct {
	storeCache *ring.Ring[any]
}

// Read answers from this VM's store cache. It returns a CodeTimeout fault if the duty does not answer within
// mirrorCallTimeout.
func (m *Mirror) Read(q MirrorQuestion, a *MirrorAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), mirrorCallTimeout)
	defer cancel()
	r := mirrorQuery{question: q, reply: make(chan MirrorAnswer, 1)}
	if err := m.storeCache.Put(ctx, r); err != nil {
		return err
	}
	select {
	case *a = <-r.reply:
		return nil
	case <-ctx.Done():
		return types.NewFault(types.CodeTimeout, "the store cache did not answer in time")
	}
}

// mirrorRequest is a query for the mirror client to send to the VM at address.
type mirrorRequest struct {
	question MirrorQuestion
	address  string
	// shown is the revision that the digest of the VM at address showed, 0 without a digest.
	shown types.Revision
}

// mirrorClient sends queries to other VMs, one at a time.
type mirrorClient struct {
	in  *ring.Ring[mirrorRequest]
	out *ring.Ring[any]
	// query sends one query.
	query mirrorQuerier
	log   *telemetry.Log
	// toldRevisions holds the revision of the latest copy of each prefix that was passed on.
	toldRevisions map[string]types.Revision
}

func newMirrorClient(in *ring.Ring[mirrorRequest], out *ring.Ring[any], query mirrorQuerier, l *telemetry.Log) *mirrorClient {
	return &mirrorClient{in: in, out: out, query: query, log: l, toldRevisions: make(map[string]types.Revision)}
}

// mirrorQuerier sends a query to the VM at address. It returns a CodePeerUnavailable fault if no byte of the answer arrives for
// mirrorCallTimeout, or if the answer is not complete within mirrorTransferTimeout.
type mirrorQuerier func(ctx context.Context, address string, q MirrorQuestion) (MirrorAnswer, error)

func (m *mirrorClient) duty() duty.Duty { return duty.Duty{Name: "mirror-client", Run: m.run} }

func (m *mirrorClient) run(ctx context.Context) error {
	m.in.Serve(ctx, func(q mirrorRequest) error { return m.handle(ctx, q) })
	return nil
}

// handle sends a query and passes newer entries to the store cache. A query is dropped if an answer has told the revision that it is for
// since it was queued.
func (m *mirrorClient) handle(ctx context.Context, q mirrorRequest) error {
	told := m.toldRevisions[q.question.Prefix]
	if known := q.question.Known; known > 0 && known < told && q.shown <= told {
		return nil
	}
	a, err := m.query(ctx, q.address, q.question)
	if err != nil {
		m.log.Warn("mirror query failed", log.Fields{"address": q.address, "error": err.Error()})
		return nil
	}
	if a.Same {
		return m.out.Put(ctx, update{prefix: q.question.Prefix, mirrored: true, same: true, revision: q.question.Known, age: a.Age})
	}
	if !a.Newer {
		m.log.Info("another VM has nothing newer", log.Fields{"prefix": q.question.Prefix, "known": q.question.Known, "address": q.address})
		return nil
	}
	m.toldRevisions[q.question.Prefix] = a.Revision
	if a.Partial {
		return m.out.Put(ctx, update{
			prefix: q.question.Prefix, changes: true, mirrored: true, events: a.Changes, hash: a.Hash, revision: a.Revision, age: a.Age,
			graceLeft: a.GraceLeft,
		})
	}
	return m.out.Put(ctx, update{
		prefix: q.question.Prefix, snapshot: true, mirrored: true, entries: a.Entries, revision: a.Revision, age: a.Age, graceLeft: a.GraceLeft,
	})
}

// queryMirror opens a new connection for each query, because queries are only sent while the store is unavailable or a change
// was missed.
func queryMirror(ctx context.Context, address string, q MirrorQuestion) (a MirrorAnswer, err error) {
	d := net.Dialer{Timeout: mirrorCallTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return a, types.WrapFault(types.CodePeerUnavailable, err, "connect to %s", address)
	}
	_ = conn.SetDeadline(time.Now().Add(mirrorCallTimeout))
	client := rpc.NewClient(boundedConn{
		Conn: conn, in: io.LimitReader(conn, maxMirrorAnswerBytes), end: time.Now().Add(mirrorTransferTimeout),
	})
	defer client.Close()
	if err := client.Call(mirrorMethod, q, &a); err != nil {
		return a, types.WrapFault(types.CodePeerUnavailable, err, "query the mirror at %s", address)
	}
	return a, nil
}

// boundedConn is a connection of which only the bytes of in are read, until end. net/rpc has no limit for a message.
type boundedConn struct {
	net.Conn
	in  io.Reader
	end time.Time
}

// Read implements net.Conn. Bytes that arrive extend the deadline of the next ones.
func (b boundedConn) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if n > 0 {
		next := time.Now().Add(mirrorCallTimeout)
		if next.After(b.end) {
			next = b.end
		}
		_ = b.SetReadDeadline(next)
	}
	return n, err
}

// answerMirrorQuery returns the entries of a prefix if this VM's copy was current a short time ago and is newer than the
// caller's. A caller that knows nothing gets this VM's copy, however old.
func (sc *storeCache) answerMirrorQuery(now types.Instant, m mirrorQuery) {
	q := m.question
	a := MirrorAnswer{}
	c := sc.prefixCache[q.Prefix]
	switch {
	case q.Prefix == ownerPrefix:
		a = sc.mirroredOwners()
	case c == nil || c.knownRevision == 0:
	case q.Known > 0 && c.matches(digest{prefix: q.Prefix, newestRevision: q.NewestRevision, count: q.Count, hash: q.Hash}):
		a = MirrorAnswer{Same: now.Sub(c.confirmedAt) <= sc.reliance, Age: now.Sub(c.confirmedAt)}
	case c.knownRevision <= q.Known:
	case q.Known == 0 || now.Sub(c.confirmedAt) <= sc.reliance:
		a = MirrorAnswer{
			Newer: true, Revision: c.knownRevision, Age: now.Sub(c.confirmedAt), GraceLeft: sc.registry.GraceLeft(now),
		}
		if changes, ok := c.changesSince(q.Known); ok && q.AcceptsChanges {
			a.Partial, a.Changes, a.Hash = true, changes, c.hash
			break
		}
		for _, e := range c.entries {
			a.Entries = append(a.Entries, e)
		}
	}
	m.reply <- a
}

// mirroredOwners returns the owners of keys in the encoding of the store.
func (sc *storeCache) mirroredOwners() MirrorAnswer {
	a := MirrorAnswer{Newer: len(sc.owners) > 0}
	for s, t := range sc.owners {
		value, err := encodeTable(t)
		if err != nil {
			sc.log.Warn("owners of keys left out of the mirror answer", log.Fields{"service": s, "error": err.Error()})
			continue
		}
		a.Entries = append(a.Entries, store.Entry{Key: ownersKey(s), Value: value})
	}
	return a
}

// queryMirrors queries other VMs in place of an unavailable store: those of the data centre, or the seeds of the settings
// while no other VM is known.
func (sc *storeCache) queryMirrors(now types.Instant) {
	if sc.storeReachable(now) && !sc.anyUnavailable() {
		return
	}
	addresses := sc.mirrorAddresses()
	if len(addresses) == 0 {
		return
	}
	for prefix, c := range sc.prefixCache {
		if (!c.unavailable && sc.storeReachable(now)) || now.Sub(c.mirrorQueriedAt) < unavailableSpacing {
			continue
		}
		c.mirrorQueriedAt = now
		sc.queueMirrorRequest(prefix, addresses[sc.nextMirror%len(addresses)])
	}
	if sc.configuration != nil && len(sc.owners) == 0 && !sc.storeReachable(now) {
		sc.queueMirrorRequest(ownerPrefix, addresses[sc.nextMirror%len(addresses)])
	}
	sc.nextMirror++
}

// anyUnavailable reports whether the latest read of any prefix failed.
func (sc *storeCache) anyUnavailable() bool {
	for _, c := range sc.prefixCache {
		if c.unavailable {
			return true
		}
	}
	return false
}

// mirrorAddresses returns the addresses of the neighbours, or else of the seeds, without this VM.
func (sc *storeCache) mirrorAddresses() []string {
	var list []string
	for _, m := range sc.neighbours() {
		list = append(list, m.MirrorAddress)
	}
	if len(list) > 0 {
		return list
	}
	for _, s := range sc.seeds {
		if s != sc.entry.MirrorAddress {
			list = append(list, s)
		}
	}
	return list
}

// neighbours returns the other VMs of the data centre, ordered by name.
func (sc *storeCache) neighbours() []vmEntry {
	var list []vmEntry
	for name := range sc.vms {
		if sc.isNeighbour(name) {
			list = append(list, sc.vms[name])
		}
	}
	slices.SortFunc(list, func(a, b vmEntry) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// isNeighbour reports whether a VM is another VM of the data centre.
func (sc *storeCache) isNeighbour(name types.VM) bool {
	m, ok := sc.vms[name]
	return ok && name != sc.vm && m.DataCentre == sc.entry.DataCentre
}
