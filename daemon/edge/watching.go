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
	// watchersPerCentre is the number of VMs of a data centre that watch the store for all of them, because each waiting
	// watch of each VM is a call for each change. The second one covers the loss of the first.
	watchersPerCentre = 2
	// manyNeighbours is the number of neighbours from which one more VM watches: the store may turn a third of them away.
	manyNeighbours = 8
	// digestInterval is how often a watching VM tells its data centre what it knows.
	digestInterval = 400 * time.Millisecond
	// watcherSilence is how long a VM waits for a watching one before it watches by itself. With watcherStoreSilence and the
	// reading it must stay below 2.5 s, the time in which VMs have to learn of changes.
	watcherSilence = 900 * time.Millisecond
	// storeSilence is how long the store may answer nothing before this VM takes itself for cut off, watcherStoreSilence
	// the same while others rely on it. The session calls the store every sessionRenewal or watcherRenewal.
	storeSilence        = 1600 * time.Millisecond
	watcherStoreSilence = time.Second
	// lapseTime is how long the store must have been silent for registrations to lapse meanwhile: three heartbeats of a
	// target, 2.6 s, less the time between two calls of this VM.
	lapseTime = 1800 * time.Millisecond
	// doubtTime is how long the data centre has to tell a change of which a digest was heard.
	doubtTime = 400 * time.Millisecond
	// introduction is how long a VM that has found no other waits for their registrations before it decides.
	introduction = 700 * time.Millisecond
	// ownWatchTime is how long every VM watches the list of VMs after its start, unless a neighbour tells it.
	ownWatchTime = 2500 * time.Millisecond
)

// watching decides which VMs watch the store and which are told by those.
type watching struct {
	// on is true while this VM watches.
	on bool
	// startedAt is when the duty began, heardAt when a watching VM of the data centre was last heard.
	startedAt types.Instant
	heardAt   types.Instant
	toldAt    types.Instant
	// storeAt is when the store last answered this VM, to any call.
	storeAt types.Instant
}

// decide starts or stops the watches of this VM.
func (k *knowledge) decide(now types.Instant) {
	neighbours := k.neighbours()
	if len(neighbours) == 0 && now.Sub(k.watching.startedAt) < introduction {
		return
	}
	alone := now.Sub(max(k.watching.heardAt, k.watching.startedAt)) > watcherSilence
	want := alone || k.keeperVM == k.vm || k.rank(neighbours) < watchers(len(neighbours))
	for prefix, gate := range k.gates {
		open := want || (prefix == ownPrefix && now.Sub(k.watching.startedAt) < ownWatchTime && k.watching.heardAt == 0)
		// Replace can only fail when the process ends.
		_ = gate.Replace(open)
	}
	if want == k.watching.on {
		return
	}
	k.log.Info("watching the store", log.Fields{"on": want, "neighbours": len(neighbours), "noWatcherHeard": alone})
	k.watching.on = want
	k.tellSession()
}

// watchers is the number of watching VMs in a data centre.
func watchers(neighbours int) int {
	if neighbours >= manyNeighbours {
		return watchersPerCentre + 1
	}
	return watchersPerCentre
}

// rank is the position of this VM among those of its data centre, the largest first. All VMs that know the same list
// agree on it.
func (k *knowledge) rank(neighbours []vmEntry) int {
	n := 0
	for _, m := range neighbours {
		if byRank(m, k.entry) < 0 {
			n++
		}
	}
	return n
}

// byRank orders VMs, the largest first.
func byRank(a, b vmEntry) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.VM, b.VM)) }

// tellNeighbours sends what this VM knows to its data centre, at once after a change and otherwise now and then.
func (k *knowledge) tellNeighbours(now types.Instant, changed bool) {
	if !k.watching.on || !k.inTouch(now) || (!changed && now.Sub(k.watching.toldAt) < digestInterval) {
		return
	}
	k.watching.toldAt = now
	r := report{to: toDataCentre}
	for _, prefix := range prefixes {
		if c := k.contents[prefix]; c.known > 0 && !c.away {
			r.digests = append(r.digests, c.digest(prefix))
		}
	}
	if len(r.digests) > 0 {
		_ = k.reports.Replace(r)
	}
}

// inTouch reports whether the store has answered lately. A waiting watch does not show that the store is cut off.
func (k *knowledge) inTouch(now types.Instant) bool {
	limit := storeSilence
	if k.watching.on {
		limit = watcherStoreSilence
	}
	return now.Sub(k.watching.storeAt) < limit
}

// hearStore notes that the store has answered. After a long silence the registrations of targets may have lapsed.
func (k *knowledge) hearStore(now types.Instant) {
	if now.Sub(k.watching.storeAt) >= lapseTime {
		k.log.Info("store answers after a long silence", log.Fields{"silence": now.Sub(k.watching.storeAt).String()})
		k.registry.StoreRecovered(now)
	}
	k.watching.storeAt = now
}

// storeHeard tells the knowledge duty that the store has answered the session.
type storeHeard struct{}

// prefixes lists what is watched.
var prefixes = []string{platform.OperatorPrefix, platform.TargetPrefix, ownPrefix}

// hearDigest takes a digest of another VM. This VM asks the store again if it watches, else the VM that has told.
func (k *knowledge) hearDigest(now types.Instant, from types.VM, d digest) {
	near := slices.ContainsFunc(k.neighbours(), func(m vmEntry) bool { return m.VM == from })
	if near {
		k.watching.heardAt = now
	}
	if from == k.keeperVM {
		k.auditedAt = now
	}
	c := k.contents[d.prefix]
	if c == nil || !c.behind(d) {
		return
	}
	k.doubt(now, c, d)
	// A watch is about to tell it: its calls are spaced.
	watched := k.watching.on && !c.away
	if near && !watched && !now.Before(c.mirrorAt) {
		c.mirrorAt = now.Add(mirrorSpacing)
		k.ask(d.prefix, c.known, k.vms[from].MirrorAddress)
	}
}

// doubt notes that another VM knows more of a prefix than this one. The watching VMs of the data centre are about to hear
// and tell it, unless they are cut off, a watch has missed it or an answer is lost.
func (k *knowledge) doubt(now types.Instant, c *contents, d digest) {
	if c.doubt.at == 0 {
		c.doubt, c.doubtAt = d, now
	}
}

// checkDoubts reads from the store what others know and neither the watch of this VM nor its neighbours have told.
func (k *knowledge) checkDoubts(now types.Instant) {
	for prefix, c := range k.contents {
		switch {
		case c.doubt.at == 0:
		case !c.behind(c.doubt):
			c.doubt = digest{}
		case now.Sub(c.doubtAt) >= doubtTime:
			c.doubt = digest{}
			k.log.Info("a change was missed", log.Fields{"prefix": prefix, "known": c.known, "watching": k.watching.on})
			k.readAgain(now, prefix, auditSpacing)
		}
	}
}

// ask asks another VM for a prefix beyond what this VM knows of it.
func (k *knowledge) ask(prefix string, known types.Revision, address string) {
	_ = k.mirrors.Replace(mirrorAsk{question: MirrorQuestion{Prefix: prefix, Known: known}, address: address})
}
