package ownership

import (
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Assigner changes leases and slots while this process holds the planner lease: it fills an empty table, assigns a
// dispatcher to each target, reassigns the leases and slots of lost processes and starts the moves that placement
// requests. Each decision depends on the table and on recent reports, not on earlier decisions, so a new planner
// continues where the previous one stopped.
type Assigner struct {
	*env
	writer *Writer
	acks   *acks
	// reports holds the last reply of each quorum group member.
	reports map[reportKey]report
	// ungrantedSince is when each target was first reported without a grant, in an unbroken series of reports.
	ungrantedSince map[types.TargetID]types.Instant
	// terms holds the last active term of each target and when this process first saw it.
	terms map[types.TargetID]observedTerm
	// revocationWaits holds the revocations that are being waited out.
	revocationWaits map[types.TargetID]revocationWait
	moves           map[types.Service][]Move
	hotKeys         map[types.Service][]types.KeyHash
	// outOfService holds the targets that operators have taken out of service.
	outOfService map[types.TargetID]bool
	// plannerSince is when this process acquired the planner lease.
	plannerSince types.Instant
	// tableVersion is the table version that terms was computed from.
	tableVersion uint64
	// candidates lists the targets that may be given slots, in order. inputVersion increases when the candidates or
	// the requests of placement change. lastScans holds the inputs of the last check of each slot document.
	candidates   []candidate
	inputVersion uint64
	lastScans    map[DocumentKey]scanInputs
	// lastRebalanced is the index of the lease last checked for a better dispatcher.
	lastRebalanced int
}

// reportKey identifies the reports of one member of one quorum group.
type reportKey struct {
	group  GroupKey
	member Peer
}

// report holds what a quorum group member reported in its last reply.
type report struct {
	requestedAt types.Instant
	suspected   []Peer
	ungranted   []types.TargetID
}

// observedTerm is an active term of a target and when this process first saw it.
type observedTerm struct {
	term types.Epoch
	at   types.Instant
}

// revocationWait is the wait after one revocation.
type revocationWait struct {
	epoch types.Epoch
	// since is when this process found that the required majorities have the revocation, never before that.
	since types.Instant
}

// scanInputs identifies the inputs of a check of a slot document: the table version, Assigner.inputVersion and the
// number of completed writes. Unchanged inputs need no new check.
type scanInputs struct {
	version      uint64
	inputVersion uint64
	completed    uint64
}

func newAssigner(e *env, w *Writer, a *acks) Assigner {
	return Assigner{
		env: e, writer: w, acks: a,
		reports:         make(map[reportKey]report),
		ungrantedSince:  make(map[types.TargetID]types.Instant),
		terms:           make(map[types.TargetID]observedTerm),
		revocationWaits: make(map[types.TargetID]revocationWait),
		moves:           make(map[types.Service][]Move),
		hotKeys:         make(map[types.Service][]types.KeyHash),
		lastScans:       make(map[DocumentKey]scanInputs),
		plannerSince:    never,
	}
}

// startPlanning starts the work of the planner without any earlier reports.
func (a *Assigner) startPlanning() {
	a.planner = true
	a.plannerSince = a.now
	clear(a.reports)
	clear(a.ungrantedSince)
	clear(a.revocationWaits)
}

func (a *Assigner) setMoves(m Moves) {
	a.moves[m.Service] = m.Moves
	a.inputVersion++
}

func (a *Assigner) setHotKeys(h HotKeys) {
	keys := slices.Clone(h.Keys)
	slices.Sort(keys)
	a.hotKeys[h.Service] = keys[:min(len(keys), MaxHotKeys)]
	a.inputVersion++
}

// reply records the reply of a quorum group member.
func (a *Assigner) reply(r ConfirmationReply) {
	if r.Asker != a.self.Peer || r.AskedAt > a.now {
		return
	}
	a.acks.record(r.Member, r.Versions)
	key := reportKey{r.Group, r.Member}
	if a.reports[key].requestedAt <= r.AskedAt {
		a.reports[key] = report{requestedAt: r.AskedAt, suspected: r.Lost, ungranted: r.Silent}
	}
}

// observe records new terms from the table. It also runs in processes that are not the planner, so that a new planner
// knows how long the leases have been active.
func (a *Assigner) observe() {
	if a.tableVersion == a.table.version {
		return
	}
	a.tableVersion = a.table.version
	for i := range a.cfg.Services {
		name := a.cfg.Services[i].Name
		doc := a.table.leases(name)
		if doc == nil {
			continue
		}
		for _, l := range doc.Leases {
			id := types.TargetID{Service: name, Target: l.Target}
			if l.State == LeaseActive && a.terms[id].term != l.Term {
				a.terms[id] = observedTerm{term: l.Term, at: a.now}
			}
		}
	}
}

// tick updates the list of targets without a grant and the candidates.
func (a *Assigner) tick() {
	a.updateUngranted()
	a.findCandidates()
}

// recent reports whether a report is younger than the suspicion timeout.
func (a *Assigner) recent(r report) bool { return a.now.Sub(r.requestedAt) < a.timing.suspicionTimeout }

// updateUngranted tracks since when each target has been reported without a grant and without a gap.
func (a *Assigner) updateUngranted() {
	for id := range a.ungrantedSince {
		if !a.reportedUngranted(id) {
			delete(a.ungrantedSince, id)
		}
	}
	for key, r := range a.reports {
		if !a.recent(r) {
			if a.acks.terminated(key.member, key.group) {
				delete(a.reports, key)
			}
			continue
		}
		for _, id := range r.ungranted {
			if _, ok := a.ungrantedSince[id]; !ok {
				a.ungrantedSince[id] = a.now
			}
		}
	}
}

// reportedUngranted reports whether a recent report lists the target.
func (a *Assigner) reportedUngranted(id types.TargetID) bool {
	for _, r := range a.reports {
		if a.recent(r) && slices.Contains(r.ungranted, id) {
			return true
		}
	}
	return false
}

// targetLost reports whether a target has been without a grant for so long that its holder should have given it a new
// one or written the lease vacant.
func (a *Assigner) targetLost(id types.TargetID) bool {
	since, ok := a.ungrantedSince[id]
	return ok && a.now.Sub(since) >= a.timing.permit
}

// countReports returns how many members of a group have replied recently and how many of those suspect p.
func (a *Assigner) countReports(g GroupKey, p Peer) (reporting, suspecting int) {
	doc := a.table.group(g)
	if doc == nil {
		return 0, 0
	}
	for _, member := range doc.Members {
		r, ok := a.reports[reportKey{g, member}]
		if !ok || !a.recent(r) {
			continue
		}
		reporting++
		if slices.Contains(r.suspected, p) {
			suspecting++
		}
	}
	return reporting, suspecting
}

func (a *Assigner) groupSize(g GroupKey) int {
	doc := a.table.group(g)
	if doc == nil {
		return 0
	}
	return len(doc.Members)
}

// dispatcherLost reports whether a dispatcher should lose its leases in a service with the given scope. That requires
// that so many members of the group of its data centre suspect it that the others are no majority and cannot confirm
// its permit. When too few members of that group reply, the data centre may be cut off: with scope all its dispatchers
// count as lost if this process still gets replies from a majority of the group of all data centres, with scope
// data-centre they keep serving.
func (a *Assigner) dispatcherLost(p Peer, dc types.DataCentre, scope config.GroupScope) bool {
	state := a.members.state(p)
	if state == MemberTerminated {
		return true
	}
	if at := a.members.dataCentre(p.VM); at != "" {
		dc = at
	}
	g := GroupOf(config.ScopeDataCentre, dc)
	size := a.groupSize(g)
	if size == 0 {
		return state == MemberExpired
	}
	reporting, suspecting := a.countReports(g, p)
	if reporting >= blockingSize(size) {
		return suspecting >= blockingSize(size)
	}
	if scope != config.ScopeAll || a.now.Sub(a.plannerSince) < a.timing.suspicionTimeout {
		return false
	}
	all, _ := a.countReports(GroupAll, p)
	return all >= majority(a.groupSize(GroupAll))
}

// chooseDispatcher selects the dispatcher for a target by rendezvous hashing, from the data centre of the target or,
// when none is live there, from the others.
func (a *Assigner) chooseDispatcher(id types.TargetID, dc types.DataCentre, scope config.GroupScope) (Peer, bool) {
	if p, ok := a.bestDispatcher(id, scope, func(x types.DataCentre) bool { return x == dc }); ok {
		return p, true
	}
	return a.bestDispatcher(id, scope, func(x types.DataCentre) bool { return x != dc })
}

// bestDispatcher returns the live dispatcher with the highest score in the data centres that in accepts.
func (a *Assigner) bestDispatcher(
	id types.TargetID, scope config.GroupScope, in func(types.DataCentre) bool,
) (best Peer, ok bool) {
	var bestScore uint64
	name := id.String()
	for _, x := range a.members.list {
		if !in(x.DataCentre) || !a.members.live(x.Peer) || a.dispatcherLost(x.Peer, x.DataCentre, scope) {
			continue
		}
		if score := types.RendezvousScore(name, string(x.VM)); !ok || score > bestScore {
			best, bestScore, ok = x.Peer, score, true
		}
	}
	return best, ok
}

func (a *Assigner) setOutOfService(list []types.TargetID) {
	a.outOfService = make(map[types.TargetID]bool, len(list))
	for _, id := range list {
		a.outOfService[id] = true
	}
}
