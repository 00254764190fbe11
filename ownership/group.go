package ownership

import (
	"cmp"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Group changes the quorum groups' member lists, as the planner. A list changes by one member at a time, so that a
// majority of the old list and one of the new list have a member in common. The next change waits until so many of the
// list before have the present one that the others are no majority; nobody can then use a list that is two changes old.
type Group struct {
	*env
	writer *Writer
	acks   *acks
}

// reconcile starts or continues the change of every group.
func (g *Group) reconcile() {
	g.one(GroupAll)
	for i := range g.cfg.DataCentres {
		g.one(GroupOf(config.ScopeDataCentre, g.cfg.DataCentres[i].Name))
	}
}

func (g *Group) one(k GroupKey) {
	key := GroupDocumentKey(k)
	if !g.writer.idle(key) {
		return
	}
	doc := g.table.group(k)
	if doc == nil {
		doc = &GroupDocument{}
	}
	if !g.acks.blocked(doc.Previous, k, key, doc.Epoch) {
		g.acks.install(doc.Previous, k, key)
		return
	}
	next, peer, ok := g.change(k, doc.Members)
	if !ok {
		return
	}
	written := &GroupDocument{Header: g.writer.header(key), Members: next, Previous: doc.Members}
	g.decide(Decision{Reason: ReasonGroupChanged, Document: key, Peer: peer, Epoch: written.Epoch})
	g.writer.submit(Document{Key: key, Group: written})
}

// change returns the list after the next change and the member that comes or goes.
func (g *Group) change(k GroupKey, list []Peer) (next []Peer, peer Peer, ok bool) {
	if peer, ok = g.leaver(k, list); ok {
		return without(list, peer), peer, true
	}
	if len(list) >= g.size(k)+g.leaving(list) {
		return nil, Peer{}, false
	}
	if peer, ok = g.joiner(k, list); !ok {
		return nil, Peer{}, false
	}
	next = append(slices.Clone(list), peer)
	slices.SortFunc(next, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return next, peer, true
}

// leaving returns how many members are about to leave. A list grows by their number first: a sole member that leaves
// could otherwise not be replaced while it can still confirm the change.
func (g *Group) leaving(list []Peer) int {
	n := 0
	for _, p := range list {
		if g.members.state(p) == MemberLeaving {
			n++
		}
	}
	return n
}

func without(list []Peer, p Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(list), func(x Peer) bool { return x == p })
}

// leaver returns a member to remove: one that is gone, otherwise one that leaves or whose registration lapsed. The
// latter waits until enough are live to block a majority of the others, because a whole data centre without registrations is cut off, not lost.
func (g *Group) leaver(k GroupKey, list []Peer) (Peer, bool) {
	live := 0
	for _, p := range list {
		if g.acks.gone(p, k) {
			return p, true
		}
		if g.members.live(p) {
			live++
		}
	}
	if live < blocking(len(list)) {
		return Peer{}, false
	}
	for _, p := range list {
		if !g.members.live(p) {
			return p, true
		}
	}
	return Peer{}, false
}

// size returns the number of members to have: odd, because an even list tolerates no more losses than one less.
func (g *Group) size(k GroupKey) int {
	n := 0
	for _, m := range g.members.list {
		if g.eligible(k, m) {
			n++
		}
	}
	n = min(n, MaxGroupMembers)
	return n - (n+1)%2
}

func (g *Group) eligible(k GroupKey, m Member) bool {
	return g.members.live(m.Peer) && (k == GroupAll || m.DataCentre == k.DataCentre)
}

// joiner returns a new member from the data centre with the fewest members, by rendezvous hashing.
func (g *Group) joiner(k GroupKey, list []Peer) (Peer, bool) {
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
