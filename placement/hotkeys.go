package placement

import (
	"slices"
	"time"

	"sequoiasail.example/types"
)

// hotRow is one hot-key row.
type hotRow struct {
	key     types.KeyHash
	owner   uint16
	pending uint16
	expires types.Instant
	load    float32
	// coldSince is when the load fell below the threshold, or never.
	coldSince types.Instant
	changed   types.Instant
	dropping  bool
}

// candidate is a key without a row that a report named.
type candidate struct {
	key  types.KeyHash
	load float32
	seen types.Instant
	// asked is when a row was proposed, 0 if it was not.
	asked types.Instant
}

// Thresholds of hot-key rows.
const (
	// hotShare is the share of an average target's load from which a key gets a row of its own: below it, moving the
	// whole slot does as well.
	hotShare = 0.05
	// minHotLoad is the load below which no key gets a row, in requests per second. In a quiet service the key of any
	// single request would exceed hotShare.
	minHotLoad = 5
	// coolShare is the share below which a row is no longer needed. It is lower than hotShare, so that a key near the
	// threshold does not come and go.
	coolShare = 0.02
	// coolTime is how long a key must stay below coolShare.
	coolTime = 2 * time.Minute
	// candidateAge is how long a reported key stays a candidate without being reported again.
	candidateAge = 30 * time.Second
	// maxCandidates bounds the keys without a row that are kept.
	maxCandidates = 4 * MaxHotKeys
)

func (s *service) installHotKeys(now types.Instant, m *HotKeys) {
	if m.Revision < s.hotAt {
		return
	}
	s.hotAt = m.Revision
	rows := make([]hotRow, 0, len(m.Rows))
	for _, r := range m.Rows {
		rows = append(rows, s.hotRowOf(now, r))
	}
	s.transferLoads(rows)
	s.hot = rows
	s.keys = slices.DeleteFunc(s.keys, func(k candidate) bool { return s.findHot(k.key) >= 0 })
}

// transferLoads takes the load of keys with a new row out of their slots, and puts the load of keys whose row is gone
// back. Otherwise it would count twice, or not at all, until the next reports.
func (s *service) transferLoads(rows []hotRow) {
	if s.slots == 0 {
		return
	}
	for _, r := range rows {
		if s.findHot(r.key) < 0 {
			slot := types.SlotOf(r.key, s.slots)
			s.loads[slot] = max(0, s.loads[slot]-r.load)
		}
	}
	for _, h := range s.hot {
		if !slices.ContainsFunc(rows, func(r hotRow) bool { return r.key == h.key }) {
			s.loads[types.SlotOf(h.key, s.slots)] += h.load
		}
	}
}

// hotRowOf returns the known row with its new owner, or a new row with the load that reports gave for its key.
func (s *service) hotRowOf(now types.Instant, r HotKey) hotRow {
	owner := NoOwner
	if r.Owner != "" {
		owner = s.intern(r.Owner)
	}
	i := s.findHot(r.Key)
	if i < 0 {
		h := hotRow{key: r.Key, owner: owner, pending: NoOwner, load: s.candidateLoad(r.Key), coldSince: never, changed: now}
		if s.ownerOf(r.Key) == owner && s.slots > 0 {
			h.changed = s.changed[types.SlotOf(r.Key, s.slots)] // a new row does not change the owner of its key
		}
		return h
	}
	h := s.hot[i]
	if h.owner != owner {
		h.owner = owner
		h.changed = now
	}
	if h.pending == owner {
		h.pending = NoOwner
	}
	return h
}

func (s *service) findHot(key types.KeyHash) int {
	return slices.IndexFunc(s.hot, func(h hotRow) bool { return h.key == key })
}

func (s *service) candidateLoad(key types.KeyHash) float32 {
	for _, k := range s.keys {
		if k.key == key {
			return k.load
		}
	}
	return 0
}

func (h *hotRow) expected() uint16 {
	if h.pending != NoOwner {
		return h.pending
	}
	return h.owner
}

// noteKey records the reported load of a key.
func (s *service) noteKey(now types.Instant, k KeyLoad) {
	if i := s.findHot(k.Key); i >= 0 {
		s.hot[i].load = s.smooth(s.hot[i].load, k.Load)
		return
	}
	for i := range s.keys {
		if s.keys[i].key == k.Key {
			s.keys[i].load = s.smooth(s.keys[i].load, k.Load)
			s.keys[i].seen = now
			return
		}
	}
	if len(s.keys) < maxCandidates {
		s.keys = append(s.keys, candidate{key: k.Key, load: k.Load, seen: now})
		return
	}
	s.replaceLightest(now, k)
}

func (s *service) replaceLightest(now types.Instant, k KeyLoad) {
	least := 0
	for i := range s.keys {
		if s.keys[i].load < s.keys[least].load {
			least = i
		}
	}
	if s.keys[least].load < k.Load {
		s.keys[least] = candidate{key: k.Key, load: k.Load, seen: now}
	}
}

// planKeys creates rows for keys that became hot and removes rows of keys that are no longer hot.
func (s *service) planKeys(now types.Instant, mean float64, out []Action) []Action {
	s.keys = slices.DeleteFunc(s.keys, func(k candidate) bool { return now.Sub(k.seen) > candidateAge })
	out = s.createKeys(now, mean, out)
	return s.dropKeys(now, mean, out)
}

func (s *service) createKeys(now types.Instant, mean float64, out []Action) []Action {
	slices.SortFunc(s.keys, func(a, b candidate) int {
		return heavierFirst(KeyLoad{Key: a.key, Load: a.load}, KeyLoad{Key: b.key, Load: b.load})
	})
	room := MaxHotKeys - len(s.hot)
	for i := range s.keys {
		k := &s.keys[i]
		if room <= 0 || float64(k.load) < max(hotShare*mean, minHotLoad) {
			return out
		}
		room--
		if k.asked != 0 && now.Sub(k.asked) < MoveTimeout {
			continue
		}
		slot := types.SlotOf(k.key, s.slots)
		owner := s.owners[slot]
		if owner == NoOwner || s.pending[slot] != NoOwner || s.targets[owner].state.leaving() {
			continue
		}
		k.asked = now
		out = append(out, Action{
			Kind: ActionCreateKey, Service: s.name, Key: k.key, To: s.targets[owner].name, Reason: ReasonHot,
		})
	}
	return out
}

// rowWait is how long balancing waits for proposed rows. Until they exist, only whole slots could move, and the keys in
// them would move a second time.
const rowWait = 2 * time.Second

func (s *service) awaitsRows(now types.Instant) bool {
	return slices.ContainsFunc(s.keys, func(k candidate) bool { return k.asked != 0 && now.Sub(k.asked) < rowWait })
}

// dropKeys first moves the row of a key that is no longer hot to the owner of its slot, then removes it.
func (s *service) dropKeys(now types.Instant, mean float64, out []Action) []Action {
	for i := range s.hot {
		h := &s.hot[i]
		if !h.cooled(now, mean) || h.pending != NoOwner {
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
		if !s.targets[owner].state.leaving() {
			out = s.moveKey(now, h, owner, ReasonCooled, out)
		}
	}
	return out
}

func (s *service) dropKey(now types.Instant, h *hotRow, out []Action) []Action {
	if h.dropping && now < h.expires {
		return out
	}
	h.dropping = true
	h.expires = now.Add(MoveTimeout)
	return append(out, Action{
		Kind: ActionDropKey, Service: s.name, Key: h.key, From: s.targets[h.owner].name, Reason: ReasonCooled,
	})
}

// cooled reports whether the key has been below the threshold for coolTime.
func (h *hotRow) cooled(now types.Instant, mean float64) bool {
	if float64(h.load) >= coolShare*mean {
		h.coldSince = never
		h.dropping = false
		return false
	}
	if h.coldSince == never {
		h.coldSince = now
	}
	return now.Sub(h.coldSince) >= coolTime
}

// moveKey proposes a move of a hot-key row.
func (s *service) moveKey(now types.Instant, h *hotRow, to uint16, reason Reason, out []Action) []Action {
	h.pending = to
	h.expires = now.Add(MoveTimeout)
	return append(out, s.keyAction(h, to, reason))
}

func (s *service) keyAction(h *hotRow, to uint16, reason Reason) Action {
	a := Action{Kind: ActionMoveKey, Service: s.name, Key: h.key, To: s.targets[to].name, Reason: reason}
	if h.owner != NoOwner {
		a.From = s.targets[h.owner].name
	}
	return a
}
