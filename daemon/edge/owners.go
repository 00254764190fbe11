package edge

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// ownersReadSpacing is the shortest time between two reads of the owners of one service after missed changes.
	ownersReadSpacing = 300 * time.Millisecond
	// coordinatorSilence is how long announcements of the coordinator may be missing before the owners are read instead.
	coordinatorSilence = 2 * time.Second
	// ownersMirrorSpacing is the shortest time between two queries to neighbours for owners. Requests in between go to the
	// store.
	ownersMirrorSpacing = time.Second
	// silentReadSpacing is the time between two reads of the owners while they are unknown or the coordinator is silent.
	silentReadSpacing = 2 * time.Second
)

// ownerChange announces new owners of keys. The version of an owner table is its NextFence: base is the version before the
// change, next the version after it. Without ranges it only announces that version next is in force.
type ownerChange struct {
	service types.Service
	base    types.Epoch
	next    types.Epoch
	ranges  []keyspace.Range
}

// rangesPerDatagram limits a change of owners to one datagram of usual size.
const rangesPerDatagram = 30

// parts splits a change into changes that fit a datagram. The fences of a change are consecutive, so the base of each part is
// the next version of the part before; a VM that misses a part sees the gap.
func (c ownerChange) parts() []ownerChange {
	if len(c.ranges) <= rangesPerDatagram {
		return []ownerChange{c}
	}
	var list []ownerChange
	ranges := slices.SortedFunc(slices.Values(c.ranges), func(a, b keyspace.Range) int { return cmp.Compare(a.Fence, b.Fence) })
	base := c.base
	for part := range slices.Chunk(ranges, rangesPerDatagram) {
		next := part[len(part)-1].Fence + 1
		list = append(list, ownerChange{service: c.service, base: base, next: next, ranges: part})
		base = next
	}
	list[len(list)-1].next = c.next
	return list
}

// ownersRequest asks the owner reader for the owners of a service.
type ownersRequest struct{ service types.Service }

// ownersRead is the result of an ownersRequest.
type ownersRead struct {
	service types.Service
	table   keyspace.Table
	err     error
}

// ownerReader reads owner tables from the store for the store cache.
type ownerReader struct {
	in    *ring.Ring[ownersRequest]
	out   *ring.Ring[any]
	store store.Store
}

func (r *ownerReader) duty() duty.Duty { return duty.Duty{Name: "owner-reader", Run: r.run} }

func (r *ownerReader) run(ctx context.Context) error {
	r.in.Serve(ctx, func(req ownersRequest) error { return r.out.Put(ctx, r.read(ctx, req.service)) })
	return nil
}

func (r *ownerReader) read(ctx context.Context, s types.Service) ownersRead {
	t, _, err := readTable(ctx, r.store, s)
	return ownersRead{service: s, table: t, err: err}
}

// readTable reads the owner table of a service from the store, and its revision, also if there is no table. It returns the faults of store.Store, and a
// CodeBadConfiguration fault for an invalid document.
func readTable(ctx context.Context, from store.Store, s types.Service) (keyspace.Table, types.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	e, err := from.Get(ctx, ownersKey(s))
	if err != nil {
		return keyspace.Table{}, e.Revision, err
	}
	t, err := decodeTable(e.Value)
	return t, e.Revision, err
}

// applyOwnerChange applies a change whose base is the known version, and requests the whole table if a change was missed.
func (sc *storeCache) applyOwnerChange(ctx context.Context, c ownerChange) {
	sc.ownersAnnouncedAt = sc.now()
	t, known := sc.owners[c.service]
	switch {
	case known && t.NextFence >= c.next:
		return
	case !known || t.NextFence < c.base || len(c.ranges) == 0:
		sc.requestOwners(c.service, ownersReadSpacing)
		return
	}
	t = t.Clone()
	for _, r := range c.ranges {
		t.Assign(r)
	}
	t.NextFence = c.next
	sc.setOwners(ctx, c.service, t)
}

// applyOwnersRead takes a table that was read if it is newer than the known one.
func (sc *storeCache) applyOwnersRead(ctx context.Context, r ownersRead) {
	if r.err != nil {
		if types.CodeOf(r.err) != types.CodeNotFound {
			sc.log.Warn("owners of keys not read", log.Fields{"service": r.service, "error": r.err.Error()})
		}
		return
	}
	if old, known := sc.owners[r.service]; known && r.table.NextFence <= old.NextFence {
		return
	}
	sc.setOwners(ctx, r.service, r.table)
}

// applyMirroredOwners takes owners from the mirror of another VM. If they are older than the store's, the only effect is that
// targets refuse requests, because targets check their grants.
func (sc *storeCache) applyMirroredOwners(ctx context.Context, u update) {
	for _, e := range u.entries {
		t, err := decodeTable(e.Value)
		sc.applyOwnersRead(ctx, ownersRead{service: types.Service(strings.TrimPrefix(e.Key, ownerPrefix)), table: t, err: err})
	}
}

// setOwners records the owners of a service and passes them to admission.
func (sc *storeCache) setOwners(ctx context.Context, s types.Service, t keyspace.Table) {
	sc.owners[s] = t
	sc.log.Info("owners of keys", log.Fields{"service": s, "ranges": len(t.Ranges), "nextFence": t.NextFence})
	sc.deliver(ctx, sc.admission, admission.Owners{Service: s, Table: t})
	if sc.era > 0 {
		sc.deliver(ctx, sc.coordinator, ownersKnown{service: s, table: t})
	}
}

// requestOwners requests the owners of a service from a neighbour or the store, unless the last request was less than spacing
// ago.
func (sc *storeCache) requestOwners(s types.Service, spacing time.Duration) {
	now := sc.now()
	if at, ok := sc.ownersRequestedAt[s]; ok && now.Before(at.Add(spacing)) {
		return
	}
	sc.ownersRequestedAt[s] = now
	if address, ok := sc.ownersMirror(now); ok && now.Sub(sc.ownersMirroredAt) > ownersMirrorSpacing {
		sc.ownersMirroredAt = now
		sc.queueMirrorRequest(ownerPrefix, address)
		return
	}
	_ = sc.ownersRequests.Replace(ownersRequest{service: s})
}

// ownersMirror returns the address of a watching VM of the data centre to read owners from, so that not every VM calls the
// store after a missed change. ok is false on watching VMs, which read the store themselves, and while no watching neighbour
// is heard.
func (sc *storeCache) ownersMirror(now types.Instant) (address string, ok bool) {
	list := sc.heardWatchers(now)
	if sc.watchState.active || len(list) == 0 {
		return "", false
	}
	sc.nextMirror++
	return list[sc.nextMirror%len(list)].MirrorAddress, true
}

// refreshOwners requests owners that are not known, and all owners while the coordinator is silent.
func (sc *storeCache) refreshOwners(now types.Instant) {
	if sc.configuration == nil {
		return
	}
	for name, s := range sc.configuration.Services() {
		if !s.Keyed {
			continue
		}
		if _, known := sc.owners[name]; !known || now.Sub(sc.ownersAnnouncedAt) > coordinatorSilence {
			sc.requestOwners(name, silentReadSpacing)
		}
	}
}
