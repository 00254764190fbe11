package ownership

import (
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Holder keeps the target leases of this dispatcher: it grants and renews at the targets, tells the dispatch duty what
// to serve, and confirms releases in the table.
//
// Phases of a held lease: taken (a store read must show the row together with the slots), granting, granted, lost (the
// target's grant ended; a new lease epoch is needed), revoked.
type Holder struct {
	*env
	permit *Permit
	writer *Writer
	// held is ordered by target.
	held []*holding
	// tableAt is the table change that held is computed from.
	tableAt uint64
	// calls and serves number the calls and the changes of what is served.
	calls  uint64
	serves uint64
	// groups and silent are what the permit is asked with.
	groups []GroupKey
	silent []types.TargetID
	// permitHeld is for the decision log only.
	permitHeld bool
}

// silentMisses is the number of unanswered calls before a target can be silent. They fit into the suspicion time.
const silentMisses = 3

// holding is one lease row whose holder is this process.
type holding struct {
	id    types.TargetID
	group GroupKey
	// checks is true when the target refuses requests without a valid grant.
	checks bool
	lease  Lease
	// learnedAt is when the row was learned, confirmed when a store read showed it.
	learnedAt types.Instant
	fromStore bool

	// areas is what the table allows, granted what the target last accepted under lease.Epoch, nil if nothing.
	areas   *Areas
	granted *Areas
	// unconfirmed is true from the sending of a grant until its or a later grant's acceptance: the target may have
	// other areas than granted. A release is confirmed only while it is false.
	unconfirmed bool
	// releasing is true when the table asks for the release of a slot or hot key.
	releasing bool
	// lost is true when the grant of lease.Epoch ended.
	lost bool
	// sentGrant is true once a grant with a token was sent under lease.Epoch.
	sentGrant bool
	// ended is true when the target holds no grant and none can still arrive.
	ended bool

	// token is the newest one with the incarnation that issued it. It was issued after tokenAfter, when the call was
	// sent that it answered, and before tokenBefore, when the answer arrived.
	token       Token
	incarnation types.Incarnation
	tokenAfter  types.Instant
	tokenBefore types.Instant
	// validUntil is the earliest end of the accepted grant, endsBy the latest end of any grant sent so far.
	validUntil types.Instant
	endsBy     types.Instant

	// call is the call in flight, with a Number of 0 when there is none.
	call     TargetCall
	callFrom types.Instant
	nextCall types.Instant
	// refused is true when the last call was refused for its token.
	refused bool

	// misses counts the calls since the last answer and silentSince is when the first of them was sent. Both are
	// needed: after a pause of this process one call looks old.
	misses      int
	silentSince types.Instant
	// reported is true when ReasonTargetSilent was logged.
	reported bool
	// vacatingAt is the epoch of the lease document from which this process tried to write the lease vacant. Until
	// the document is newer, that write may take effect, so the target gets no calls.
	vacatingAt types.Epoch

	// served is the last Serve; serving is true when it was not stopped.
	served  Serve
	serving bool
	// drained is the number of the last Serve outside of which nothing is in flight.
	drained uint64
}

func newHolder(e *env, p *Permit, w *Writer) Holder { return Holder{env: e, permit: p, writer: w} }

func (h *Holder) find(id types.TargetID) *holding {
	i, ok := slices.BinarySearchFunc(h.held, id, func(x *holding, id types.TargetID) int {
		return compareTargets(x.id, id)
	})
	if !ok {
		return nil
	}
	return h.held[i]
}

// refresh follows the table.
func (h *Holder) refresh() {
	if h.tableAt == h.table.changes {
		return
	}
	h.tableAt = h.table.changes
	for _, x := range h.held {
		h.follow(x)
	}
	h.held = slices.DeleteFunc(h.held, func(x *holding) bool { return !h.mine(x.lease) || h.service(x.id.Service) == nil })
	for i := range h.cfg.Services {
		h.take(&h.cfg.Services[i])
	}
	h.collectGroups()
}

func (h *Holder) mine(l Lease) bool { return l.Holder == h.self.Peer && l.State != LeaseVacant }

// follow updates a holding from its row.
func (h *Holder) follow(x *holding) {
	row, _ := h.table.lease(x.id)
	previous := x.lease
	x.lease = row
	if !h.mine(row) || row.State != LeaseActive || h.service(x.id.Service) == nil {
		h.stop(x)
		x.nextCall = h.now
		if previous.State == LeaseActive {
			h.decide(Decision{Reason: ReasonLeaseEnded, Service: x.id.Service, Target: x.id.Target, Epoch: previous.Epoch})
		}
		return
	}
	if row.Epoch != previous.Epoch {
		h.renewEpoch(x, previous)
	}
	h.computeAreas(x)
}

// renewEpoch starts a new lease epoch. If this process wrote it, the row was its own until then, nobody else can have
// taken slots from the target, and the slots known are still good. Otherwise the lease may have been with another
// dispatcher in between.
func (h *Holder) renewEpoch(x *holding, previous Lease) {
	x.granted = nil
	x.unconfirmed = false
	x.lost = false
	x.sentGrant = false
	x.ended = false
	x.nextCall = h.now
	doc := h.table.leases(x.id.Service)
	own := doc.Write.Peer == h.self.Peer && doc.Epoch == x.lease.Epoch
	if own && previous.State == LeaseActive && previous.Term == x.lease.Term {
		return
	}
	x.endsBy = later(x.endsBy, h.timing.grantEnd(h.now))
	x.learnedAt = h.now
	x.fromStore = false
}

// take adds holdings for rows that name this process.
func (h *Holder) take(s *config.Service) {
	doc := h.table.leases(s.Name)
	if doc == nil {
		return
	}
	for i := range doc.Leases {
		id := types.TargetID{Service: s.Name, Target: doc.Leases[i].Target}
		if !h.mine(doc.Leases[i]) || h.find(id) != nil {
			continue
		}
		h.add(s, id, doc.Leases[i], doc)
	}
}

func (h *Holder) add(s *config.Service, id types.TargetID, l Lease, doc *LeaseDocument) {
	x := &holding{
		id: id, lease: l, learnedAt: h.now, checks: s.ChecksGrants, group: GroupOf(doc.Scope, l.DataCentre),
		silentSince: forever, nextCall: h.now, validUntil: never, tokenAfter: never, tokenBefore: never,
		// The last holder's tokens were issued before this row was written.
		endsBy: h.timing.grantEnd(h.now),
	}
	i, _ := slices.BinarySearchFunc(h.held, id, func(x *holding, id types.TargetID) int { return compareTargets(x.id, id) })
	h.held = slices.Insert(h.held, i, x)
	if l.State != LeaseActive {
		return
	}
	h.computeAreas(x)
	h.decide(Decision{Reason: ReasonLeaseTaken, Service: id.Service, Target: id.Target, Epoch: l.Epoch})
}

func (h *Holder) computeAreas(x *holding) {
	s := h.service(x.id.Service)
	x.checks = s.ChecksGrants
	x.group = GroupOf(h.table.leases(s.Name).Scope, x.lease.DataCentre)
	if areas := areasOf(&h.table, s, x.id.Target, x.lease.Term); !areas.equal(x.areas) {
		x.areas = areas
	}
	x.releasing = rowsOf(&h.table, s, func(o Ownership) bool { return h.released(x, o) })
}

func (h *Holder) collectGroups() {
	h.groups = nil
	for _, x := range h.held {
		if !slices.Contains(h.groups, x.group) {
			h.groups = append(h.groups, x.group)
		}
	}
}

// storeRead marks the rows that a store read has shown together with the slots.
func (h *Holder) storeRead(sentAt types.Instant) {
	for _, x := range h.held {
		k := h.table.documents[LeasesKey(x.id.Service)]
		if x.learnedAt <= sentAt || k.fromStore {
			x.fromStore = true
		}
	}
}

func (h *Holder) setDrained(d Drained) {
	if x := h.find(d.Target); x != nil {
		x.drained = max(x.drained, d.Number)
	}
}

func (h *Holder) targetHeard(id types.TargetID) {
	if x := h.find(id); x != nil && !x.checks {
		x.heard()
	}
}

// targetSilent takes the dispatch duty's view of a target without grants; the others are judged by their answers to
// renewals.
func (h *Holder) targetSilent(id types.TargetID) {
	if x := h.find(id); x != nil && !x.checks {
		x.misses = silentMisses
		x.silentSince = min(x.silentSince, h.now)
	}
}

// tick makes the due calls and updates what is served.
func (h *Holder) tick() {
	h.logPermit()
	for _, x := range h.held {
		h.expireCall(x)
		if x.lease.State == LeaseActive {
			h.keep(x)
		} else {
			h.giveUp(x)
		}
	}
	h.collectSilent()
}

func (h *Holder) logPermit() {
	held := h.permit.held(h.ownGroup())
	if held == h.permitHeld {
		return
	}
	h.permitHeld = held
	reason := ReasonPermitLost
	if held {
		reason = ReasonPermitHeld
	}
	h.decide(Decision{Reason: reason, Peer: h.self.Peer})
}

// serve tells the dispatch duty what is both allowed by the table and granted by the target.
func (h *Holder) serve(x *holding) {
	if x.granted == nil || x.lost {
		return
	}
	until := min(x.validUntil, h.permit.until(x.group))
	areas := x.served.Areas
	if !x.serving || x.served.Epoch != x.lease.Epoch || !areas.equal(x.areas) || !x.granted.equal(x.areas) {
		areas = intersect(x.areas, x.granted, h.service(x.id.Service).Slots)
	}
	changed := !x.serving || x.served.Epoch != x.lease.Epoch || !areas.equal(x.served.Areas)
	if until <= h.now || !changed && until <= x.served.ValidUntil {
		return
	}
	number := x.served.Number
	if changed {
		number = h.nextServe()
	}
	x.serving = true
	x.served = Serve{Target: x.id, Epoch: x.lease.Epoch, Number: number, Areas: areas, ValidUntil: until}
	h.emit(Action{Kind: ActServe, Serve: x.served})
}

func (h *Holder) nextServe() uint64 {
	h.serves++
	return h.serves
}

// stop tells the dispatch duty to send nothing more to the target.
func (h *Holder) stop(x *holding) {
	if !x.serving {
		return
	}
	x.serving = false
	x.served.Number = h.nextServe()
	x.served.Areas = nil
	h.emit(Action{Kind: ActStop, Serve: Serve{Target: x.id, Epoch: x.served.Epoch, Number: x.served.Number}})
}

// giveUp ends the grant of a revoked lease that is to become vacant.
func (h *Holder) giveUp(x *holding) {
	if !x.lease.Ending || x.ended || !x.checks || x.token == 0 || x.call.Number != 0 || h.now < x.nextCall {
		return
	}
	if x.drained >= x.served.Number {
		h.send(x, CallRelease, nil)
	}
}

func (h *Holder) silentNow(x *holding) bool {
	return x.misses >= silentMisses && h.now >= x.silentSince.Add(h.timing.suspicion)
}

func (x *holding) heard() {
	x.misses = 0
	x.silentSince = forever
	x.reported = false
}

func (h *Holder) vacating(x *holding) bool {
	return x.vacatingAt != 0 && x.vacatingAt >= h.table.epoch(LeasesKey(x.id.Service))
}

// collectSilent lists the targets without a valid grant.
func (h *Holder) collectSilent() {
	same := true
	n := 0
	for _, x := range h.held {
		if x.lease.State != LeaseActive || x.granted != nil && h.now < x.validUntil {
			continue
		}
		same = same && n < len(h.silent) && h.silent[n] == x.id
		n++
	}
	if same && n == len(h.silent) {
		return
	}
	h.silent = make([]types.TargetID, 0, n)
	for _, x := range h.held {
		if x.lease.State == LeaseActive && (x.granted == nil || h.now >= x.validUntil) {
			h.silent = append(h.silent, x.id)
		}
	}
}
