package ownership

import "sequoiasail.example/types"

// acks records which documents the quorum group members have, as far as the planner knows. A member that has a
// document confirms no older version of it.
type acks struct {
	*env
	versions map[Peer]map[DocumentKey]types.Epoch
	sent     map[sending]sent
}

type sending struct {
	to  Peer
	key DocumentKey
}

type sent struct {
	epoch types.Epoch
	at    types.Instant
}

func newAcks(e *env) acks {
	return acks{env: e, versions: make(map[Peer]map[DocumentKey]types.Epoch), sent: make(map[sending]sent)}
}

func (a *acks) note(p Peer, versions []DocumentVersion) {
	have := a.versions[p]
	if have == nil {
		have = make(map[DocumentKey]types.Epoch)
		a.versions[p] = have
	}
	for _, v := range versions {
		have[v.Key] = max(have[v.Key], v.Epoch)
	}
}

func (a *acks) version(p Peer, key DocumentKey) types.Epoch {
	if p == a.self.Peer {
		return a.table.epoch(key)
	}
	return a.versions[p][key]
}

// gone reports whether a member of g can never confirm again. It then counts as if it had every document.
func (a *acks) gone(p Peer, g GroupKey) bool {
	return a.members.state(p) == MemberGone || a.members.declaredLost[g.DataCentre]
}

// count returns how many of list have the document, and how many are gone without it.
func (a *acks) count(list []Peer, g GroupKey, key DocumentKey, epoch types.Epoch) (have, gone int) {
	for _, p := range list {
		switch {
		case a.version(p, key) >= epoch:
			have++
		case a.gone(p, g):
			gone++
		}
	}
	return have, gone
}

// blocked reports whether so many of list have the document or are gone that no majority confirms an older one.
func (a *acks) blocked(list []Peer, g GroupKey, key DocumentKey, epoch types.Epoch) bool {
	have, gone := a.count(list, g, key, epoch)
	return len(list) == 0 || have+gone >= blocking(len(list))
}

// groupHas reports whether so many of g's members have the document that nobody can obtain g's confirmation of an
// older one. It is false while a member knows a newer member list than this process. Members that are gone, and
// those of an empty list, report no newer list; they count only after a store read sent since the document was
// learned.
func (a *acks) groupHas(g GroupKey, key DocumentKey, epoch types.Epoch) bool {
	fresh := a.table.readAt >= a.table.documents[key].learnedAt
	list := a.table.group(g)
	if list == nil || len(list.Members) == 0 {
		return fresh
	}
	for _, p := range list.Members {
		if a.version(p, GroupDocumentKey(g)) > list.Epoch {
			return false
		}
	}
	have, gone := a.count(list.Members, g, key, epoch)
	needed := blocking(len(list.Members))
	return have >= needed || fresh && have+gone >= needed
}

// install sends the document to those of list that are not known to have it, along with g's member list.
func (a *acks) install(list []Peer, g GroupKey, key DocumentKey) {
	epoch := a.table.epoch(key)
	for _, p := range list {
		if p == a.self.Peer || a.gone(p, g) || a.version(p, key) >= epoch {
			continue
		}
		s := a.sent[sending{p, key}]
		if s.epoch == epoch && a.now.Sub(s.at) < a.timing.confirmEvery {
			continue
		}
		a.sent[sending{p, key}] = sent{epoch: epoch, at: a.now}
		documents := []Document{a.table.document(key)}
		if groupKey := GroupDocumentKey(g); groupKey != key && a.table.group(g) != nil {
			documents = append(documents, a.table.document(groupKey))
		}
		a.emit(Action{Kind: ActInstall, Install: Install{Planner: a.self.Peer, Member: p, Documents: documents}})
	}
}

// forget drops what is known about processes that are gone.
func (a *acks) forget() {
	for p := range a.versions {
		if a.members.state(p) == MemberGone {
			delete(a.versions, p)
		}
	}
	for s := range a.sent {
		if a.members.state(s.to) == MemberGone {
			delete(a.sent, s)
		}
	}
}
