package keyspace

import (
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// phase is how far the move of a range has come.
type phase uint8

const (
	// held ranges stay with their owner and are renewed.
	held phase = iota
	// leaving ranges wait for the release or the end of their former owner.
	leaving
	// freed ranges are held by nobody and wait for a commit.
	freed
	// refencing ranges stay with their owner, who may still hold them, and wait for a commit with a new fence.
	refencing
	// committing ranges are part of the commit under way.
	committing
)

// span is the state of one range beside the table. spans and table.Ranges always have the same length.
type span struct {
	phase phase
	// next is the owner that the range moves to.
	next Owner
	// forced is true when the owner may not keep the range, rather than for balance.
	forced bool
	// fenced is true after a grant was refused for a higher fence.
	fenced bool
	// busy is true while a call for the range is under way.
	busy bool
	// granted is false until the owner has confirmed a grant of this keeper's term.
	granted bool
	// fresh is true when this keeper has committed the fence in this term.
	fresh bool
	// sent is true once a grant with the present fence has been sent in this term.
	sent bool
	// connection carried the last grant; 0 when it is gone.
	connection uint64
	// renewAt is when the next grant is due.
	renewAt types.Instant
	// confirmedUntil is until when the owner may hold the range by grants that it has confirmed, or by those of an earlier
	// keeper. underWayUntil is the same for the call under way, unansweredUntil for grants without an answer, which a release
	// does not end. formerUntil is the part of those with lower fences, which end when a higher one is confirmed.
	confirmedUntil  types.Instant
	underWayUntil   types.Instant
	unansweredUntil types.Instant
	formerUntil     types.Instant
	// restUntil is when the range may be moved for balance again.
	restUntil types.Instant
}

// heldUntil is the latest time at which the owner may hold the range by any grant.
func (s *span) heldUntil() types.Instant {
	return max(s.confirmedUntil, s.underWayUntil, s.doubtUntil())
}

// doubtUntil is until when grants without an answer may hold.
func (s *span) doubtUntil() types.Instant { return max(s.unansweredUntil, s.formerUntil) }

// Core decides for one keyed service. It is owned by one goroutine.
type Core struct {
	settings Settings
	name     string
	writes   uint64

	validUntil  types.Instant
	elected     bool
	since       types.Instant
	movesFrom   types.Instant
	loading     bool
	retryLoadAt types.Instant
	loaded      bool
	// uncertain is true while the table in the store may differ from this one. Grants are renewed, nothing else changes.
	uncertain bool
	// troubled is true while grants get LongHold.
	troubled    bool
	table       Table
	spans       []span
	members     map[types.Target]Member
	ended       map[Owner]bool
	outstanding map[Owner]int
	// suspects are owners that have left a call unanswered.
	suspects  map[Owner]suspicion
	pending   *Table
	load      load
	planAt    types.Instant
	balanceAt types.Instant
	// surgeAt is when ranges were first seen to have become busy of a sudden; 0 when none is.
	surgeAt    types.Instant
	commitAt   types.Instant
	grownAt    types.Instant
	speeds     map[Owner]*speed
	work       time.Duration
	healthPath string
	actions    []Action
}

// New returns a core that is not the keeper. name identifies this run of this VM in what it writes; healthPath is
// the page at which targets tell their load.
func New(name, healthPath string, s Settings) *Core {
	return &Core{
		settings: s, name: name, healthPath: healthPath,
		members: make(map[types.Target]Member), ended: make(map[Owner]bool), outstanding: make(map[Owner]int),
		suspects: make(map[Owner]suspicion),
		speeds:   make(map[Owner]*speed), work: usualWork,
	}
}

// Table returns the table that the core works with. found is false before one was loaded.
func (c *Core) Table() (t *Table, found bool) { return &c.table, c.loaded && len(c.table.Ranges) > 0 }

// Step applies a message and returns the actions that follow.
func (c *Core) Step(now types.Instant, m Message) []Action {
	c.actions = nil
	switch m := m.(type) {
	case Elected:
		c.elect(now, m)
	case Deposed:
		c.depose()
	case Members:
		c.setMembers(now, m)
	case Loaded:
		c.install(now, m)
	case LoadFailed:
		c.loading = false
		c.retryLoadAt = now.Add(retryCall)
	case Committed:
		c.finishCommit(now, m)
	case Called:
		c.finishCall(now, m)
	case Ended:
		c.ended[m.Owner] = true
	case Observed:
		c.observe(now, m)
	case Requested:
		c.load.add(m.Keys)
	}
	return c.advance(now)
}

// Tick lets time pass and returns the actions that are due.
func (c *Core) Tick(now types.Instant) []Action {
	c.actions = nil
	return c.advance(now)
}

// hold is the time to live of the next grants. It is longer while the store or the lease of the keeper is in trouble.
func (c *Core) hold(now types.Instant) time.Duration {
	if c.uncertain || c.validUntil.Sub(now) < c.settings.Term/2 {
		return c.settings.LongHold
	}
	return c.settings.Hold
}

// extendHolds renews all grants once when trouble begins.
func (c *Core) extendHolds(now types.Instant) {
	troubled := c.hold(now) == c.settings.LongHold
	if troubled && !c.troubled {
		for i := range c.spans {
			if c.spans[i].phase == held {
				c.spans[i].renewAt = now
			}
		}
	}
	c.troubled = troubled
}

func (c *Core) valid(now types.Instant) bool { return c.elected && now.Before(c.validUntil) }

func (c *Core) elect(now types.Instant, m Elected) {
	c.validUntil = m.Until
	if !m.Acquired {
		return
	}
	c.elected = true
	c.since = now
	c.movesFrom = now
	if !m.Alone {
		c.movesFrom = now.Add(c.settings.Term)
	}
	c.loaded, c.loading, c.uncertain = false, false, false
	c.pending = nil
}

func (c *Core) depose() {
	c.elected, c.loaded, c.loading = false, false, false
	c.pending = nil
	c.spans = nil
}

func (c *Core) setMembers(now types.Instant, m Members) {
	if len(m.Members) > len(c.members) {
		c.grownAt = now
	}
	clear(c.members)
	for _, t := range m.Members {
		c.members[t.Owner.Target] = t
	}
}

// install adopts the table of the store. Calls that are under way stay marked, because their answers still come.
func (c *Core) install(now types.Instant, m Loaded) {
	c.loading = false
	if !c.elected {
		return
	}
	c.loaded, c.uncertain = true, false
	c.pending = nil
	old, oldSpans := c.table, c.spans
	c.table, c.spans = m.Table, nil
	if !m.Found {
		c.table = Table{}
		return
	}
	// A grant of this or an earlier keeper may have been sent up to now, or until the earlier one's term ended.
	foreign := m.Found && !strings.HasPrefix(m.Table.Writer, c.name+"/")
	if foreign && len(oldSpans) > 0 {
		// Another keeper has written: what it has granted since is not known, as at the beginning of a term.
		c.movesFrom = max(c.movesFrom, now.Add(c.settings.Term))
	}
	bound := max(now, c.movesFrom).Add(c.settings.holdBound(c.settings.LongHold))
	for _, r := range c.table.Ranges {
		s := span{confirmedUntil: bound, formerUntil: bound, renewAt: now}
		if i := old.Index(r.From); i >= 0 && i < len(oldSpans) && !foreign && sameGrant(old.Ranges[i], r) {
			s = oldSpans[i]
			if s.phase == committing {
				s.phase = freed
				if s.next.Target == r.Owner.Target {
					s.phase = refencing
				}
			}
			s.busy = false
			if s.fenced {
				// The target has seen a higher fence than the table: the range goes to the same owner with a new one.
				s.fenced, s.phase, s.next = false, refencing, r.Owner
			}
		}
		c.spans = append(c.spans, s)
	}
}

func sameGrant(a, b Range) bool {
	return a.From == b.From && a.To == b.To && a.Fence == b.Fence && a.Owner == b.Owner
}

// advance performs all steps that are possible now, in the order in which they depend on each other.
func (c *Core) advance(now types.Instant) []Action {
	if !c.valid(now) {
		return c.actions
	}
	if !c.loaded {
		c.requestLoad(now)
		return c.actions
	}
	c.extendHolds(now)
	c.probeSuspects(now)
	if c.uncertain {
		c.requestLoad(now)
		c.order(now)
		return c.actions
	}
	c.probe(now)
	if len(c.table.Ranges) == 0 {
		c.create(now)
		return c.actions
	}
	if !now.Before(c.planAt) {
		c.planAt = now.Add(planInterval)
		c.load.decay()
		c.forgive(now)
		c.plan(now)
	}
	c.free(now)
	c.refenceInherited()
	c.commit(now)
	c.order(now)
	return c.actions
}

func (c *Core) requestLoad(now types.Instant) {
	if !c.loading && !now.Before(c.retryLoadAt) {
		c.loading = true
		c.actions = append(c.actions, Load{})
	}
}

// create commits the first table: small ranges dealt in turn, so that busy neighbouring keys have different owners. Each
// range goes to the target that is cheapest then.
func (c *Core) create(now types.Instant) {
	targets := c.candidates(now)
	if c.pending != nil || len(targets) == 0 || !c.settled(now) {
		return
	}
	var bins []*bin
	for _, m := range targets {
		bins = append(bins, &bin{member: m, slowness: c.slowness(m.Owner)})
	}
	count := min(len(targets)*c.settings.RangesPerTarget, max(c.settings.MostRanges, 2*len(targets)))
	each := firstRate / float64(count) * float64(slots(targets)) / c.work.Seconds()
	t := Table{NextFence: 1}
	for i := range count {
		b := c.cheapest(bins)
		b.rate += each
		t.Ranges = append(t.Ranges, Range{
			From:  Key(i * Keys / count),
			To:    Key((i+1)*Keys/count - 1),
			Owner: b.member.Owner,
			Fence: t.NextFence,
		})
		t.NextFence++
	}
	c.submit(t)
}

// settled reports whether the targets that are starting have probably all registered.
func (c *Core) settled(now types.Instant) bool {
	if now.Before(c.since.Add(c.settings.Settle)) {
		return false
	}
	return !now.Before(c.grownAt.Add(c.settings.Settle)) || !now.Before(c.since.Add(c.settings.SettleLimit))
}

func slots(members []Member) int {
	n := 0
	for _, m := range members {
		n += m.Slots
	}
	return n
}

func (c *Core) submit(t Table) {
	c.writes++
	t.Writer = c.name + "/" + strconv.FormatUint(c.writes, 10)
	c.pending = &t
	c.actions = append(c.actions, Commit{Table: t})
}
