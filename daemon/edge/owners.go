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
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// ownersRetry spaces the reads of the owners of one service.
	ownersRetry = 300 * time.Millisecond
	// keeperSilence is how long the keeper may say nothing before the owners are read from the store.
	keeperSilence = 2 * time.Second
	// mirrorTrust is how long after a question to a neighbour the store is asked, if the owners are still missing.
	mirrorTrust = time.Second
	// silentRead spaces those reads.
	silentRead = 2 * time.Second
)

// ownerChange tells new owners of keys. base and next are the versions of the table before and after; without ranges
// it only tells that next is in force.
type ownerChange struct {
	service types.Service
	base    types.Epoch
	next    types.Epoch
	ranges  []keyspace.Range
}

// rangesPerDatagram keeps a change of owners in one datagram of usual size.
const rangesPerDatagram = 30

// parts divides a change into such that fit a datagram. The fences of a change follow one another, so each part begins
// where the one before it ends; a VM that misses one sees the gap.
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

// ownerRead asks for the owners of a service.
type ownerRead struct{ service types.Service }

// ownersFound answers an ownerRead.
type ownersFound struct {
	service types.Service
	table   keyspace.Table
	err     error
}

// ownerReader reads owners of keys from the store.
type ownerReader struct {
	in    *ring.Ring[ownerRead]
	out   *ring.Ring[any]
	store store.Store
}

func (r *ownerReader) duty() duty.Duty { return duty.Duty{Name: "owner-reader", Run: r.run} }

func (r *ownerReader) run(ctx context.Context) error {
	r.in.Serve(ctx, func(j ownerRead) error { return r.out.Put(ctx, r.read(ctx, j.service)) })
	return nil
}

func (r *ownerReader) read(ctx context.Context, s types.Service) ownersFound {
	t, _, err := readTable(ctx, r.store, s)
	return ownersFound{service: s, table: t, err: err}
}

// readTable reads the owners of a service from the store, and the revision of their document. It returns the faults of
// store.Store, and a CodeBadConfiguration fault for a document that can't be read.
func readTable(ctx context.Context, from store.Store, s types.Service) (keyspace.Table, types.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	e, err := from.Get(ctx, ownersKey(s))
	if err != nil {
		return keyspace.Table{}, 0, err
	}
	t, err := decodeTable(e.Value)
	return t, e.Revision, err
}

// applyChange applies a change that follows the known table, and reads the table when something in between was missed.
func (k *knowledge) applyChange(ctx context.Context, c ownerChange) {
	k.heardAt = telemetry.Now()
	t, known := k.owners[c.service]
	switch {
	case known && t.NextFence >= c.next:
		return
	case !known || t.NextFence < c.base || len(c.ranges) == 0:
		k.readOwners(c.service, ownersRetry)
		return
	}
	t = t.Clone()
	for _, r := range c.ranges {
		t.Assign(r)
	}
	t.NextFence = c.next
	k.setOwners(ctx, c.service, t)
}

func (k *knowledge) applyFound(ctx context.Context, f ownersFound) {
	if f.err != nil {
		if types.CodeOf(f.err) != types.CodeNotFound {
			k.log.Warn("owners of keys not read", log.Fields{"service": f.service, "error": f.err.Error()})
		}
		return
	}
	if old, known := k.owners[f.service]; known && f.table.NextFence <= old.NextFence {
		return
	}
	k.setOwners(ctx, f.service, f.table)
}

// applyMirroredOwners takes owners that another VM has told. An older table than the store's only leads to refusals by
// targets, since those know their grants.
func (k *knowledge) applyMirroredOwners(ctx context.Context, u update) {
	for _, e := range u.entries {
		t, err := decodeTable(e.Value)
		k.applyFound(ctx, ownersFound{service: types.Service(strings.TrimPrefix(e.Key, ownerPrefix)), table: t, err: err})
	}
}

func (k *knowledge) setOwners(ctx context.Context, s types.Service, t keyspace.Table) {
	k.owners[s] = t
	k.log.Info("owners of keys", log.Fields{"service": s, "ranges": len(t.Ranges), "nextFence": t.NextFence})
	k.pass(ctx, k.admission, admission.Owners{Service: s, Table: t})
}

// readOwners asks for the owners of a service unless that was done less than spacing ago.
func (k *knowledge) readOwners(s types.Service, spacing time.Duration) {
	now := telemetry.Now()
	if at, ok := k.readAt[s]; ok && now.Before(at.Add(spacing)) {
		return
	}
	k.readAt[s] = now
	if address, ok := k.ownersMirror(now); ok && now.Sub(k.ownersAsked) > mirrorTrust {
		k.ownersAsked = now
		k.ask(ownerPrefix, 0, address)
		return
	}
	_ = k.reads.Replace(ownerRead{service: s})
}

// ownersMirror returns a watching VM of the data centre to read owners from, so that not every VM calls the store at each
// change that it has missed. Watching VMs read the store.
func (k *knowledge) ownersMirror(now types.Instant) (address string, ok bool) {
	if k.watching.on || now.Sub(k.watching.heardAt) > watcherSilence {
		return "", false
	}
	list := k.neighbours()
	if len(list) == 0 {
		return "", false
	}
	slices.SortFunc(list, byRank)
	k.turn++
	return list[k.turn%min(len(list), watchersPerCentre)].MirrorAddress, true
}

// refresh reads owners that are not known, or while the keeper is silent.
func (k *knowledge) refresh(now types.Instant) {
	if k.configuration == nil {
		return
	}
	for name, s := range k.configuration.Services() {
		if !s.Keyed {
			continue
		}
		if _, known := k.owners[name]; !known || now.Sub(k.heardAt) > keeperSilence {
			k.readOwners(name, silentRead)
		}
	}
}
