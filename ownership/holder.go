package ownership

import (
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Holder manages the target leases of this dispatcher: it grants and renews at the targets, tells the dispatch duty
// which keys to serve, and confirms releases in the table.
//
// Phases of a held lease: taken (a store read must show the row together with the slot documents), granting, granted,
// lost (the grant ended; a new lease epoch is needed), revoked.
type Holder struct {
	*env
	permit *Permit
	writer *Writer
	// held is ordered by target.
	held []*heldLease
	// tableVersion is the table version that held was computed from.
	tableVersion uint64
	// callNumber and serveNumber are the last numbers given to a call and to a change of the keys served.
	callNumber  uint64
	serveNumber uint64
	// groups lists the quorum groups that confirm the permit for the held leases. ungranted lists the targets without
	// a valid grant, which confirmation requests report.
	groups    []GroupKey
	ungranted []types.TargetID
	// lastPermitHeld is whether the permit was held at the last tick. Only the decision log uses it.
	lastPermitHeld bool
}

// unresponsiveMisses is the number of consecutive unanswered calls after which a target can count as unresponsive.
// That many calls fit into the suspicion timeout.
const unresponsiveMisses = 3

// heldLease is one lease row whose holder is this process, with the state of the grant at the target.
type heldLease struct {
	id    types.TargetID
	group GroupKey
	// checksGrants is true when the target refuses requests without a valid grant.
	checksGrants bool
	lease        Lease
	// learnedAt is when this process learned the row. fromStore is true once a store read has shown it.
	learnedAt types.Instant
	fromStore bool

	// keys is what the table assigns, granted what the target last accepted under lease.Epoch, nil if nothing.
	keys    *KeySet
	granted *KeySet
	// unconfirmed is true from the sending of a grant until that grant or a later one is accepted: the target may have
	// other keys than granted. A release is confirmed only while it is false.
	unconfirmed bool
	// releasing is true when the table requests the release of a slot or hot key.
	releasing bool
	// grantLost is true when the grant of lease.Epoch ended.
	grantLost bool
	// sentGrant is true once a grant or renewal with a token was sent under lease.Epoch.
	sentGrant bool
	// grantEnded is true when the target has no grant and none can still arrive.
	grantEnded bool

	// token is the newest token with the incarnation that issued it. It was issued between tokenAfter, when the call
	// that it answered was sent, and tokenBefore, when the answer arrived.
	token       Token
	incarnation types.Incarnation
	tokenAfter  types.Instant
	tokenBefore types.Instant
	// validUntil is the earliest expiry of the accepted grant, grantEndsBy the latest expiry of any grant sent so far.
	validUntil  types.Instant
	grantEndsBy types.Instant

	// call is the call in flight; its Number is 0 when there is none. ttlStart is the earliest issue time of its
	// token, from which the time to live is counted.
	call     TargetCall
	ttlStart types.Instant
	nextCall types.Instant
	// tokenRefused is true when the target refused the token of the last call.
	tokenRefused bool

	// misses counts the calls since the last answer and unansweredSince is when the first of them was sent. Both are
	// needed: after a pause of this process a single call looks old.
	misses          int
	unansweredSince types.Instant
	// unresponsiveLogged is true when ReasonTargetSilent was logged.
	unresponsiveLogged bool
	// vacateEpoch is the epoch of the lease document that this process last tried to replace by one in which the lease
	// is vacant. Until the document is newer, that write may take effect, so the target gets no calls.
	vacateEpoch types.Epoch

	// served is the last Serve; serving is true while no stop has followed it.
	served  Serve
	serving bool
	// drained is the highest Serve number for which no request outside its keys is in flight.
	drained uint64
}

func newHolder(e *env, p *Permit, w *Writer) Holder { return Holder{env: e, permit: p, writer: w} }

func (h *Holder) find(id types.TargetID) *heldLease {
	i, ok := slices.BinarySearchFunc(h.held, id, func(x *heldLease, id types.TargetID) int {
		return compareTargetIDs(x.id, id)
	})
	if !ok {
		return nil
	}
	return h.held[i]
}

// refresh updates the held leases from the table.
func (h *Holder) refresh() {
	if h.tableVersion == h.table.version {
		return
	}
	h.tableVersion = h.table.version
	for _, x := range h.held {
		h.updateRow(x)
	}
	h.held = slices.DeleteFunc(h.held, func(x *heldLease) bool { return !h.heldBySelf(x.lease) || h.service(x.id.Service) == nil })
	for i := range h.cfg.Services {
		h.addLeases(&h.cfg.Services[i])
	}
	h.collectGroups()
}

// heldBySelf reports whether this process holds the lease, active or revoked.
func (h *Holder) heldBySelf(l Lease) bool { return l.Holder == h.self.Peer && l.State != LeaseVacant }

// updateRow updates a held lease from its row in the table.
func (h *Holder) updateRow(x *heldLease) {
	row, _ := h.table.lease(x.id)
	previous := x.lease
	x.lease = row
	if !h.heldBySelf(row) || row.State != LeaseActive || h.service(x.id.Service) == nil {
		h.stop(x)
		x.nextCall = h.now
		if previous.State == LeaseActive {
			h.logDecision(Decision{Reason: ReasonLeaseEnded, Service: x.id.Service, Target: x.id.Target, Epoch: previous.Epoch})
		}
		return
	}
	if row.Epoch != previous.Epoch {
		h.startEpoch(x, previous)
	}
	h.computeKeys(x)
}

// startEpoch starts a new lease epoch. If this process wrote it, it held the row without interruption, nobody else can
// have taken slots from the target, and its copy of the slots is still valid. Otherwise another dispatcher may have
// held the lease in between.
func (h *Holder) startEpoch(x *heldLease, previous Lease) {
	x.granted = nil
	x.unconfirmed = false
	x.grantLost = false
	x.sentGrant = false
	x.grantEnded = false
	x.nextCall = h.now
	doc := h.table.leases(x.id.Service)
	own := doc.Write.Peer == h.self.Peer && doc.Epoch == x.lease.Epoch
	if own && previous.State == LeaseActive && previous.Term == x.lease.Term {
		return
	}
	x.grantEndsBy = later(x.grantEndsBy, h.timing.grantEnd(h.now))
	x.learnedAt = h.now
	x.fromStore = false
}

// addLeases adds the leases of a service whose rows name this process.
func (h *Holder) addLeases(s *config.Service) {
	doc := h.table.leases(s.Name)
	if doc == nil {
		return
	}
	for i := range doc.Leases {
		id := types.TargetID{Service: s.Name, Target: doc.Leases[i].Target}
		if !h.heldBySelf(doc.Leases[i]) || h.find(id) != nil {
			continue
		}
		h.add(s, id, doc.Leases[i], doc)
	}
}

func (h *Holder) add(s *config.Service, id types.TargetID, l Lease, doc *LeaseDocument) {
	x := &heldLease{
		id: id, lease: l, learnedAt: h.now, checksGrants: s.ChecksGrants, group: GroupOf(doc.Scope, l.DataCentre),
		unansweredSince: forever, nextCall: h.now, validUntil: never, tokenAfter: never, tokenBefore: never,
		// The tokens of the previous holder were issued before this row was written.
		grantEndsBy: h.timing.grantEnd(h.now),
	}
	i, _ := slices.BinarySearchFunc(h.held, id, func(x *heldLease, id types.TargetID) int { return compareTargetIDs(x.id, id) })
	h.held = slices.Insert(h.held, i, x)
	if l.State != LeaseActive {
		return
	}
	h.computeKeys(x)
	h.logDecision(Decision{Reason: ReasonLeaseTaken, Service: id.Service, Target: id.Target, Epoch: l.Epoch})
}

// computeKeys updates what a held lease takes from the configuration and the slot documents.
func (h *Holder) computeKeys(x *heldLease) {
	s := h.service(x.id.Service)
	x.checksGrants = s.ChecksGrants
	x.group = GroupOf(h.table.leases(s.Name).Scope, x.lease.DataCentre)
	if keys := grantableKeys(&h.table, s, x.id.Target, x.lease.Term); !keys.equal(x.keys) {
		x.keys = keys
	}
	x.releasing = anyRow(&h.table, s, func(o Ownership) bool { return h.awaitsRelease(x, o) })
}

func (h *Holder) collectGroups() {
	h.groups = nil
	for _, x := range h.held {
		if !slices.Contains(h.groups, x.group) {
			h.groups = append(h.groups, x.group)
		}
	}
}

// storeRead marks the rows that a store read has shown together with the slot documents.
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

func (h *Holder) targetResponded(id types.TargetID) {
	if x := h.find(id); x != nil && !x.checksGrants {
		x.recordAnswer()
	}
}

// targetUnresponsive applies the report of the dispatch duty to a target that does not check grants. For targets that
// check grants, the answers to renewals count instead.
func (h *Holder) targetUnresponsive(id types.TargetID) {
	if x := h.find(id); x != nil && !x.checksGrants {
		x.misses = unresponsiveMisses
		x.unansweredSince = min(x.unansweredSince, h.now)
	}
}

// tick sends the due calls and updates what is served.
func (h *Holder) tick() {
	h.logPermit()
	for _, x := range h.held {
		h.expireCall(x)
		if x.lease.State == LeaseActive {
			h.maintain(x)
		} else {
			h.releaseGrant(x)
		}
	}
	h.collectUngranted()
}

// logPermit logs a change of the permit.
func (h *Holder) logPermit() {
	held := h.permit.held(h.ownGroup())
	if held == h.lastPermitHeld {
		return
	}
	h.lastPermitHeld = held
	reason := ReasonPermitLost
	if held {
		reason = ReasonPermitHeld
	}
	h.logDecision(Decision{Reason: reason, Peer: h.self.Peer})
}

// serve tells the dispatch duty which keys are both assigned by the table and granted by the target.
func (h *Holder) serve(x *heldLease) {
	if x.granted == nil || x.grantLost {
		return
	}
	until := min(x.validUntil, h.permit.until(x.group))
	keys := x.served.KeySet
	if !x.serving || x.served.Epoch != x.lease.Epoch || !keys.equal(x.keys) || !x.granted.equal(x.keys) {
		keys = intersect(x.keys, x.granted, h.service(x.id.Service).Slots)
	}
	changed := !x.serving || x.served.Epoch != x.lease.Epoch || !keys.equal(x.served.KeySet)
	if until <= h.now || !changed && until <= x.served.ValidUntil {
		return
	}
	number := x.served.Number
	if changed {
		number = h.nextServeNumber()
	}
	x.serving = true
	x.served = Serve{Target: x.id, Epoch: x.lease.Epoch, Number: number, KeySet: keys, ValidUntil: until}
	h.emit(Action{Kind: ActServe, Serve: x.served})
}

func (h *Holder) nextServeNumber() uint64 {
	h.serveNumber++
	return h.serveNumber
}

// stop tells the dispatch duty to send nothing more to the target.
func (h *Holder) stop(x *heldLease) {
	if !x.serving {
		return
	}
	x.serving = false
	x.served.Number = h.nextServeNumber()
	x.served.KeySet = nil
	h.emit(Action{Kind: ActStop, Serve: Serve{Target: x.id, Epoch: x.served.Epoch, Number: x.served.Number}})
}

// releaseGrant ends the grant of a revoked lease that is to become vacant, once its requests are drained.
func (h *Holder) releaseGrant(x *heldLease) {
	if !x.lease.EndsTerm || x.grantEnded || !x.checksGrants || x.token == 0 || x.call.Number != 0 || h.now < x.nextCall {
		return
	}
	if x.drained >= x.served.Number {
		h.send(x, CallRelease, nil)
	}
}

// unresponsive reports whether the target has left enough calls unanswered for the suspicion timeout.
func (h *Holder) unresponsive(x *heldLease) bool {
	return x.misses >= unresponsiveMisses && h.now >= x.unansweredSince.Add(h.timing.suspicionTimeout)
}

// recordAnswer notes that the target answered.
func (x *heldLease) recordAnswer() {
	x.misses = 0
	x.unansweredSince = forever
	x.unresponsiveLogged = false
}

// vacatePending reports whether a write of the vacant lease may still take effect.
func (h *Holder) vacatePending(x *heldLease) bool {
	return x.vacateEpoch != 0 && x.vacateEpoch >= h.table.epoch(LeasesKey(x.id.Service))
}

// collectUngranted lists the targets without a valid grant. It allocates only when the list changes.
func (h *Holder) collectUngranted() {
	same := true
	n := 0
	for _, x := range h.held {
		if x.lease.State != LeaseActive || x.granted != nil && h.now < x.validUntil {
			continue
		}
		same = same && n < len(h.ungranted) && h.ungranted[n] == x.id
		n++
	}
	if same && n == len(h.ungranted) {
		return
	}
	h.ungranted = make([]types.TargetID, 0, n)
	for _, x := range h.held {
		if x.lease.State == LeaseActive && (x.granted == nil || h.now >= x.validUntil) {
			h.ungranted = append(h.ungranted, x.id)
		}
	}
}
