package ownership

import (
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// MaxGroupMembers is the largest size of a quorum group. It bounds the questions for permits at design size.
const MaxGroupMembers = 5

// Permit is the right to renew grants and to send requests. It lasts for config.Ownership.PermitMs from the sending
// of a question that the store answered, or that a majority of a quorum group answered with VouchSame. Counting from
// the arrival of the answer would let a delayed answer outlast the wait after a revocation.
type Permit struct {
	*env
	voucher *Voucher
	// storeBasis is when the newest answered store read was sent.
	storeBasis types.Instant
	groups     map[GroupKey]*groupPermit
	// local holds this process's own answers as a quorum group member until the core has taken them.
	local []VouchReply
}

// groupPermit is the permit that one quorum group confirms.
type groupPermit struct {
	// epoch of the member list that confirmed belongs to.
	epoch types.Epoch
	// confirmed is when the question was sent that each member last answered with VouchSame.
	confirmed [MaxGroupMembers]types.Instant
	// basis is when the newest question was sent that a majority confirmed.
	basis types.Instant
	// askedAt is when the members were last asked.
	askedAt types.Instant
	// versions is what the members are asked to confirm, for the table changes counted in versionsAt.
	versions   []DocumentVersion
	versionsAt uint64
}

func newPermit(e *env, v *Voucher) Permit {
	return Permit{env: e, voucher: v, storeBasis: never, groups: make(map[GroupKey]*groupPermit)}
}

func (p *Permit) group(g GroupKey) *groupPermit {
	gp := p.groups[g]
	if gp == nil {
		gp = &groupPermit{basis: never, askedAt: never}
		gp.forget()
		p.groups[g] = gp
	}
	return gp
}

func (g *groupPermit) forget() {
	for i := range g.confirmed {
		g.confirmed[i] = never
	}
}

// reset forgets the confirmations of the groups. A new configuration changes which leases they covered.
func (p *Permit) reset() { clear(p.groups) }

// storeRead takes note of an answered store read.
func (p *Permit) storeRead(sentAt types.Instant) {
	if sentAt <= p.now {
		p.storeBasis = later(p.storeBasis, sentAt)
	}
}

// until returns when the permit for targets of a group ends.
func (p *Permit) until(g GroupKey) types.Instant {
	basis := p.storeBasis
	if gp := p.groups[g]; gp != nil {
		basis = later(basis, gp.basis)
	}
	return basis.Add(p.timing.permit)
}

// held reports whether the permit for targets of a group is valid now.
func (p *Permit) held(g GroupKey) bool { return p.now < p.until(g) }

// ask sends the due questions. The group of the own data centre is always asked, since its members suspect
// dispatchers that they do not hear. The groups of held leases are asked when the store's answer is late, and the
// planner asks all groups.
func (p *Permit) ask(needed []GroupKey, silent []types.TargetID) {
	p.askGroup(p.ownGroup(), p.timing.confirmEvery, silent)
	late := p.now.Sub(p.storeBasis) >= p.timing.confirmEvery
	for _, g := range needed {
		if late {
			p.askGroup(g, p.timing.confirmEvery/2, silent)
		}
	}
	if !p.planner {
		return
	}
	p.askGroup(GroupAll, p.timing.confirmEvery, silent)
	for i := range p.cfg.DataCentres {
		p.askGroup(GroupOf(config.ScopeDataCentre, p.cfg.DataCentres[i].Name), p.timing.confirmEvery, silent)
	}
}

func (p *Permit) askGroup(g GroupKey, every time.Duration, silent []types.TargetID) {
	list := p.table.group(g)
	if list == nil || len(list.Members) == 0 {
		return
	}
	gp := p.group(g)
	if p.now.Sub(gp.askedAt) < every {
		return
	}
	gp.askedAt = p.now
	p.refresh(g, gp, list)
	request := VouchRequest{Group: g, Asker: p.self.Peer, AskedAt: p.now, Versions: gp.versions, Silent: silent}
	for _, m := range list.Members {
		request.Member = m
		if m == p.self.Peer {
			p.local = append(p.local, p.voucher.answer(request))
			continue
		}
		p.emit(Action{Kind: ActVouch, Vouch: request})
	}
}

// refresh brings the list of versions up to date and drops confirmations under another member list.
func (p *Permit) refresh(g GroupKey, gp *groupPermit, list *GroupDocument) {
	if gp.epoch != list.Epoch {
		gp.epoch = list.Epoch
		gp.forget()
	}
	if gp.versions != nil && gp.versionsAt == p.table.changes {
		return
	}
	gp.versionsAt = p.table.changes
	gp.versions = []DocumentVersion{{Key: GroupDocumentKey(g), Epoch: list.Epoch}}
	for i := range p.cfg.Services {
		key := LeasesKey(p.cfg.Services[i].Name)
		gp.versions = append(gp.versions, DocumentVersion{Key: key, Epoch: p.table.epoch(key)})
	}
}

// reply takes a member's answer. It reports whether the answer brought newer documents.
func (p *Permit) reply(r VouchReply) (newer bool) {
	if r.Asker != p.self.Peer || r.AskedAt > p.now {
		return false
	}
	for _, d := range r.Documents {
		before := p.table.changes
		p.table.install(p.now, d)
		newer = newer || p.table.changes != before
	}
	if newer {
		p.group(r.Group).askedAt = never
	}
	if r.Status == VouchSame {
		p.confirm(r)
	}
	return newer
}

func (p *Permit) confirm(r VouchReply) {
	list := p.table.group(r.Group)
	gp := p.group(r.Group)
	if list == nil || gp.epoch != list.Epoch || len(r.Versions) == 0 || r.Versions[0].Epoch != list.Epoch {
		return
	}
	i := slices.Index(list.Members, r.Member)
	if i < 0 || i >= MaxGroupMembers {
		return
	}
	gp.confirmed[i] = later(gp.confirmed[i], r.AskedAt)
	gp.basis = later(gp.basis, gp.majorityBasis(len(list.Members)))
}

// majorityBasis returns the newest instant such that a majority confirmed questions sent at or after it.
func (g *groupPermit) majorityBasis(members int) types.Instant {
	sorted := g.confirmed
	part := sorted[:min(members, MaxGroupMembers)]
	slices.Sort(part)
	return part[len(part)-majority(members)]
}
