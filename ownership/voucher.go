package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Voucher answers for this process as a quorum group member: it confirms permits, acknowledges documents and reports
// dispatchers and targets that are silent.
type Voucher struct {
	*env
	// heard holds the last question of each dispatcher.
	heard map[types.VM]hearing
	// lost and silent are the current reports, computed once per tick.
	lost   []Peer
	silent []types.TargetID
	// versions is the answer to a question, reused while the table does not change.
	versions   []DocumentVersion
	versionsAt uint64
	tickedAt   types.Instant
}

// forgetAfter is when a process that is no longer heard is forgotten, so that replaced VMs take no memory.
const forgetAfter = time.Hour

type hearing struct {
	peer   Peer
	at     types.Instant
	silent []types.TargetID
}

func newVoucher(e *env) Voucher {
	return Voucher{env: e, heard: make(map[types.VM]hearing), tickedAt: never}
}

// answer answers a question. A member confirms only under the member list that it and the asker have, and only after
// it has read the store since it learned that list. Otherwise a new member could confirm without a revocation that a
// majority of an earlier list had acknowledged, and a restarted one without its own earlier acknowledgements.
func (v *Voucher) answer(q VouchRequest) VouchReply {
	v.hear(q)
	r := VouchReply{
		Ticket: q.Ticket, Group: q.Group, Asker: q.Asker, AskedAt: q.AskedAt, Member: v.self.Peer,
		Status: VouchSame, Versions: v.versionsOf(q), Lost: v.lost, Silent: v.silent,
	}
	for i, asked := range q.Versions {
		if r.Versions[i].Epoch <= asked.Epoch {
			continue
		}
		r.Status = VouchNewer
		r.Documents = append(r.Documents, v.table.document(asked.Key))
	}
	if r.Status == VouchSame && !v.mayConfirm(q) {
		r.Status = VouchRefused
	}
	return r
}

// mayConfirm reports whether this process is a member under the asker's list and has read the store under it.
func (v *Voucher) mayConfirm(q VouchRequest) bool {
	k := v.table.documents[GroupDocumentKey(q.Group)]
	if k.Group == nil || !k.fromStore || len(q.Versions) == 0 || q.Versions[0].Epoch != k.Group.Epoch {
		return false
	}
	return q.Member == v.self.Peer && slices.Contains(k.Group.Members, v.self.Peer)
}

// versionsOf returns the versions of the documents asked about.
func (v *Voucher) versionsOf(q VouchRequest) []DocumentVersion {
	if v.versionsAt == v.table.changes && sameKeys(v.versions, q.Versions) {
		return v.versions
	}
	v.versionsAt = v.table.changes
	v.versions = make([]DocumentVersion, 0, len(q.Versions))
	for _, asked := range q.Versions {
		v.versions = append(v.versions, DocumentVersion{Key: asked.Key, Epoch: v.table.epoch(asked.Key)})
	}
	return v.versions
}

func sameKeys(a, b []DocumentVersion) bool {
	return slices.EqualFunc(a, b, func(x, y DocumentVersion) bool { return x.Key == y.Key })
}

func (v *Voucher) hear(q VouchRequest) {
	last := v.heard[q.Asker.VM]
	if last.peer.Incarnation > q.Asker.Incarnation {
		return
	}
	v.heard[q.Asker.VM] = hearing{peer: q.Asker, at: v.now, silent: q.Silent}
}

// install takes the planner's documents and acknowledges what this process now has. From then on it confirms no older
// version.
func (v *Voucher) install(m Install) InstallReply {
	r := InstallReply{Ticket: m.Ticket, Planner: m.Planner, Member: v.self.Peer}
	for _, d := range m.Documents {
		v.table.install(v.now, d)
		r.Versions = append(r.Versions, DocumentVersion{Key: d.Key, Epoch: v.table.epoch(d.Key)})
	}
	return r
}

// tick renews the reports. A dispatcher of this data centre that is listed or holds a lease and was never heard is
// counted from the first tick that sees it. Those without a lease are reported too, so that the planner gives them none.
func (v *Voucher) tick() {
	v.forgivePause()
	if v.table.group(v.ownGroup()) == nil {
		return
	}
	v.lost = v.lost[:0:0]
	for i := range v.members.list {
		if m := &v.members.list[i]; m.State != MemberGone {
			v.suspect(m.Peer)
		}
	}
	for i := range v.cfg.Services {
		doc := v.table.leases(v.cfg.Services[i].Name)
		if doc == nil {
			continue
		}
		for j := range doc.Leases {
			if doc.Leases[j].State != LeaseVacant {
				v.suspect(doc.Leases[j].Holder)
			}
		}
	}
	v.collectSilent()
}

// forget drops processes that have not been heard for long.
func (v *Voucher) forget() {
	maps.DeleteFunc(v.heard, func(_ types.VM, h hearing) bool { return v.now.Sub(h.at) >= forgetAfter })
}

// forgivePause starts all silences anew when this process was paused itself and could hear nobody.
func (v *Voucher) forgivePause() {
	if v.now.Sub(v.tickedAt) >= v.timing.suspicion/2 {
		for vm, h := range v.heard {
			h.at = v.now
			v.heard[vm] = h
		}
	}
	v.tickedAt = v.now
}

func (v *Voucher) suspect(p Peer) {
	if v.members.dataCentre(p.VM) != v.self.DataCentre {
		return
	}
	last, ok := v.heard[p.VM]
	if !ok || last.peer.Incarnation < p.Incarnation {
		v.heard[p.VM] = hearing{peer: p, at: v.now}
		return
	}
	if last.peer == p && v.now.Sub(last.at) < v.timing.suspicion {
		return
	}
	if !slices.Contains(v.lost, p) {
		v.lost = append(v.lost, p)
	}
}

func (v *Voucher) collectSilent() {
	v.silent = v.silent[:0:0]
	for _, h := range v.heard {
		if v.now.Sub(h.at) < v.timing.suspicion {
			v.silent = append(v.silent, h.silent...)
		}
	}
	slices.SortFunc(v.silent, compareTargets)
}

func compareTargets(a, b types.TargetID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
}
