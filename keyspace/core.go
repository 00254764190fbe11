package keyspace

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// phase is the step that a range has reached in a move between owners.
type phase uint8

const (
	// phaseHeld: the owner keeps the range and its grant is renewed.
	phaseHeld phase = iota
	// phaseReleasing: the former owner has to release the range or end before the range can move.
	phaseReleasing
	// phaseReleased: no target holds the range, and its new owner is not committed yet.
	phaseReleased
	// phaseRefencing: the range keeps its owner, which may still hold it, and a higher fencing token has to be
	// committed.
	phaseRefencing
	// phaseCommitting: the range is part of the commit in flight.
	phaseCommitting
)

// rangeState is the state of one range that is not part of the stored table. Core.states and Table.Ranges have the
// same length and order.
type rangeState struct {
	phase phase
	// nextOwner is the owner that the range moves to, or the present owner in phaseRefencing.
	nextOwner Owner
	// forced is true when the range moves because its owner is unusable, false when it moves to balance load.
	forced bool
	// fenceRefused is true after the target refused a grant because it has seen a higher fencing token.
	fenceRefused bool
	// callInFlight is true while a grant or release of the range awaits its result.
	callInFlight bool
	// granted is true once the owner has confirmed a grant sent in this coordinator's term.
	granted bool
	// fenceCommitted is true when this coordinator committed the range's fencing token in its present term.
	fenceCommitted bool
	// sent is true once a grant with the present fencing token has been sent in this term.
	sent bool
	// firstGrantBefore is when the range needs a new fencing token if no grant with the present one has been sent. With
	// exclusive, that is only when Core.exclusiveUntil has passed as well.
	firstGrantBefore types.Instant
	// exclusive is true if the present fencing token was committed when no earlier coordinator could act any more.
	exclusive bool
	// connection identifies the connection that carried the last grant; 0 when that connection is lost.
	connection uint64
	// renewAt is when the next call to the owner is due.
	renewAt types.Instant
	// The next four fields bound how long the owner may hold the range. confirmedUntil covers grants that it
	// confirmed and grants of earlier coordinators, inFlightUntil the call in flight, and unansweredUntil grants
	// without an answer, which may be applied after a release. lowerFenceUntil covers grants with lower fencing
	// tokens, which end when a grant with a higher one is confirmed.
	confirmedUntil  types.Instant
	inFlightUntil   types.Instant
	unansweredUntil types.Instant
	lowerFenceUntil types.Instant
	// cooldownUntil is when the range may be moved for balance again.
	cooldownUntil types.Instant
}

// heldUntil is the latest time at which the owner may hold the range by any grant.
func (s *rangeState) heldUntil() types.Instant {
	return max(s.confirmedUntil, s.inFlightUntil, s.unconfirmedUntil())
}

// firstGrantLimit returns when the range needs a new fencing token if no grant with the present one has been sent.
func (c *Core) firstGrantLimit(s *rangeState) types.Instant {
	if s.exclusive {
		return max(s.firstGrantBefore, c.exclusiveUntil)
	}
	return s.firstGrantBefore
}

// firstGrantLate reports whether no grant with the present fencing token was sent in time.
func (c *Core) firstGrantLate(now types.Instant, s *rangeState) bool {
	return s.phase == phaseHeld && !s.sent && !now.Before(c.firstGrantLimit(s))
}

// unconfirmedUntil is the latest time at which a grant whose result is unknown may be valid.
func (s *rangeState) unconfirmedUntil() types.Instant {
	return max(s.unansweredUntil, s.lowerFenceUntil)
}

// Core is the decision logic of the coordinator for one keyed service. It must be used by one goroutine only.
type Core struct {
	settings Settings
	// writer and the number of commits so far form the Writer of the next table.
	writer  string
	commits uint64

	// termUntil is when the present term as coordinator ends.
	termUntil types.Instant
	elected   bool
	electedAt types.Instant
	// movesAllowedAt is when the term of every earlier coordinator has ended for certain. Until then no keys move.
	movesAllowedAt types.Instant
	// exclusiveUntil is until when another coordinator can't have granted keys to a target that has restarted since; see
	// exclusiveWindow.
	exclusiveUntil types.Instant
	// lastCommand is the latest command, loadInFlight that of the read of the table in flight; 0 when there is none.
	lastCommand  Command
	loadInFlight Command
	retryLoadAt  types.Instant
	tableLoaded  bool
	// replaceAt is when a damaged table may be replaced, because no grant is valid any more; 0 while none was seen.
	replaceAt types.Instant
	// era is the era of the store; see era.go for all that follows from it.
	era eraState
	// tableUncertain is true while the stored table may differ from this one. Until it is read again, grants are
	// renewed and nothing else changes.
	tableUncertain bool
	// longGrants is true while grants are issued with LongGrantTTL.
	longGrants bool
	table      Table
	// revision is the store revision of the table.
	revision types.Revision
	states   []rangeState
	members  map[types.Target]Member
	// ended holds the owners that are known to have ended.
	ended map[Owner]bool
	// batchesInFlight counts the batches of grants and probes sent to an owner that have not completed, releasesInFlight
	// the releases.
	batchesInFlight  map[Owner]int
	releasesInFlight map[Owner]int
	// suspects holds the owners that left a call unanswered.
	suspects map[Owner]suspect
	// pendingCommit is the table in the commit in flight; nil when there is none. commitCommand is its command, and
	// exclusiveCommit is true if it was submitted after movesAllowedAt.
	pendingCommit   *Table
	commitCommand   Command
	exclusiveCommit bool
	// unanswered holds the commits without an answer that the store may still carry out.
	unanswered unansweredCommits
	keyLoad    keyLoad
	// nextPlanAt, nextBalanceAt and nextCommitAt are the earliest times of the next check of owners and load, the next
	// moves for balance and the next commit.
	nextPlanAt    types.Instant
	nextBalanceAt types.Instant
	// nextAnnouncementAt is when moving ranges are announced again.
	nextAnnouncementAt types.Instant
	// nextProbeCheckAt is when the next check for targets to probe is due.
	nextProbeCheckAt types.Instant
	// spikeSeenAt is when the present load spikes were first seen; 0 when there are none.
	spikeSeenAt   types.Instant
	nextCommitAt  types.Instant
	memberAddedAt types.Instant
	speeds        map[Owner]*speed
	// serviceTime is the average time of a request at a target of average slowness.
	serviceTime time.Duration
	healthPath  string
	actions     []Action
}

// New returns a core that is not the coordinator yet. writer identifies this run of this VM in the tables that it
// writes; healthPath is the page on which targets report their load.
func New(writer, healthPath string, s Settings) *Core {
	return &Core{
		settings: s, writer: writer, healthPath: healthPath,
		members: make(map[types.Target]Member), ended: make(map[Owner]bool),
		batchesInFlight: make(map[Owner]int), releasesInFlight: make(map[Owner]int),
		suspects: make(map[Owner]suspect),
		speeds:   make(map[Owner]*speed), serviceTime: defaultServiceTime,
	}
}

// Table returns the table that the core works with. found is false until a table was loaded or created.
func (c *Core) Table() (t *Table, found bool) {
	return &c.table, c.tableLoaded && len(c.table.Ranges) > 0
}

// Step applies a message and returns the resulting actions.
func (c *Core) Step(now types.Instant, m Message) []Action {
	c.actions = nil
	switch m := m.(type) {
	case Elected:
		c.beginTerm(now, m)
	case Deposed:
		c.endTerm()
	case EraBegan:
		c.beginEra(now, m.Era)
	case TableKnown:
		c.era.offer(m.Table)
		return nil
	case Members:
		c.setMembers(now, m)
	case Loaded:
		if c.finishLoad(now, m.Command, m.Revision, "read") {
			c.revision = m.Revision
			c.adoptTable(now, m)
		}
	case LoadFailed:
		if c.finishLoad(now, m.Command, 0, "failed read") {
			c.retryLoadAt = now.Add(callRetryDelay)
		}
	case TableDamaged:
		if c.finishLoad(now, m.Command, m.Revision, "read of a damaged table") {
			c.revision = m.Revision
			if c.era.number > 0 {
				c.adoptOlderTable(now, Table{}, m.FenceFloor)
			} else {
				c.replaceDamagedTable(now, m.FenceFloor)
			}
		}
	case Committed:
		c.finishCommit(now, m)
	case CallCompleted:
		c.finishCall(now, m)
		if m.Call.Renewal && m.Result == CallDone {
			// Nothing follows from a renewal before the end of its batch.
			return c.actions
		}
	case IncarnationEnded:
		c.ended[m.Owner] = true
	case SpeedSample:
		// Measurements take effect at the next Tick: in a large fleet, thousands of them arrive each second.
		c.addSpeedSample(now, m)
		return nil
	case KeysRequested:
		c.keyLoad.add(m.Keys)
		return nil
	}
	return c.advance(now)
}

// Tick returns the actions that are due at now.
func (c *Core) Tick(now types.Instant) []Action {
	c.actions = nil
	return c.advance(now)
}

// grantTTL returns the time to live of the next grants. It is longer while the stored table is uncertain or less than
// half of the coordinator's term is left, so that owners keep their keys through an outage of the store.
func (c *Core) grantTTL(now types.Instant) time.Duration {
	if c.tableUncertain || c.termUntil.Sub(now) < c.settings.Term/2 {
		return c.settings.LongGrantTTL
	}
	return c.settings.GrantTTL
}

// extendGrants makes all grants due for renewal when grantTTL changes to LongGrantTTL.
func (c *Core) extendGrants(now types.Instant) {
	longGrants := c.grantTTL(now) == c.settings.LongGrantTTL
	if longGrants && !c.longGrants {
		for i := range c.states {
			if c.states[i].phase == phaseHeld {
				c.states[i].renewAt = now
			}
		}
	}
	c.longGrants = longGrants
}

func (c *Core) isCoordinator(now types.Instant) bool { return c.elected && now.Before(c.termUntil) }

func (c *Core) beginTerm(now types.Instant, m Elected) {
	if m.Era < c.era.number {
		return
	}
	c.beginEra(now, m.Era)
	c.termUntil = m.Until
	c.exclusiveUntil = m.Until.Add(exclusiveWindow - c.settings.Term)
	if !m.Acquired {
		return
	}
	c.elected = true
	c.electedAt = now
	c.movesAllowedAt = now.Add(c.settings.Term)
	c.loadInFlight, c.replaceAt = 0, 0
	c.abandonCommit()
	if c.mayContinue(now) {
		c.tableUncertain, c.retryLoadAt = true, 0
		return
	}
	c.era.retained, c.era.knownFrom = false, c.movesAllowedAt
	c.tableLoaded, c.tableUncertain = false, false
}

func (c *Core) endTerm() {
	c.elected, c.tableLoaded, c.loadInFlight = false, false, 0
	c.replaceAt, c.era.retained, c.era.rewrite = 0, false, false
	c.abandonCommit()
	c.era.offer(c.table)
	c.states = nil
}

func (c *Core) setMembers(now types.Instant, m Members) {
	if len(m.Members) > len(c.members) {
		c.memberAddedAt = now
	}
	clear(c.members)
	for _, t := range m.Members {
		c.members[t.Owner.Target] = t
	}
	maps.DeleteFunc(c.speeds, func(o Owner, _ *speed) bool { return c.members[o.Target].Owner != o && !c.ownsKeys(o) })
}

// ownsKeys reports whether an owner has keys in the table.
func (c *Core) ownsKeys(o Owner) bool {
	return slices.ContainsFunc(c.table.Ranges, func(r Range) bool { return r.Owner == o })
}

// adoptTable replaces the table by the one loaded from the store. It keeps the state of ranges whose grant is
// unchanged, because answers to calls sent before the load still arrive. Until they do, no other call is sent for the range: a
// renewal could reach the target after a release.
func (c *Core) adoptTable(now types.Instant, m Loaded) {
	if !c.elected {
		return
	}
	fresh := !m.Found && len(c.table.Ranges) == 0 && c.era.number <= c.settings.FirstEra
	if c.era.number > 0 && !fresh && (!m.Found || m.Table.NextFence < c.era.number.FirstEpoch()) {
		c.adoptOlderTable(now, m.Table, m.FenceFloor)
		return
	}
	c.era.retained, c.era.newest = false, Table{}
	if !m.Found && c.table.NextFence > c.era.number.FirstEpoch() {
		// Another writer has deleted the table: its grants still hold.
		c.replaceDamagedTable(now, m.FenceFloor)
		return
	}
	c.tableLoaded, c.tableUncertain = true, false
	c.replaceAt = 0
	c.abandonCommit()
	c.unanswered.observe(m.Table)
	oldTable, oldStates := c.table, c.states
	c.table, c.states = m.Table, nil
	if !m.Found {
		c.table = Table{NextFence: c.era.number.FirstEpoch()}
		return
	}
	otherWriter := m.Found && !strings.HasPrefix(m.Table.Writer, c.writer+"/")
	if otherWriter && len(oldStates) > 0 {
		// Another coordinator wrote the table, and the grants it has sent since are unknown, as at the start of a
		// term.
		c.movesAllowedAt = max(c.movesAllowedAt, now.Add(c.settings.Term))
	}
	// This coordinator may have sent grants until now, and an earlier one until the end of its term.
	lastSent := max(now, c.movesAllowedAt)
	if len(c.batchesInFlight) > 0 {
		lastSent = max(lastSent, c.batchesSentBefore(now))
	}
	holdBound := lastSent.Add(c.settings.maxHoldAfterSending(c.settings.LongGrantTTL))
	for _, r := range c.table.Ranges {
		s := rangeState{confirmedUntil: holdBound, lowerFenceUntil: holdBound, renewAt: now}
		if i := oldTable.Index(r.From); i >= 0 && i < len(oldStates) && !otherWriter && sameGrant(oldTable.Ranges[i], r) {
			s = oldStates[i]
			s.afterReload(r)
		}
		c.states = append(c.states, s)
	}
}

// afterReload adapts the state of a range that has been read again unchanged, and whose commit is no longer in flight.
func (s *rangeState) afterReload(r Range) {
	if s.phase == phaseCommitting {
		s.phase = phaseReleased
		if s.nextOwner.Target == r.Owner.Target {
			s.phase = phaseRefencing
		}
	}
	if s.fenceRefused {
		// The target has seen a higher fencing token than the table's, so the same owner needs a new token.
		s.fenceRefused, s.phase, s.nextOwner = false, phaseRefencing, r.Owner
	}
}

// replaceDamagedTable handles a stored table that can't be read. Nobody knows then which keys are held with which fencing
// tokens. The core renews no grants until all have expired, and reads the table again meanwhile. If it is still damaged then, it
// creates a table with fencing tokens above all that may have been assigned.
func (c *Core) replaceDamagedTable(now types.Instant, fenceFloor types.Epoch) {
	if !c.elected {
		return
	}
	if c.replaceAt == 0 && c.era.number > 0 {
		c.replaceAt = c.grantsExpired(now)
		c.actions = append(c.actions, ExpiryAwaited{Wait: c.replaceAt.Sub(now)})
	}
	if c.replaceAt == 0 {
		lastSent := c.batchesSentBefore(max(now, c.movesAllowedAt))
		c.replaceAt = lastSent.Add(c.settings.maxHoldAfterSending(c.settings.LongGrantTTL))
	}
	c.tableLoaded, c.tableUncertain = false, false
	c.abandonCommit()
	// The floor comes from a clock, which may be behind the one that set the floor of an earlier replacement.
	c.table, c.states = Table{NextFence: max(fenceFloor, c.table.NextFence)}, nil
	c.unanswered.observe(c.table)
	if now.Before(c.replaceAt) {
		c.retryLoadAt = now.Add(damagedRetryDelay)
		return
	}
	c.tableLoaded, c.replaceAt = true, 0
	c.startFromNewest(now)
}

// batchesSentBefore returns the time by which the last call of a batch in flight has been sent. The calls are sent one after
// another, so the last may leave only after all others have timed out.
func (c *Core) batchesSentBefore(now types.Instant) types.Instant {
	return now.Add(c.settings.CallTimeout * maxBatchCalls)
}

func sameGrant(a, b Range) bool {
	return a.From == b.From && a.To == b.To && a.Fence == b.Fence && a.Owner == b.Owner
}

// advance performs all steps that are possible now. The order of the calls matters: each step works on the results of
// those before it.
func (c *Core) advance(now types.Instant) []Action {
	if !c.isCoordinator(now) {
		return c.actions
	}
	if !c.tableLoaded {
		c.requestLoad(now)
		return c.actions
	}
	c.extendGrants(now)
	c.probeSuspects(now)
	if c.tableUncertain {
		c.requestLoad(now)
		c.sendCalls(now)
		return c.actions
	}
	c.probeNewTargets(now)
	if len(c.table.Ranges) == 0 {
		c.createTable(now)
		return c.actions
	}
	if !now.Before(c.nextPlanAt) {
		c.nextPlanAt = now.Add(planInterval)
		c.keyLoad.decay()
		c.decayResponseTimes(now)
		c.plan(now)
	}
	c.repeatAnnouncements(now)
	c.markReleased(now)
	c.refenceInherited()
	c.commitOwners(now)
	c.sendCalls(now)
	return c.actions
}

func (c *Core) requestLoad(now types.Instant) {
	if c.loadInFlight == 0 && !now.Before(c.retryLoadAt) {
		c.loadInFlight = c.nextCommand()
		c.actions = append(c.actions, LoadTable{Command: c.loadInFlight})
	}
}

func (c *Core) nextCommand() Command {
	c.lastCommand++
	return c.lastCommand
}

// finishLoad reports whether a result is that of the read in flight, which it ends. Any other result is of a read from before the
// present term: its table and revision may be older than those of a read or commit that has completed since.
// A result of a later era shows that this term has ended.
func (c *Core) finishLoad(now types.Instant, command Command, revision types.Revision, result string) bool {
	c.beginEra(now, revision.Era())
	if command == 0 || command != c.loadInFlight {
		c.actions = append(c.actions, ResultDropped{Command: command, Result: result})
		return false
	}
	c.loadInFlight = 0
	return true
}

// createTable commits the first table. It assigns small ranges in turn, each to the target with the lowest cost so
// far, so that busy neighbouring keys get different owners.
func (c *Core) createTable(now types.Instant) {
	targets := c.candidates(now)
	if c.pendingCommit != nil || len(targets) == 0 || !c.membersSettled(now) {
		return
	}
	var loads []*targetLoad
	for _, m := range targets {
		loads = append(loads, &targetLoad{member: m, slowness: c.slowness(m.Owner)})
	}
	count := min(len(targets)*c.settings.RangesPerTarget, max(c.settings.MaxInitialRanges, 2*len(targets)))
	ratePerRange := initialUtilization / float64(count) * float64(totalSlots(targets)) / c.serviceTime.Seconds()
	t := Table{NextFence: max(1, c.table.NextFence)}
	for i := range count {
		target := c.lowestCost(loads)
		target.rate += ratePerRange
		t.Ranges = append(t.Ranges, Range{
			From:  Key(i * Keys / count),
			To:    Key((i+1)*Keys/count - 1),
			Owner: target.member.Owner,
			Fence: t.NextFence,
		})
		t.NextFence++
	}
	c.submitTable(now, t)
}

// membersSettled reports whether the first table may be created: SettleTime after the election if no member was added
// for that long, and MaxSettleTime after it in any case. The first table then covers the targets that start together
// with the coordinator.
func (c *Core) membersSettled(now types.Instant) bool {
	if now.Before(c.electedAt.Add(c.settings.SettleTime)) {
		return false
	}
	return !now.Before(c.memberAddedAt.Add(c.settings.SettleTime)) || !now.Before(c.electedAt.Add(c.settings.MaxSettleTime))
}

func totalSlots(members []Member) int {
	n := 0
	for _, m := range members {
		n += m.Slots
	}
	return n
}

// submitTable requests the commit of t, with a new Writer.
func (c *Core) submitTable(now types.Instant, t Table) {
	c.commits++
	t.Writer = c.writer + "/" + strconv.FormatUint(c.commits, 10)
	c.pendingCommit, c.exclusiveCommit = &t, !now.Before(c.movesAllowedAt)
	c.commitCommand = c.nextCommand()
	c.actions = append(c.actions, CommitTable{Command: c.commitCommand, Table: t, Expected: c.revision})
}
