package ownership

import "sequoiasail.example/types"

// acks records the newest version of each document that the planner knows each quorum group member to have. A member
// that has a document confirms no older version of it.
type acks struct {
	*env
	versions    map[Peer]map[DocumentKey]types.Epoch
	lastInstall map[installKey]lastInstall
}

// installKey identifies the installs of one document at one member.
type installKey struct {
	to  Peer
	key DocumentKey
}

// lastInstall is the epoch of the document last sent to a member and the time of sending.
type lastInstall struct {
	epoch types.Epoch
	at    types.Instant
}

func newAcks(e *env) acks {
	return acks{env: e, versions: make(map[Peer]map[DocumentKey]types.Epoch), lastInstall: make(map[installKey]lastInstall)}
}

// record records the versions that a member reported.
func (a *acks) record(p Peer, versions []DocumentVersion) {
	have := a.versions[p]
	if have == nil {
		have = make(map[DocumentKey]types.Epoch)
		a.versions[p] = have
	}
	for _, v := range versions {
		have[v.Key] = max(have[v.Key], v.Epoch)
	}
}

// version returns the epoch of a document that p is known to have.
func (a *acks) version(p Peer, key DocumentKey) types.Epoch {
	if p == a.self.Peer {
		return a.table.epoch(key)
	}
	return a.versions[p][key]
}

// terminated reports whether a member of g certainly no longer runs. It can never confirm again and counts as if it
// had every document.
func (a *acks) terminated(p Peer, g GroupKey) bool {
	return a.members.state(p) == MemberTerminated || a.members.declaredLost[g.DataCentre]
}

// count returns how many of list have the document, and how many have terminated without it.
func (a *acks) count(list []Peer, g GroupKey, key DocumentKey, epoch types.Epoch) (have, terminated int) {
	for _, p := range list {
		switch {
		case a.version(p, key) >= epoch:
			have++
		case a.terminated(p, g):
			terminated++
		}
	}
	return have, terminated
}

// blocksOlder reports whether so many of list have the document or have terminated that no majority can confirm an
// older one.
func (a *acks) blocksOlder(list []Peer, g GroupKey, key DocumentKey, epoch types.Epoch) bool {
	have, terminated := a.count(list, g, key, epoch)
	return len(list) == 0 || have+terminated >= blockingSize(len(list))
}

// groupAcknowledged reports whether so many members of g have the document that g can no longer confirm an older one.
// It is false while a member knows a newer member list than this process. Members that have terminated, and those of
// an empty list, report no newer list; they count only after a store read sent since the document was learned.
func (a *acks) groupAcknowledged(g GroupKey, key DocumentKey, epoch types.Epoch) bool {
	readSinceLearned := a.table.readAt >= a.table.documents[key].learnedAt
	list := a.table.group(g)
	if list == nil || len(list.Members) == 0 {
		return readSinceLearned
	}
	for _, p := range list.Members {
		if a.version(p, GroupDocumentKey(g)) > list.Epoch {
			return false
		}
	}
	have, terminated := a.count(list.Members, g, key, epoch)
	if have >= majority(len(list.Members)) {
		return true
	}
	return readSinceLearned && have+terminated >= blockingSize(len(list.Members)) && a.previousBlocksOlder(list, g, key, epoch)
}

// previousBlocksOlder reports whether the previous member list can no longer confirm an older document, because enough
// of its members have the current list or the document itself. The check is needed because fewer than a majority of
// the current list need not have a member in common with a majority of the previous one.
func (a *acks) previousBlocksOlder(list *GroupDocument, g GroupKey, key DocumentKey, epoch types.Epoch) bool {
	return a.blocksOlder(list.PreviousMembers, g, GroupDocumentKey(g), list.Epoch) || a.blocksOlder(list.PreviousMembers, g, key, epoch)
}

// install sends the document, along with the member list of g, to those of list that are not known to have it.
func (a *acks) install(list []Peer, g GroupKey, key DocumentKey) {
	epoch := a.table.epoch(key)
	for _, p := range list {
		if p == a.self.Peer || a.terminated(p, g) || a.version(p, key) >= epoch {
			continue
		}
		s := a.lastInstall[installKey{p, key}]
		if s.epoch == epoch && a.now.Sub(s.at) < a.timing.confirmEvery {
			continue
		}
		a.lastInstall[installKey{p, key}] = lastInstall{epoch: epoch, at: a.now}
		documents := []Document{a.table.document(key)}
		if groupKey := GroupDocumentKey(g); groupKey != key && a.table.group(g) != nil {
			documents = append(documents, a.table.document(groupKey))
		}
		a.emit(Action{Kind: ActInstall, Install: Install{Planner: a.self.Peer, Member: p, Documents: documents}})
	}
}

// prune drops the records of processes that have terminated.
func (a *acks) prune() {
	for p := range a.versions {
		if a.members.state(p) == MemberTerminated {
			delete(a.versions, p)
		}
	}
	for s := range a.lastInstall {
		if a.members.state(s.to) == MemberTerminated {
			delete(a.lastInstall, s)
		}
	}
}
