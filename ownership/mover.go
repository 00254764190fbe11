package ownership

import (
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Mover changes leases and slots while this process holds the planner lease: it fills an empty table, gives targets a
// dispatcher, takes over what is lost and starts the moves that placement wants. Each decision depends on the table
// and on what has been heard, not on earlier decisions, so a new planner continues where the last one stopped.
type Mover struct {
	*env
	writer *Writer
	acks   *acks
	// reports holds the last answer of each quorum group member.
	reports map[reporter]report
	// silentSince is when a target was first reported without a grant, in consecutive reports.
	silentSince map[types.TargetID]types.Instant
	// terms is when this process first saw the active term of each target.
	terms map[types.TargetID]termSeen
	// waits holds the revocations that are being waited out.
	waits   map[types.TargetID]wait
	moves   map[types.Service][]Move
	hotKeys map[types.Service][]types.KeyHash
	// out holds the targets that operators have taken out of service.
	out map[types.TargetID]bool
	// gainedAt is when the planner lease was gained.
	gainedAt types.Instant
	// tableAt is the table change that terms is computed from.
	tableAt uint64
	// candidates lists the targets that may be given slots, ordered; inputs counts its changes and those of the
	// wishes. scanned is what each slot document was last checked against.
	candidates []candidate
	inputs     uint64
	scanned    map[DocumentKey]scan
	// rebalanced is the index of the lease last checked for a better dispatcher.
	rebalanced int
}

type reporter struct {
	group  GroupKey
	member Peer
}

type report struct {
	askedAt types.Instant
	lost    []Peer
	silent  []types.TargetID
}

type termSeen struct {
	term types.Epoch
	at   types.Instant
}

// wait is the wait after one revocation.
type wait struct {
	epoch types.Epoch
	// since is when the majorities were seen to have the revocation, never before that.
	since types.Instant
}

type scan struct {
	changes uint64
	inputs  uint64
	settled uint64
}

func newMover(e *env, w *Writer, a *acks) Mover {
	return Mover{
		env: e, writer: w, acks: a,
		reports:     make(map[reporter]report),
		silentSince: make(map[types.TargetID]types.Instant),
		terms:       make(map[types.TargetID]termSeen),
		waits:       make(map[types.TargetID]wait),
		moves:       make(map[types.Service][]Move),
		hotKeys:     make(map[types.Service][]types.KeyHash),
		scanned:     make(map[DocumentKey]scan),
		gainedAt:    never,
	}
}

// gained starts the planner's duties without any earlier reports.
func (m *Mover) gained() {
	m.planner = true
	m.gainedAt = m.now
	clear(m.reports)
	clear(m.silentSince)
	clear(m.waits)
}

func (m *Mover) setMoves(w Moves) {
	m.moves[w.Service] = w.Moves
	m.inputs++
}

func (m *Mover) setHotKeys(w HotKeys) {
	keys := slices.Clone(w.Keys)
	slices.Sort(keys)
	m.hotKeys[w.Service] = keys[:min(len(keys), MaxHotKeys)]
	m.inputs++
}

// reply takes note of a quorum group member's answer.
func (m *Mover) reply(r VouchReply) {
	if r.Asker != m.self.Peer || r.AskedAt > m.now {
		return
	}
	m.acks.note(r.Member, r.Versions)
	key := reporter{r.Group, r.Member}
	if m.reports[key].askedAt <= r.AskedAt {
		m.reports[key] = report{askedAt: r.AskedAt, lost: r.Lost, silent: r.Silent}
	}
}

// observe follows the table, also in processes that are not the planner, so that a new planner knows how long the
// leases have been active.
func (m *Mover) observe() {
	if m.tableAt == m.table.changes {
		return
	}
	m.tableAt = m.table.changes
	for i := range m.cfg.Services {
		name := m.cfg.Services[i].Name
		doc := m.table.leases(name)
		if doc == nil {
			continue
		}
		for _, l := range doc.Leases {
			id := types.TargetID{Service: name, Target: l.Target}
			if l.State == LeaseActive && m.terms[id].term != l.Term {
				m.terms[id] = termSeen{term: l.Term, at: m.now}
			}
		}
	}
}

// tick updates what is suspected.
func (m *Mover) tick() {
	m.followSilent()
	m.findCandidates()
}

func (m *Mover) fresh(r report) bool { return m.now.Sub(r.askedAt) < m.timing.suspicion }

// followSilent keeps since when each target has been reported without a pause.
func (m *Mover) followSilent() {
	for id := range m.silentSince {
		if !m.reportedSilent(id) {
			delete(m.silentSince, id)
		}
	}
	for key, r := range m.reports {
		if !m.fresh(r) {
			if m.acks.gone(key.member, key.group) {
				delete(m.reports, key)
			}
			continue
		}
		for _, id := range r.silent {
			if _, ok := m.silentSince[id]; !ok {
				m.silentSince[id] = m.now
			}
		}
	}
}

func (m *Mover) reportedSilent(id types.TargetID) bool {
	for _, r := range m.reports {
		if m.fresh(r) && slices.Contains(r.silent, id) {
			return true
		}
	}
	return false
}

// targetLost reports whether a target has been without a grant for so long that its holder should have given it a new
// one or written it vacant.
func (m *Mover) targetLost(id types.TargetID) bool {
	since, ok := m.silentSince[id]
	return ok && m.now.Sub(since) >= m.timing.permit
}

// heardGroup returns how many members of a group have answered recently and how many of those suspect p.
func (m *Mover) heardGroup(g GroupKey, p Peer) (heard, suspecting int) {
	doc := m.table.group(g)
	if doc == nil {
		return 0, 0
	}
	for _, member := range doc.Members {
		r, ok := m.reports[reporter{g, member}]
		if !ok || !m.fresh(r) {
			continue
		}
		heard++
		if slices.Contains(r.lost, p) {
			suspecting++
		}
	}
	return heard, suspecting
}

func (m *Mover) groupSize(g GroupKey) int {
	doc := m.table.group(g)
	if doc == nil {
		return 0
	}
	return len(doc.Members)
}

// dispatcherLost reports whether a dispatcher should lose its leases in a service with the given scope. So many of its
// data centre's group must suspect it that the others are no majority and cannot confirm its permit. When that group can't be heard, the data centre may be cut off: with scope
// all its dispatchers are lost if this process still hears the group of all, with scope data-centre they keep serving.
func (m *Mover) dispatcherLost(p Peer, dc types.DataCentre, scope config.GroupScope) bool {
	state := m.members.state(p)
	if state == MemberGone {
		return true
	}
	if at := m.members.dataCentre(p.VM); at != "" {
		dc = at
	}
	g := GroupOf(config.ScopeDataCentre, dc)
	size := m.groupSize(g)
	if size == 0 {
		return state == MemberLost
	}
	heard, suspecting := m.heardGroup(g, p)
	if heard >= blocking(size) {
		return suspecting >= blocking(size)
	}
	if scope != config.ScopeAll || m.now.Sub(m.gainedAt) < m.timing.suspicion {
		return false
	}
	all, _ := m.heardGroup(GroupAll, p)
	return all >= majority(m.groupSize(GroupAll))
}

// chooseDispatcher returns the dispatcher for a target by rendezvous hashing, from the target's data centre or, when
// none is live there, from the others.
func (m *Mover) chooseDispatcher(id types.TargetID, dc types.DataCentre, scope config.GroupScope) (Peer, bool) {
	if p, ok := m.bestDispatcher(id, scope, func(x types.DataCentre) bool { return x == dc }); ok {
		return p, true
	}
	return m.bestDispatcher(id, scope, func(x types.DataCentre) bool { return x != dc })
}

func (m *Mover) bestDispatcher(
	id types.TargetID, scope config.GroupScope, in func(types.DataCentre) bool,
) (best Peer, ok bool) {
	var bestScore uint64
	name := id.String()
	for _, x := range m.members.list {
		if !in(x.DataCentre) || !m.members.live(x.Peer) || m.dispatcherLost(x.Peer, x.DataCentre, scope) {
			continue
		}
		if score := types.RendezvousScore(name, string(x.VM)); !ok || score > bestScore {
			best, bestScore, ok = x.Peer, score, true
		}
	}
	return best, ok
}

func (m *Mover) setOut(list []types.TargetID) {
	m.out = make(map[types.TargetID]bool, len(list))
	for _, id := range list {
		m.out[id] = true
	}
}
