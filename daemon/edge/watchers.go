package edge

import (
	"cmp"
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
	// digestInterval is how often a watching VM sends its digests to its data centre without a change.
	digestInterval = 400 * time.Millisecond
	// watcherSilence is how long a VM hears no watching neighbour before it watches the store itself. Together with
	// watcherStoreSilence and the time of a read it must stay below 2.5 s, within which VMs have to learn of changes.
	watcherSilence = 900 * time.Millisecond
	// storeSilence is how long store answers may be missing before this VM considers itself cut off, watcherStoreSilence the
	// same on watching VMs, on which others rely. The session calls the store every sessionRenewInterval or
	// watcherRenewInterval.
	storeSilence        = 1600 * time.Millisecond
	watcherStoreSilence = time.Second
	// registrationLapseTime is how long the store must have been silent for registrations to have expired meanwhile: three
	// heartbeats of a target, 2.6 s, less the time between two calls of this VM.
	registrationLapseTime = 1800 * time.Millisecond
	// missedChangeDelay is how long a change shown by another VM's digest may take to arrive before the store is read.
	missedChangeDelay = 400 * time.Millisecond
	// discoveryTime is how long after its start a VM that knows no neighbours waits for their entries before it starts to
	// watch.
	discoveryTime = 700 * time.Millisecond
	// initialWatchTime is how long after its start every VM watches the list of VMs, unless digests of a neighbour arrive.
	initialWatchTime = 2500 * time.Millisecond
)

// watchState is the state behind the decision whether this VM watches the store or relies on neighbours that do.
type watchState struct {
	// active is true while this VM watches all prefixes.
	active bool
	// startedAt is when the duty started, neighbourDigestAt when the latest digest of a neighbour arrived, digestsSentAt when
	// this VM last sent its digests.
	startedAt         types.Instant
	neighbourDigestAt types.Instant
	digestsSentAt     types.Instant
	// storeAnsweredAt is when the store last answered any call of this VM.
	storeAnsweredAt types.Instant
}

// updateWatches starts or stops the watches of this VM. A VM watches if it is the coordinator, if it ranks among the first
// watcherCount VMs of its data centre, or if the digests of watching neighbours are missing.
func (sc *storeCache) updateWatches(now types.Instant) {
	neighbours := sc.neighbours()
	if len(neighbours) == 0 && now.Sub(sc.watchState.startedAt) < discoveryTime {
		return
	}
	noWatcher := now.Sub(max(sc.watchState.neighbourDigestAt, sc.watchState.startedAt)) > watcherSilence
	shouldWatch := noWatcher || sc.coordinatorVM == sc.vm || sc.rank(neighbours) < watcherCount(len(neighbours))
	for prefix, toggle := range sc.watchToggles {
		enabled := shouldWatch || (prefix == daemonPrefix && now.Sub(sc.watchState.startedAt) < initialWatchTime && sc.watchState.neighbourDigestAt == 0)
		// Replace fails only when the process ends.
		_ = toggle.Replace(enabled)
	}
	if shouldWatch == sc.watchState.active {
		return
	}
	sc.log.Info("watching the store", log.Fields{"on": shouldWatch, "neighbours": len(neighbours), "noWatcherHeard": noWatcher})
	sc.watchState.active = shouldWatch
	sc.notifySession()
}

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

// sendDigests sends the digests of a watching VM to its data centre, at once after a change and otherwise every
// digestInterval. A VM that is cut off from the store sends none.
func (sc *storeCache) sendDigests(now types.Instant, changed bool) {
	if !sc.watchState.active || !sc.storeReachable(now) || (!changed && now.Sub(sc.watchState.digestsSentAt) < digestInterval) {
		return
	}
	sc.watchState.digestsSentAt = now
	r := report{to: toDataCentre}
	for _, prefix := range watchedPrefixes {
		if c := sc.prefixCache[prefix]; c.knownRevision > 0 && !c.unavailable {
			r.digests = append(r.digests, c.digest(prefix))
		}
	}
	if len(r.digests) > 0 {
		_ = sc.reports.Replace(r)
	}
}

// storeReachable reports whether the store has answered recently. A pending watch call doesn't show whether it is reachable.
func (sc *storeCache) storeReachable(now types.Instant) bool {
	limit := storeSilence
	if sc.watchState.active {
		limit = watcherStoreSilence
	}
	return now.Sub(sc.watchState.storeAnsweredAt) < limit
}

// noteStoreAnswer records that the store has answered. After a long silence the registrations of targets may have expired.
func (sc *storeCache) noteStoreAnswer(now types.Instant) {
	if now.Sub(sc.watchState.storeAnsweredAt) >= registrationLapseTime {
		sc.log.Info("store answers after a long silence", log.Fields{"silence": now.Sub(sc.watchState.storeAnsweredAt).String()})
		sc.registry.StoreRecovered(now)
	}
	sc.watchState.storeAnsweredAt = now
}

// storeAnswered tells the store cache that the store has answered a call of the session.
type storeAnswered struct{}

// watchedPrefixes are the prefixes of the store that are watched.
var watchedPrefixes = []string{platform.OperatorPrefix, platform.TargetPrefix, daemonPrefix}

// receiveDigest takes a digest of another VM. If it shows unknown changes and comes from a neighbour, that VM is queried,
// unless this VM's own watch is about to deliver them.
func (sc *storeCache) receiveDigest(now types.Instant, from types.VM, d digest) {
	fromNeighbour := slices.ContainsFunc(sc.neighbours(), func(m vmEntry) bool { return m.VM == from })
	if fromNeighbour {
		sc.watchState.neighbourDigestAt = now
	}
	if from == sc.coordinatorVM {
		sc.coordinatorDigestAt = now
	}
	c := sc.prefixCache[d.prefix]
	if c == nil || !c.isBehind(d) {
		return
	}
	sc.recheck(now, c, d)
	// The calls of a watch are spaced, so a working watch may still deliver the change.
	watched := sc.watchState.active && !c.unavailable
	if fromNeighbour && !watched && !now.Before(c.nextMirrorAt) {
		c.nextMirrorAt = now.Add(mirrorSpacing)
		sc.queueMirrorRequest(d.prefix, c.knownRevision, sc.vms[from].MirrorAddress)
	}
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

// queueMirrorRequest queues a query to the VM at address for the entries of a prefix after a known revision.
func (sc *storeCache) queueMirrorRequest(prefix string, known types.Revision, address string) {
	_ = sc.mirrorRequests.Replace(mirrorRequest{question: MirrorQuestion{Prefix: prefix, Known: known}, address: address})
}
