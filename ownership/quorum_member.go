package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// QuorumMember answers other dispatchers on behalf of this process as a member of quorum groups: it confirms permits,
// acknowledges documents and reports suspected dispatchers and targets without a grant.
type QuorumMember struct {
	*env
	// requests holds the last confirmation request of each dispatcher.
	requests map[types.VM]lastRequest
	// suspected and ungranted are the current reports, computed once per tick.
	suspected []Peer
	ungranted []types.TargetID
	// versions is the last list of versions sent, reused while the table version is versionsAt.
	versions   []DocumentVersion
	versionsAt uint64
	tickedAt   types.Instant
}

// requestRetention is how long the last request of a process is kept, so that replaced VMs use no memory for ever.
const requestRetention = time.Hour

// lastRequest is the last confirmation request of a dispatcher: its incarnation, the time of arrival and the targets
// it reported.
type lastRequest struct {
	peer      Peer
	at        types.Instant
	ungranted []types.TargetID
}

func newQuorumMember(e *env) QuorumMember {
	return QuorumMember{env: e, requests: make(map[types.VM]lastRequest), tickedAt: never}
}

// answer answers a confirmation request. A member confirms only under the member list that both it and the requester
// have, and only after it has read the store since it learned that list. Otherwise a new member could confirm without
// knowing a revocation that a majority of an earlier list had acknowledged, and a restarted one without its own
// earlier acknowledgements.
func (q *QuorumMember) answer(request ConfirmationRequest) ConfirmationReply {
	q.recordRequest(request)
	r := ConfirmationReply{
		Ticket: request.Ticket, Group: request.Group, Asker: request.Asker, AskedAt: request.AskedAt, Member: q.self.Peer,
		Status: ConfirmationCurrent, Versions: q.versionsOf(request), Lost: q.suspected, Silent: q.ungranted,
	}
	for i, asked := range request.Versions {
		if r.Versions[i].Epoch <= asked.Epoch {
			continue
		}
		r.Status = ConfirmationOutdated
		r.Documents = append(r.Documents, q.table.document(asked.Key))
	}
	if r.Status == ConfirmationCurrent && !q.mayConfirm(request) {
		r.Status = ConfirmationRefused
	}
	return r
}

// mayConfirm reports whether this process is a member under the list of the requester and has read the store since it
// learned that list.
func (q *QuorumMember) mayConfirm(request ConfirmationRequest) bool {
	k := q.table.documents[GroupDocumentKey(request.Group)]
	if k.Group == nil || !k.fromStore || len(request.Versions) == 0 || request.Versions[0].Epoch != k.Group.Epoch {
		return false
	}
	return request.Member == q.self.Peer && slices.Contains(k.Group.Members, q.self.Peer)
}

// versionsOf returns the versions at which this process has the requested documents.
func (q *QuorumMember) versionsOf(request ConfirmationRequest) []DocumentVersion {
	if q.versionsAt == q.table.version && sameKeys(q.versions, request.Versions) {
		return q.versions
	}
	q.versionsAt = q.table.version
	q.versions = make([]DocumentVersion, 0, len(request.Versions))
	for _, asked := range request.Versions {
		q.versions = append(q.versions, DocumentVersion{Key: asked.Key, Epoch: q.table.epoch(asked.Key)})
	}
	return q.versions
}

func sameKeys(a, b []DocumentVersion) bool {
	return slices.EqualFunc(a, b, func(x, y DocumentVersion) bool { return x.Key == y.Key })
}

// recordRequest records a request unless its sender is an older incarnation.
func (q *QuorumMember) recordRequest(request ConfirmationRequest) {
	last := q.requests[request.Asker.VM]
	if last.peer.Incarnation > request.Asker.Incarnation {
		return
	}
	q.requests[request.Asker.VM] = lastRequest{peer: request.Asker, at: q.now, ungranted: request.Silent}
}

// install stores the documents of the planner and acknowledges the versions that this process now has. From then on it
// confirms no older version.
func (q *QuorumMember) install(m Install) InstallReply {
	r := InstallReply{Ticket: m.Ticket, Planner: m.Planner, Member: q.self.Peer}
	for _, d := range m.Documents {
		q.table.install(q.now, d)
		r.Versions = append(r.Versions, DocumentVersion{Key: d.Key, Epoch: q.table.epoch(d.Key)})
	}
	return r
}

// tick recomputes the reports. For a dispatcher of this data centre that is listed or holds a lease and has never sent
// a request, the timeout starts at the first tick that sees it. Dispatchers without a lease are reported too, so that
// the planner assigns them none.
func (q *QuorumMember) tick() {
	q.resetAfterPause()
	if q.table.group(q.ownGroup()) == nil {
		return
	}
	q.suspected = q.suspected[:0:0]
	for i := range q.members.list {
		if m := &q.members.list[i]; m.State != MemberTerminated {
			q.checkDispatcher(m.Peer)
		}
	}
	for i := range q.cfg.Services {
		doc := q.table.leases(q.cfg.Services[i].Name)
		if doc == nil {
			continue
		}
		for j := range doc.Leases {
			if doc.Leases[j].State != LeaseVacant {
				q.checkDispatcher(doc.Leases[j].Holder)
			}
		}
	}
	q.collectUngranted()
}

// prune drops the requests of processes that have sent none for long.
func (q *QuorumMember) prune() {
	maps.DeleteFunc(q.requests, func(_ types.VM, h lastRequest) bool { return q.now.Sub(h.at) >= requestRetention })
}

// resetAfterPause restarts the suspicion timeout of every dispatcher when this process was paused itself and could
// receive no requests.
func (q *QuorumMember) resetAfterPause() {
	if q.now.Sub(q.tickedAt) >= q.timing.suspicionTimeout/2 {
		for vm, h := range q.requests {
			h.at = q.now
			q.requests[vm] = h
		}
	}
	q.tickedAt = q.now
}

// checkDispatcher adds a dispatcher of this data centre to the suspected ones when its suspicion timeout has passed.
// The timeout of an incarnation that has sent no request yet starts here.
func (q *QuorumMember) checkDispatcher(p Peer) {
	if q.members.dataCentre(p.VM) != q.self.DataCentre {
		return
	}
	last, ok := q.requests[p.VM]
	if !ok || last.peer.Incarnation < p.Incarnation {
		q.requests[p.VM] = lastRequest{peer: p, at: q.now}
		return
	}
	if last.peer == p && q.now.Sub(last.at) < q.timing.suspicionTimeout {
		return
	}
	if !slices.Contains(q.suspected, p) {
		q.suspected = append(q.suspected, p)
	}
}

// collectUngranted lists the targets that dispatchers reported without a grant in recent requests.
func (q *QuorumMember) collectUngranted() {
	q.ungranted = q.ungranted[:0:0]
	for _, h := range q.requests {
		if q.now.Sub(h.at) < q.timing.suspicionTimeout {
			q.ungranted = append(q.ungranted, h.ungranted...)
		}
	}
	slices.SortFunc(q.ungranted, compareTargetIDs)
}

func compareTargetIDs(a, b types.TargetID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
}
