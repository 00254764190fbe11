package ownership

import (
	"cmp"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Group is the role that changes the member lists of the quorum groups while this process holds the planner lease; a
// GroupKey identifies a group itself. A list changes by one member at a time, so that a majority of the old list and
// one of the new list have a member in common. The next change waits until so many members of the previous list have
// the current one that the others are no majority; then no dispatcher can get confirmations under a list that is two
// changes old.
type Group struct {
	*env
	writer *Writer
	acks   *acks
}

// reconcile starts or continues the change of every group.
func (g *Group) reconcile() {
	g.reconcileGroup(GroupAll)
	for i := range g.cfg.DataCentres {
		g.reconcileGroup(GroupOf(config.ScopeDataCentre, g.cfg.DataCentres[i].Name))
	}
}

// reconcileGroup starts the next change of one group, or sends the last change to the previous members.
func (g *Group) reconcileGroup(k GroupKey) {
	key := GroupDocumentKey(k)
	if !g.writer.idle(key) {
		return
	}
	doc := g.table.group(k)
	if doc == nil {
		doc = &GroupDocument{}
	}
	if !g.acks.blocksOlder(doc.PreviousMembers, k, key, doc.Epoch) {
		g.acks.install(doc.PreviousMembers, k, key)
		return
	}
	next, peer, ok := g.nextMembers(k, doc.Members)
	if !ok {
		return
	}
	written := &GroupDocument{Header: g.writer.header(key), Members: next, PreviousMembers: doc.Members}
	g.logDecision(Decision{Reason: ReasonGroupChanged, Document: key, Peer: peer, Epoch: written.Epoch})
	g.writer.submit(Document{Key: key, Group: written})
}

// nextMembers returns the member list after the next change and the member that is added or removed.
func (g *Group) nextMembers(k GroupKey, list []Peer) (next []Peer, peer Peer, ok bool) {
	if peer, ok = g.memberToRemove(k, list); ok {
		return without(list, peer), peer, true
	}
	if len(list) >= g.desiredSize(k)+g.leavingCount(list) {
		return nil, Peer{}, false
	}
	if peer, ok = g.memberToAdd(k, list); !ok {
		return nil, Peer{}, false
	}
	next = append(slices.Clone(list), peer)
	slices.SortFunc(next, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return next, peer, true
}

// leavingCount returns how many members are being taken out of service. A list first grows by this number: a sole
// member that leaves could otherwise not be replaced while it can still confirm the change.
func (g *Group) leavingCount(list []Peer) int {
	n := 0
	for _, p := range list {
		if g.members.state(p) == MemberLeaving {
			n++
		}
	}
	return n
}

// without returns a copy of list that lacks p.
func without(list []Peer, p Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(list), func(x Peer) bool { return x == p })
}

// memberToRemove returns a member to remove: one that has terminated, otherwise one that is leaving or whose
// registration expired. The latter waits until so many members are live that the others are no majority, because a
// whole data centre without registrations is cut off, not lost.
func (g *Group) memberToRemove(k GroupKey, list []Peer) (Peer, bool) {
	live := 0
	for _, p := range list {
		if g.acks.terminated(p, k) {
			return p, true
		}
		if g.members.live(p) {
			live++
		}
	}
	if live < blockingSize(len(list)) {
		return Peer{}, false
	}
	for _, p := range list {
		if !g.members.live(p) {
			return p, true
		}
	}
	return Peer{}, false
}

// desiredSize returns the desired number of members. It is odd, because a list of an even size tolerates no more
// losses than one with one member fewer.
func (g *Group) desiredSize(k GroupKey) int {
	n := 0
	for _, m := range g.members.list {
		if g.eligible(k, m) {
			n++
		}
	}
	n = min(n, MaxGroupMembers)
	return n - (n+1)%2
}

// eligible reports whether a process may be a member of a group.
func (g *Group) eligible(k GroupKey, m Member) bool {
	return g.members.live(m.Peer) && (k == GroupAll || m.DataCentre == k.DataCentre)
}

// memberToAdd selects a new member from the data centre with the fewest members, by rendezvous hashing.
func (g *Group) memberToAdd(k GroupKey, list []Peer) (Peer, bool) {
	count := make(map[types.DataCentre]int)
	for _, p := range list {
		count[g.members.dataCentre(p.VM)]++
	}
	var best Member
	var bestScore uint64
	for _, m := range g.members.list {
		if !g.eligible(k, m) || slices.Contains(list, m.Peer) {
			continue
		}
		score := types.RendezvousScore(k.String(), string(m.VM))
		fewer := count[m.DataCentre] - count[best.DataCentre]
		if best.VM == "" || fewer < 0 || fewer == 0 && score > bestScore {
			best, bestScore = m, score
		}
	}
	return best.Peer, best.VM != ""
}
