package edge

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// auditInterval is how often the coordinator reads the configuration and evacuations beside its watch. A watch of the store
	// may miss changes without an error; configurations must be in force within 2 s.
	auditInterval = 800 * time.Millisecond
	// targetAuditInterval is the same for the registrations. It is longer because their list is long, and because their time
	// limits only apply while the store has no faults, when watches miss nothing.
	targetAuditInterval = 2500 * time.Millisecond
	// coordinatorDigestSilence is how long the digests of the coordinator may be missing before a watching VM audits its own
	// watches.
	coordinatorDigestSilence = 1800 * time.Millisecond
	// auditSpacing is the shortest time between two reads of a prefix because of a digest that differs.
	auditSpacing = 400 * time.Millisecond
)

// digest summarizes a prefix of the store at one revision, so that VMs can compare their copies.
type digest struct {
	prefix string
	// atRevision is the store revision that the digest describes.
	atRevision types.Revision
	// newestRevision is the highest revision of any key of the prefix, count the number of keys.
	newestRevision types.Revision
	count          int
	// hash covers the keys and their revisions.
	hash uint64
	// age is how long ago the sender's copy was proved to be current by an answer of the store to the sender.
	age time.Duration
}

// sameEntries reports whether two digests of a prefix describe the same keys and revisions. A change that a watch has missed may
// differ in the hash alone.
func (d digest) sameEntries(o digest) bool {
	return d.newestRevision == o.newestRevision && d.count == o.count && d.hash == o.hash
}

// auditRequest asks the auditor to read a prefix.
type auditRequest struct{ prefix string }

// auditor reads whole prefixes from the store to detect changes that the watches missed.
type auditor struct {
	in    *ring.Ring[auditRequest]
	out   *ring.Ring[any]
	store store.Store
}

func (a *auditor) duty() duty.Duty { return duty.Duty{Name: "audit", Run: a.run} }

func (a *auditor) run(ctx context.Context) error {
	a.in.Serve(ctx, func(r auditRequest) error { return a.out.Put(ctx, a.read(ctx, r)) })
	return nil
}

func (a *auditor) read(ctx context.Context, r auditRequest) update {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, revision, err := a.store.List(ctx, r.prefix)
	return update{prefix: r.prefix, snapshot: err == nil, audit: true, entries: entries, revision: revision, err: err}
}

// prefixCache holds the entries of one watched prefix.
type prefixCache struct {
	entries map[string]store.Entry
	// unavailable is true if the latest read of the prefix from the store failed.
	unavailable bool
	// order is the number of the current order of the watch, and cancel ends it; nil if the prefix is not watched. following is
	// true from the first answer to that order until a call fails.
	order     int
	cancel    context.CancelFunc
	following bool
	// hedged is true once a second read was requested for the current order.
	hedged bool
	// provenAt is the latest time for which an answer of the store to this VM proves that the copy was current, confirmedAt the
	// same if answers to other VMs with the same copy count as well.
	provenAt    types.Instant
	confirmedAt types.Instant
	// recheck is a digest of another VM that shows changes unknown to this VM, received at recheckSince. Its revision is 0 if
	// there is none. If the changes don't arrive in time, the prefix is read from the store.
	recheck      digest
	recheckSince types.Instant
	// mirrorQueriedAt is when this VM last queried another VM for the prefix.
	mirrorQueriedAt types.Instant
	// knownRevision is the store revision up to which changes are known.
	knownRevision types.Revision
	// newestRevision is the highest revision of the entries, unless newestUnknown is set.
	newestRevision types.Revision
	newestUnknown  bool
	// hash combines entryHash of all entries.
	hash uint64
	// removals are the latest keys that were removed, all since removalsFrom.
	removals     []removal
	removalsFrom types.Revision
	// incomplete is true if the entries differ from those of a VM that told its changes. The next query asks for all entries.
	incomplete bool
	// readRequestedAt is when the last read beside the watch was requested.
	readRequestedAt types.Instant
}

// removal is a key that was removed from the store, at revision or before.
type removal struct {
	key      string
	revision types.Revision
}

// maxRemovals bounds the removals that a prefixCache keeps. A VM that has missed more gets all entries.
const maxRemovals = 512

func newPrefixCache() *prefixCache { return &prefixCache{entries: make(map[string]store.Entry)} }

// confirm records that the copy was current at the given time.
func (c *prefixCache) confirm(at types.Instant) { c.confirmedAt = max(c.confirmedAt, at) }

// prove records that an answer of the store to this VM shows that the copy was current at the given time.
func (c *prefixCache) prove(at types.Instant) {
	c.provenAt = max(c.provenAt, at)
	c.confirm(at)
}

// noteWatch records what an update from the store shows about this VM's watch and the age of its copy.
func (c *prefixCache) noteWatch(now types.Instant, u update) {
	current := c.cancel != nil && u.order == c.order
	switch {
	case u.err != nil:
		c.following = c.following && !current
	case current:
		c.following = true
		c.prove(now)
	case u.snapshot:
		c.prove(now)
	}
}

// apply records an update and reports whether it contains anything new.
func (c *prefixCache) apply(u update) bool {
	if u.snapshot && u.revision < c.knownRevision {
		return false
	}
	changed := false
	if u.snapshot {
		// The first answer counts as new even if it is empty.
		changed = c.knownRevision == 0 || c.differs(u.entries)
		if changed {
			c.replace(u)
		}
		c.knownRevision, c.incomplete = u.revision, false
	}
	for _, e := range u.events {
		changed = true
		c.knownRevision = max(c.knownRevision, e.Revision)
		if e.Deleted {
			c.remove(e.Key, e.Revision)
		} else {
			c.put(e.Entry)
		}
	}
	if u.changes {
		c.knownRevision = max(c.knownRevision, u.revision)
		c.incomplete = c.hash != u.hash
	}
	return changed
}

// replace replaces the entries by those of a snapshot.
func (c *prefixCache) replace(u update) {
	present := make(map[string]bool, len(u.entries))
	for _, e := range u.entries {
		present[e.Key] = true
		c.put(e)
	}
	for key := range c.entries {
		if !present[key] {
			c.remove(key, u.revision)
		}
	}
	if c.knownRevision == 0 {
		c.removalsFrom = u.revision
	}
}

// entryHash returns the hash of a key at a revision. All VMs compute the same.
func entryHash(key string, revision types.Revision) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(key), uint64(revision)))
	return h.Sum64()
}

func (c *prefixCache) put(e store.Entry) {
	c.drop(e.Key)
	c.hash ^= entryHash(e.Key, e.Revision)
	if e.Revision >= c.newestRevision {
		c.newestRevision, c.newestUnknown = e.Revision, false
	}
	c.entries[e.Key] = e
}

// remove drops a key that was removed from the store at revision or before, and keeps the removal for changesSince.
func (c *prefixCache) remove(key string, revision types.Revision) {
	c.drop(key)
	if len(c.removals) == maxRemovals {
		c.removalsFrom = c.removals[0].revision
		c.removals = slices.Delete(c.removals, 0, 1)
	}
	c.removals = append(c.removals, removal{key: key, revision: revision})
}

// drop takes a key out of the entries and of what is derived from them.
func (c *prefixCache) drop(key string) {
	old, present := c.entries[key]
	if !present {
		return
	}
	c.hash ^= entryHash(key, old.Revision)
	c.newestUnknown = c.newestUnknown || old.Revision == c.newestRevision
	delete(c.entries, key)
}

// changesSince returns the changes after a revision. ok is false if they are not all known.
func (c *prefixCache) changesSince(known types.Revision) (events []store.Event, ok bool) {
	if known == 0 || known < c.removalsFrom {
		return nil, false
	}
	for _, r := range c.removals {
		if _, present := c.entries[r.key]; r.revision > known && !present {
			events = append(events, store.Event{Entry: store.Entry{Key: r.key, Revision: r.revision}, Deleted: true})
		}
	}
	for _, e := range c.entries {
		if e.Revision > known {
			events = append(events, store.Event{Entry: e})
		}
	}
	return events, true
}

// unknown returns the changes that another VM told and that this copy does not have yet.
func (c *prefixCache) unknown(events []store.Event) []store.Event {
	return slices.DeleteFunc(slices.Clone(events), func(e store.Event) bool {
		old, present := c.entries[e.Key]
		return e.Revision <= c.knownRevision || old.Revision >= e.Revision || (e.Deleted && !present)
	})
}

// differs reports whether a snapshot has other keys or revisions than the cache.
func (c *prefixCache) differs(entries []store.Entry) bool {
	if len(entries) != len(c.entries) {
		return true
	}
	for _, e := range entries {
		if c.entries[e.Key].Revision != e.Revision {
			return true
		}
	}
	return false
}

// digest returns the digest of the cached entries.
func (c *prefixCache) digest(prefix string) digest {
	if c.newestUnknown {
		c.newestRevision, c.newestUnknown = 0, false
		for _, e := range c.entries {
			c.newestRevision = max(c.newestRevision, e.Revision)
		}
	}
	return digest{prefix: prefix, atRevision: c.knownRevision, newestRevision: c.newestRevision, count: len(c.entries), hash: c.hash}
}

// matches reports whether another VM's digest shows the same keys and revisions as this cache.
func (c *prefixCache) matches(d digest) bool {
	own := c.digest(d.prefix)
	return d.sameEntries(own)
}

// isBehind reports whether another VM's digest shows other keys than this cache. It ignores digests from before the newest
// change known here.
func (c *prefixCache) isBehind(d digest) bool {
	own := c.digest(d.prefix)
	return d.atRevision >= own.newestRevision && !d.sameEntries(own)
}

// requestRead requests a read of a prefix beside its watch, unless the last request was less than spacing ago.
func (sc *storeCache) requestRead(now types.Instant, prefix string, spacing time.Duration) {
	c := sc.prefixCache[prefix]
	if c == nil || now.Before(c.readRequestedAt.Add(spacing)) {
		return
	}
	c.readRequestedAt = now
	_ = sc.auditRequests.Replace(auditRequest{prefix: prefix})
}

// auditPrefixes requests reads of the configuration and the registrations if this VM watches the store and is the
// coordinator, or if the coordinator is silent.
func (sc *storeCache) auditPrefixes(now types.Instant) {
	spacing, targetSpacing := auditInterval, targetAuditInterval
	if !sc.watchState.active {
		return
	}
	if sc.coordinatorVM != sc.vm {
		if now.Sub(sc.coordinatorDigestAt) < coordinatorDigestSilence {
			return
		}
		spacing, targetSpacing = coordinatorDigestSilence, 2*targetAuditInterval
	}
	sc.requestRead(now, platform.OperatorPrefix, spacing)
	sc.requestRead(now, platform.TargetPrefix, targetSpacing)
}

// broadcastDigest sends the coordinator's digest of a prefix to all VMs. On other VMs it does nothing.
func (sc *storeCache) broadcastDigest(ctx context.Context, prefix string) {
	if sc.coordinatorVM == sc.vm {
		_ = sc.reports.Put(ctx, report{to: toAll, digests: []digest{sc.agedDigest(sc.now(), prefix)}})
	}
}
