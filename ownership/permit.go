package ownership

import (
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// MaxGroupMembers is the largest size of a quorum group. It bounds the number of confirmation requests at the size
// that the system is designed for.
const MaxGroupMembers = 5

// Permit is the right to renew grants and to send requests. It lasts for config.Ownership.PermitMs from the sending of
// a store read that was answered, or of confirmation requests that a majority of a quorum group answered with
// ConfirmationCurrent. If it counted from the arrival of the answer, a delayed answer could extend it beyond the wait
// after a revocation.
type Permit struct {
	*env
	quorumMember *QuorumMember
	// storeConfirmedAt is when the newest answered store read was sent.
	storeConfirmedAt types.Instant
	groups           map[GroupKey]*groupPermit
	// localReplies holds the replies of this process to its own requests until the core handles them.
	localReplies []ConfirmationReply
}

// groupPermit is the permit that one quorum group confirms.
type groupPermit struct {
	// epoch is that of the member list that memberConfirmedAt belongs to.
	epoch types.Epoch
	// memberConfirmedAt is the sending time of the newest request that each member answered with ConfirmationCurrent, in
	// the order of the member list.
	memberConfirmedAt [MaxGroupMembers]types.Instant
	// confirmedAt is the newest sending time of requests that a majority confirmed.
	confirmedAt types.Instant
	// requestedAt is when requests were last sent to the members.
	requestedAt types.Instant
	// versions is what the members are asked to confirm, computed from table version versionsAt.
	versions   []DocumentVersion
	versionsAt uint64
}

func newPermit(e *env, q *QuorumMember) Permit {
	return Permit{env: e, quorumMember: q, storeConfirmedAt: never, groups: make(map[GroupKey]*groupPermit)}
}

func (p *Permit) group(g GroupKey) *groupPermit {
	gp := p.groups[g]
	if gp == nil {
		gp = &groupPermit{confirmedAt: never, requestedAt: never}
		gp.reset()
		p.groups[g] = gp
	}
	return gp
}

// reset drops the confirmations of all members.
func (g *groupPermit) reset() {
	for i := range g.memberConfirmedAt {
		g.memberConfirmedAt[i] = never
	}
}

// clearGroups drops the confirmations of all groups. A new configuration changes which leases they covered.
func (p *Permit) clearGroups() { clear(p.groups) }

// storeRead extends the permit after an answered store read.
func (p *Permit) storeRead(sentAt types.Instant) {
	if sentAt <= p.now {
		p.storeConfirmedAt = later(p.storeConfirmedAt, sentAt)
	}
}

// until returns when the permit for targets of a group expires.
func (p *Permit) until(g GroupKey) types.Instant {
	confirmedAt := p.storeConfirmedAt
	if gp := p.groups[g]; gp != nil {
		confirmedAt = later(confirmedAt, gp.confirmedAt)
	}
	return confirmedAt.Add(p.timing.permit)
}

// held reports whether the permit for targets of a group is valid now.
func (p *Permit) held(g GroupKey) bool { return p.now < p.until(g) }

// requestDue sends the due confirmation requests. The group of this data centre always gets them, since its members
// suspect dispatchers whose requests stop. The groups of held leases get them when the answer of the store is late,
// and the planner sends them to all groups.
func (p *Permit) requestDue(needed []GroupKey, ungranted []types.TargetID) {
	p.requestGroup(p.ownGroup(), p.timing.confirmEvery, ungranted)
	late := p.now.Sub(p.storeConfirmedAt) >= p.timing.confirmEvery
	for _, g := range needed {
		if late {
			p.requestGroup(g, p.timing.confirmEvery/2, ungranted)
		}
	}
	if !p.planner {
		return
	}
	p.requestGroup(GroupAll, p.timing.confirmEvery, ungranted)
	for i := range p.cfg.DataCentres {
		p.requestGroup(GroupOf(config.ScopeDataCentre, p.cfg.DataCentres[i].Name), p.timing.confirmEvery, ungranted)
	}
}

// requestGroup sends confirmation requests to the members of a group unless the last ones are more recent than every.
func (p *Permit) requestGroup(g GroupKey, every time.Duration, ungranted []types.TargetID) {
	list := p.table.group(g)
	if list == nil || len(list.Members) == 0 {
		return
	}
	gp := p.group(g)
	if p.now.Sub(gp.requestedAt) < every {
		return
	}
	gp.requestedAt = p.now
	p.refreshVersions(g, gp, list)
	request := ConfirmationRequest{Group: g, Asker: p.self.Peer, AskedAt: p.now, Versions: gp.versions, Silent: ungranted}
	for _, m := range list.Members {
		request.Member = m
		if m == p.self.Peer {
			p.localReplies = append(p.localReplies, p.quorumMember.answer(request))
			continue
		}
		p.emit(Action{Kind: ActConfirmationRequest, Confirmation: request})
	}
}

// refreshVersions updates the list of versions and drops confirmations given under another member list.
func (p *Permit) refreshVersions(g GroupKey, gp *groupPermit, list *GroupDocument) {
	if gp.epoch != list.Epoch {
		gp.epoch = list.Epoch
		gp.reset()
	}
	if gp.versions != nil && gp.versionsAt == p.table.version {
		return
	}
	gp.versionsAt = p.table.version
	gp.versions = []DocumentVersion{{Key: GroupDocumentKey(g), Epoch: list.Epoch}}
	for i := range p.cfg.Services {
		key := LeasesKey(p.cfg.Services[i].Name)
		gp.versions = append(gp.versions, DocumentVersion{Key: key, Epoch: p.table.epoch(key)})
	}
}

// reply handles the reply of a member. It reports whether the reply contained newer documents.
func (p *Permit) reply(r ConfirmationReply) (newer bool) {
	if r.Asker != p.self.Peer || r.AskedAt > p.now {
		return false
	}
	for _, d := range r.Documents {
		before := p.table.version
		p.table.install(p.now, d)
		newer = newer || p.table.version != before
	}
	if newer {
		p.group(r.Group).requestedAt = never
	}
	if r.Status == ConfirmationCurrent {
		p.recordConfirmation(r)
	}
	return newer
}

// recordConfirmation records the confirmation of a member that uses the same member list.
func (p *Permit) recordConfirmation(r ConfirmationReply) {
	list := p.table.group(r.Group)
	gp := p.group(r.Group)
	if list == nil || gp.epoch != list.Epoch || len(r.Versions) == 0 || r.Versions[0].Epoch != list.Epoch {
		return
	}
	i := slices.Index(list.Members, r.Member)
	if i < 0 || i >= MaxGroupMembers {
		return
	}
	gp.memberConfirmedAt[i] = later(gp.memberConfirmedAt[i], r.AskedAt)
	gp.confirmedAt = later(gp.confirmedAt, gp.majorityConfirmedAt(len(list.Members)))
}

// majorityConfirmedAt returns the newest instant such that a majority confirmed requests sent at or after it.
func (g *groupPermit) majorityConfirmedAt(members int) types.Instant {
	sorted := g.memberConfirmedAt
	part := sorted[:min(members, MaxGroupMembers)]
	slices.Sort(part)
	return part[len(part)-majority(members)]
}
