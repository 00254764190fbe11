package placement

import (
	"slices"
	"time"

	"sequoiasail.example/types"
)

// hotRow is the planner's state of one hot-key row: a key whose owner is independent of the owner of its slot.
type hotRow struct {
	key     types.KeyHash
	owner   uint16        // index into targets, or NoOwner
	pending uint16        // proposed owner, or NoOwner
	expires types.Instant // when the proposed move or removal is discarded
	load    float32       // smoothed load of the key
	// coolSince is when the load fell below coolKeyShare, or never.
	coolSince    types.Instant
	ownerSince   types.Instant
	dropProposed bool // removal of the row was proposed
}

// candidate is a reported key that has no row.
type candidate struct {
	key        types.KeyHash
	load       float32
	reportedAt types.Instant
	// proposedAt is when a row for the key was proposed, or 0.
	proposedAt types.Instant
}

// Thresholds of hot-key rows.
const (
	// hotKeyShare is the share of an average target's load from which a key gets a row of its own. Below it, moving
	// the whole slot is sufficient.
	hotKeyShare = 0.05
	// minHotKeyLoad is the load below which no key gets a row, in requests per second. In a service with a low request
	// rate the key of any single request would exceed hotKeyShare.
	minHotKeyLoad = 5
	// coolKeyShare is the share below which a row is no longer needed. It is lower than hotKeyShare, so that the
	// row of a key near the threshold is not created and dropped repeatedly.
	coolKeyShare = 0.02
	// coolTime is how long a key must stay below coolKeyShare.
	coolTime = 2 * time.Minute
	// candidateTTL is how long a reported key stays a candidate without being reported again.
	candidateTTL = 30 * time.Second
	// maxCandidates bounds the keys without a row that are kept.
	maxCandidates = 4 * MaxHotKeys
)

// installHotKeys replaces the hot-key rows unless a newer revision is installed.
func (s *service) installHotKeys(now types.Instant, m *HotKeys) {
	if m.Revision < s.hotRevision {
		return
	}
	s.hotRevision = m.Revision
	rows := make([]hotRow, 0, len(m.Rows))
	for _, r := range m.Rows {
		rows = append(rows, s.hotRowOf(now, r))
	}
	s.transferRowLoads(rows)
	s.hotRows = rows
	s.candidates = slices.DeleteFunc(s.candidates, func(k candidate) bool { return s.findHot(k.key) >= 0 })
}

// transferRowLoads subtracts the load of keys with a new row from their slots, and adds the load of keys whose row was
// removed to theirs. Otherwise the load would count twice, or not at all, until the next reports.
func (s *service) transferRowLoads(rows []hotRow) {
	if s.slots == 0 {
		return
	}
	for _, r := range rows {
		if s.findHot(r.key) < 0 {
			slot := types.SlotOf(r.key, s.slots)
			s.loads[slot] = max(0, s.loads[slot]-r.load)
		}
	}
	for _, h := range s.hotRows {
		if !slices.ContainsFunc(rows, func(r hotRow) bool { return r.key == h.key }) {
			s.loads[types.SlotOf(h.key, s.slots)] += h.load
		}
	}
}

// hotRowOf returns the existing row with its installed owner, or a new row with the reported load of its key.
func (s *service) hotRowOf(now types.Instant, r HotKey) hotRow {
	owner := NoOwner
	if r.Owner != "" {
		owner = s.intern(r.Owner)
	}
	i := s.findHot(r.Key)
	if i < 0 {
		h := hotRow{key: r.Key, owner: owner, pending: NoOwner, load: s.candidateLoad(r.Key), coolSince: never, ownerSince: now}
		if s.keyOwner(r.Key) == owner && s.slots > 0 {
			h.ownerSince = s.ownerSince[types.SlotOf(r.Key, s.slots)] // a new row does not change the owner of its key
		}
		return h
	}
	h := s.hotRows[i]
	if h.owner != owner {
		h.owner = owner
		h.ownerSince = now
	}
	if h.pending == owner {
		h.pending = NoOwner
	}
	return h
}

// findHot returns the index of the row of a key, or -1.
func (s *service) findHot(key types.KeyHash) int {
	return slices.IndexFunc(s.hotRows, func(h hotRow) bool { return h.key == key })
}

// candidateLoad returns the reported load of a key without a row, or 0.
func (s *service) candidateLoad(key types.KeyHash) float32 {
	for _, k := range s.candidates {
		if k.key == key {
			return k.load
		}
	}
	return 0
}

// plannedOwner returns the owner of the row after its proposed move, if it has one.
func (h *hotRow) plannedOwner() uint16 {
	if h.pending != NoOwner {
		return h.pending
	}
	return h.owner
}

// recordKeyLoad records the reported load of a key.
func (s *service) recordKeyLoad(now types.Instant, k KeyLoad) {
	if i := s.findHot(k.Key); i >= 0 {
		s.hotRows[i].load = s.smooth(s.hotRows[i].load, k.Load)
		return
	}
	for i := range s.candidates {
		if s.candidates[i].key == k.Key {
			s.candidates[i].load = s.smooth(s.candidates[i].load, k.Load)
			s.candidates[i].reportedAt = now
			return
		}
	}
	if len(s.candidates) < maxCandidates {
		s.candidates = append(s.candidates, candidate{key: k.Key, load: k.Load, reportedAt: now})
		return
	}
	s.replaceLeastLoaded(now, k)
}

// replaceLeastLoaded replaces the candidate with the lowest load if the load of k is higher.
func (s *service) replaceLeastLoaded(now types.Instant, k KeyLoad) {
	least := 0
	for i := range s.candidates {
		if s.candidates[i].load < s.candidates[least].load {
			least = i
		}
	}
	if s.candidates[least].load < k.Load {
		s.candidates[least] = candidate{key: k.Key, load: k.Load, reportedAt: now}
	}
}

// planKeys creates rows for keys that became hot and removes rows of keys that are no longer hot.
func (s *service) planKeys(now types.Instant, mean float64, out []Action) []Action {
	s.candidates = slices.DeleteFunc(s.candidates, func(k candidate) bool { return now.Sub(k.reportedAt) > candidateTTL })
	out = s.createKeys(now, mean, out)
	return s.dropKeys(now, mean, out)
}

// createKeys proposes rows for the hottest candidates, at most MaxHotKeys rows in all.
func (s *service) createKeys(now types.Instant, mean float64, out []Action) []Action {
	slices.SortFunc(s.candidates, func(a, b candidate) int {
		return heavierFirst(KeyLoad{Key: a.key, Load: a.load}, KeyLoad{Key: b.key, Load: b.load})
	})
	freeRows := MaxHotKeys - len(s.hotRows)
	for i := range s.candidates {
		k := &s.candidates[i]
		if freeRows <= 0 || float64(k.load) < max(hotKeyShare*mean, minHotKeyLoad) {
			return out
		}
		freeRows--
		if k.proposedAt != 0 && now.Sub(k.proposedAt) < MoveTimeout {
			continue
		}
		slot := types.SlotOf(k.key, s.slots)
		owner := s.owners[slot]
		if owner == NoOwner || s.pending[slot] != NoOwner || s.targets[owner].state.evacuating() {
			continue
		}
		k.proposedAt = now
		out = append(out, Action{
			Kind: ActionCreateKey, Service: s.name, Key: k.key, To: s.targets[owner].name, Reason: ReasonHot,
		})
	}
	return out
}

// rowCreationWait is how long balancing waits for proposed rows to be created. Until they exist, only whole slots can
// move, and the hot keys in them would move a second time.
const rowCreationWait = 2 * time.Second

// awaitsRowCreation reports whether a row was proposed within the last rowCreationWait.
func (s *service) awaitsRowCreation(now types.Instant) bool {
	return slices.ContainsFunc(s.candidates, func(k candidate) bool { return k.proposedAt != 0 && now.Sub(k.proposedAt) < rowCreationWait })
}

// dropKeys first moves the row of a key that is no longer hot to the owner of its slot, then removes it.
func (s *service) dropKeys(now types.Instant, mean float64, out []Action) []Action {
	for i := range s.hotRows {
		h := &s.hotRows[i]
		if !h.hasCooled(now, mean) || h.pending != NoOwner {
			continue
		}
		slot := int(types.SlotOf(h.key, s.slots))
		owner := s.owners[slot]
		if owner == NoOwner || s.pending[slot] != NoOwner || h.owner == NoOwner {
			continue
		}
		if owner == h.owner {
			out = s.dropKey(now, h, out)
			continue
		}
		if !s.targets[owner].state.evacuating() {
			out = s.moveKey(now, h, owner, ReasonCooled, out)
		}
	}
	return out
}

// dropKey proposes to remove a row, at most once in MoveTimeout.
func (s *service) dropKey(now types.Instant, h *hotRow, out []Action) []Action {
	if h.dropProposed && now < h.expires {
		return out
	}
	h.dropProposed = true
	h.expires = now.Add(MoveTimeout)
	return append(out, Action{
		Kind: ActionDropKey, Service: s.name, Key: h.key, From: s.targets[h.owner].name, Reason: ReasonCooled,
	})
}

// hasCooled reports whether the load of the key has been below coolKeyShare for coolTime. It also sets coolSince.
func (h *hotRow) hasCooled(now types.Instant, mean float64) bool {
	if float64(h.load) >= coolKeyShare*mean {
		h.coolSince = never
		h.dropProposed = false
		return false
	}
	if h.coolSince == never {
		h.coolSince = now
	}
	return now.Sub(h.coolSince) >= coolTime
}

// moveKey proposes a move of a hot-key row.
func (s *service) moveKey(now types.Instant, h *hotRow, to uint16, reason Reason, out []Action) []Action {
	h.pending = to
	h.expires = now.Add(MoveTimeout)
	return append(out, s.keyAction(h, to, reason))
}

// keyAction returns the action that moves a hot-key row to the target with index to.
func (s *service) keyAction(h *hotRow, to uint16, reason Reason) Action {
	a := Action{Kind: ActionMoveKey, Service: s.name, Key: h.key, To: s.targets[to].name, Reason: reason}
	if h.owner != NoOwner {
		a.From = s.targets[h.owner].name
	}
	return a
}
