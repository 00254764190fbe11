package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/platform"
	"sequoiasail.example/types"
)

const (
	// watchersPerDataCentre is the number of VMs that watch the store on behalf of their data centre. It is small because each
	// watch costs a store call per change; the second watcher covers the loss of the first.
	watchersPerDataCentre = 2
	// manyNeighbours is the number of neighbours at which three VMs of the data centre watch instead of two, because the store
	// may be unavailable to a third of the VMs.
	manyNeighbours = 8
	// digestSpacing is the shortest time between two digests of a watching VM without a change. Otherwise each answer to a
	// renewal of its lease is followed by a digest.
	digestSpacing = 200 * time.Millisecond
	// storeSilence is how long store answers may be missing before this VM considers itself cut off, watcherStoreSilence the
	// same on watching VMs, on which others rely. The session calls the store every sessionRenewInterval or
	// watcherRenewInterval.
	storeSilence        = 1600 * time.Millisecond
	watcherStoreSilence = time.Second
	// missedChangeDelay is how long a change shown by another VM's digest may take to arrive before the store is read.
	missedChangeDelay = 400 * time.Millisecond
	// discoveryTime is how long after its start a VM that knows no neighbours waits for their entries before it starts to
	// watch.
	discoveryTime = 700 * time.Millisecond
	// initialWatchTime is how long after its start every VM watches the list of VMs, unless digests of a neighbour arrive.
	initialWatchTime = 2500 * time.Millisecond
	// minDecisionSpacing keeps the store cache from waking too often for a decision that is already due.
	minDecisionSpacing = 10 * time.Millisecond
)

// watchState is the state behind the decision whether this VM watches the store or relies on neighbours that do.
type watchState struct {
	// active is true while this VM watches all prefixes.
	active bool
	// activeSince is when the VM last began to watch.
	activeSince types.Instant
	// startedAt is when the duty started, digestsSentAt when this VM last sent its digests.
	startedAt     types.Instant
	digestsSentAt types.Instant
	// heard holds the latest time for which each neighbour's digests prove that the neighbour followed a prefix.
	heard map[types.VM]map[string]types.Instant
	// storeAnsweredAt is when the store last answered any call of this VM.
	storeAnsweredAt types.Instant
}

// updateWatches starts or stops the watches of this VM. A VM watches if it is the coordinator, if it ranks among the first
// watcherCount VMs of its data centre, or if no proof that its copy is current has come in time. It then stops only when enough
// neighbours of a higher rank watch, so that VMs which began to watch at the same time do not all stop at once.
func (sc *storeCache) updateWatches(now types.Instant) {
	neighbours := sc.neighbours()
	if len(neighbours) == 0 && now.Sub(sc.watchState.startedAt) < discoveryTime {
		return
	}
	count := watcherCount(len(neighbours))
	unconfirmed := sc.relianceLeft(now) <= 0
	needed := sc.watchState.active && sc.followsAll() && sc.heardAbove(now) < count
	shouldWatch := unconfirmed || needed || sc.coordinatorVM == sc.vm || sc.rank(neighbours) < count
	for _, prefix := range watchedPrefixes {
		initial := prefix == daemonPrefix && now.Sub(sc.watchState.startedAt) < initialWatchTime && len(sc.watchState.heard) == 0
		sc.setWatch(prefix, shouldWatch || initial)
	}
	if shouldWatch == sc.watchState.active {
		return
	}
	sc.log.Info("watching the store", log.Fields{
		"on": shouldWatch, "neighbours": len(neighbours), "unconfirmed": unconfirmed, "watchersHeard": len(sc.heardWatchers(now)),
	})
	sc.watchState.active, sc.watchState.activeSince = shouldWatch, now
	sc.notifySession()
}

// setWatch starts or stops the watch of a prefix.
func (sc *storeCache) setWatch(prefix string, enabled bool) {
	c := sc.prefixCache[prefix]
	switch {
	case enabled && c.cancel == nil:
		sc.startWatch(prefix, c)
	case !enabled && c.cancel != nil:
		c.cancel()
		c.cancel, c.following = nil, false
	}
}

// startWatch replaces the order of a prefix's watch, which then lists the prefix.
func (sc *storeCache) startWatch(prefix string, c *prefixCache) {
	if c.cancel != nil {
		c.cancel()
	}
	o := watchOrder{number: c.order + 1}
	o.ctx, c.cancel = context.WithCancel(context.Background())
	c.order, c.following, c.hedged = o.number, false, false
	// Replace fails only when the process ends.
	_ = sc.watchOrders[prefix].Replace(o)
}

// relianceLeft returns how much longer this VM relies on its copy of the store.
func (sc *storeCache) relianceLeft(now types.Instant) time.Duration {
	left := sc.reliance
	for _, c := range sc.prefixCache {
		left = min(left, c.confirmedAt.Add(sc.reliance).Sub(now))
	}
	return left
}

// followsAll reports whether this VM's watches follow all prefixes.
func (sc *storeCache) followsAll() bool {
	for _, c := range sc.prefixCache {
		if !c.following {
			return false
		}
	}
	return true
}

// confirmFollowed records that the store has answered a call that was sent at the given time. A change before it would have
// come through the watches.
func (sc *storeCache) confirmFollowed(sentAt types.Instant) {
	for _, c := range sc.prefixCache {
		if c.following {
			c.prove(sentAt)
		}
	}
}

// nextWatchDecision returns the time until updateWatches or hedgeReads has something to do that can't wait for the next
// maintenance.
func (sc *storeCache) nextWatchDecision(now types.Instant) time.Duration {
	wait := maintenanceInterval
	if !sc.watchState.active {
		wait = min(wait, sc.relianceLeft(now))
	} else if hedge := sc.watchState.activeSince.Add(hedgeDelay).Sub(now); hedge > 0 {
		wait = min(wait, hedge)
	}
	return max(wait, minDecisionSpacing)
}

// hedgeReads requests a second read of each prefix whose watch has no answer to its order hedgeDelay after this VM began to
// watch, because a lost answer would take too long to notice. The list of VMs has no time bound.
func (sc *storeCache) hedgeReads(now types.Instant) {
	if !sc.watchState.active || now.Sub(sc.watchState.activeSince) < hedgeDelay {
		return
	}
	for _, prefix := range []string{platform.TargetPrefix, platform.OperatorPrefix} {
		if c := sc.prefixCache[prefix]; !c.following && !c.hedged {
			c.hedged = true
			sc.requestRead(now, prefix, 0)
		}
	}
}

// heardWatchers returns the neighbours that have recently proved that they follow the store, ordered by name.
func (sc *storeCache) heardWatchers(now types.Instant) []vmEntry {
	var list []vmEntry
	for name, heard := range sc.watchState.heard {
		if sc.isNeighbour(name) && sc.followedAll(now, heard) {
			list = append(list, sc.vms[name])
		}
	}
	slices.SortFunc(list, func(a, b vmEntry) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// followedAll reports whether a VM, heard at the given times, follows all prefixes.
func (sc *storeCache) followedAll(now types.Instant, heard map[string]types.Instant) bool {
	return !slices.ContainsFunc(watchedPrefixes, func(prefix string) bool {
		at, ok := heard[prefix]
		return !ok || now.Sub(at) > sc.reliance
	})
}

// heardAbove returns how many of the heard watching neighbours rank above this VM.
func (sc *storeCache) heardAbove(now types.Instant) int { return sc.rank(sc.heardWatchers(now)) }

// watcherCount returns the number of watching VMs in a data centre.
func watcherCount(neighbours int) int {
	if neighbours >= manyNeighbours {
		return watchersPerDataCentre + 1
	}
	return watchersPerDataCentre
}

// rank returns the position of this VM among the given VMs, the largest first. VMs with the same list agree on it.
func (sc *storeCache) rank(neighbours []vmEntry) int {
	n := 0
	for _, m := range neighbours {
		if byRank(m, sc.entry) < 0 {
			n++
		}
	}
	return n
}

// byRank orders VMs by falling number of cores, then by name.
func byRank(a, b vmEntry) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.VM, b.VM)) }

// sendDigests sends the digests of a watching VM to its data centre, at once after a change and otherwise at most once each
// digestSpacing. They tell their age, so that others can rely on them only as long as the store has answered this VM.
func (sc *storeCache) sendDigests(now types.Instant, changed bool) {
	if !changed && now.Sub(sc.watchState.digestsSentAt) < digestSpacing {
		return
	}
	r := report{to: toDataCentre}
	for _, prefix := range watchedPrefixes {
		if c := sc.prefixCache[prefix]; c.following && now.Sub(c.provenAt) < sc.reliance {
			r.digests = append(r.digests, sc.agedDigest(now, prefix))
		}
	}
	if len(r.digests) > 0 {
		sc.watchState.digestsSentAt = now
		_ = sc.reports.Replace(r)
	}
}

// agedDigest returns the digest of this VM's copy of a prefix.
func (sc *storeCache) agedDigest(now types.Instant, prefix string) digest {
	c := sc.prefixCache[prefix]
	d := c.digest(prefix)
	d.age = now.Sub(c.provenAt)
	return d
}

// storeReachable reports whether the store has answered recently. A pending watch call doesn't show whether it is reachable.
func (sc *storeCache) storeReachable(now types.Instant) bool {
	limit := storeSilence
	if sc.watchState.active {
		limit = watcherStoreSilence
	}
	return now.Sub(sc.watchState.storeAnsweredAt) < limit
}

// noteStoreAnswer records that the store has answered this VM. A watch call from before a long silence may never be answered.
func (sc *storeCache) noteStoreAnswer(now types.Instant) {
	silence := now.Sub(sc.watchState.storeAnsweredAt)
	if silence >= storeSilence {
		sc.log.Info("store answers after a long silence", log.Fields{"silence": silence.String()})
	}
	sc.noteOutage(sc.registry.StoreAnswered(now))
	if sc.watchState.active && silence >= sc.reliance {
		sc.restartWatches()
	}
	sc.watchState.storeAnsweredAt = now
}

// noteOutage logs the end of an outage of the store, after which missing registrations are kept for a while.
func (sc *storeCache) noteOutage(outage time.Duration) {
	if outage > 0 {
		sc.log.Info("the store answers after an outage, missing registrations are kept", log.Fields{"outage": outage.String(), "for": sc.registry.GraceLeft(sc.now()).String()})
	}
}

// restartWatches makes the watches read their prefixes again.
func (sc *storeCache) restartWatches() {
	for prefix, c := range sc.prefixCache {
		if c.following {
			sc.startWatch(prefix, c)
		}
	}
}

// storeAnswered tells the store cache that the store has answered a call of the session that was sent at sentAt.
type storeAnswered struct{ sentAt types.Instant }

// watchedPrefixes are the prefixes of the store that are watched.
var watchedPrefixes = []string{platform.OperatorPrefix, platform.TargetPrefix, daemonPrefix}

// receiveDigest takes a digest of another VM. If it shows unknown changes and comes from a neighbour, that VM is queried,
// unless this VM's own watch is about to deliver them.
func (sc *storeCache) receiveDigest(now types.Instant, from types.VM, d digest) {
	if d.prefix == resignationPrefix {
		sc.noteResignation(now, from)
		return
	}
	fromNeighbour := sc.isNeighbour(from)
	if fromNeighbour {
		sc.hear(from, d.prefix, now.Add(-d.age))
		sc.noteOutage(sc.registry.StoreAnsweredOther(now, d.age, 0))
	}
	if from == sc.coordinatorVM {
		sc.coordinatorDigestAt = now
	}
	c := sc.prefixCache[d.prefix]
	if c == nil {
		return
	}
	if c.matches(d) {
		c.confirm(now.Add(-d.age))
	}
	if !c.isBehind(d) {
		return
	}
	sc.recheck(now, c, d)
	// The calls of a watch are spaced, so a watch that the store answers may still deliver the change. The watch of the list of
	// VMs after the start is not waited for, because VMs that do not know the coordinator stand for election, with two calls each.
	watchWorks := sc.watchState.active && c.following && sc.storeReachable(now)
	if fromNeighbour && !watchWorks && now.Sub(c.mirrorQueriedAt) >= mirrorSpacing {
		c.mirrorQueriedAt = now
		sc.queueMirrorRequestFor(d, sc.vms[from].MirrorAddress)
	}
}

// hear records that a neighbour has proved that it followed a prefix at the given time.
func (sc *storeCache) hear(from types.VM, prefix string, at types.Instant) {
	if sc.watchState.heard[from] == nil {
		sc.watchState.heard[from] = make(map[string]types.Instant)
	}
	sc.watchState.heard[from][prefix] = max(sc.watchState.heard[from][prefix], at)
}

// recheck records that another VM knows changes of a prefix that this VM doesn't. They normally arrive through the watching
// VMs of the data centre, unless those are cut off, a watch has missed them or an answer is lost.
func (sc *storeCache) recheck(now types.Instant, c *prefixCache, d digest) {
	if c.recheck.atRevision == 0 {
		c.recheck, c.recheckSince = d, now
	}
}

// runRechecks requests a read from the store for each prefix whose recheck is older than missedChangeDelay and still shows
// unknown changes.
func (sc *storeCache) runRechecks(now types.Instant) {
	for prefix, c := range sc.prefixCache {
		switch {
		case c.recheck.atRevision == 0:
		case !c.isBehind(c.recheck):
			c.recheck = digest{}
		case now.Sub(c.recheckSince) >= missedChangeDelay:
			c.recheck = digest{}
			sc.log.Info("a change was missed", log.Fields{"prefix": prefix, "known": c.knownRevision, "watching": sc.watchState.active})
			sc.requestRead(now, prefix, auditSpacing)
		}
	}
}

// queueMirrorRequest queues a query to the VM at address for the entries of a prefix if they differ from this VM's.
func (sc *storeCache) queueMirrorRequest(prefix, address string) {
	sc.queueMirrorRequestFor(digest{prefix: prefix}, address)
}

// queueMirrorRequestFor queues a query to the VM at address, which has sent a digest.
func (sc *storeCache) queueMirrorRequestFor(d digest, address string) {
	q := MirrorQuestion{Prefix: d.prefix}
	if c := sc.prefixCache[d.prefix]; c != nil && !c.incomplete {
		own := c.digest(d.prefix)
		q.Known, q.NewestRevision, q.Count, q.Hash, q.AcceptsChanges = c.knownRevision, own.newestRevision, own.count, own.hash, true
	}
	_ = sc.mirrorRequests.Replace(mirrorRequest{question: q, address: address, shown: d.atRevision})
}
