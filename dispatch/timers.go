package dispatch

import "sequoiasail.example/types"

// timers holds at most one expiry time per id in a binary heap. Ids are slab indexes, so pos stays small.
type timers struct {
	heap []timer
	// pos is the heap position of each id, or none.
	pos []int32
}

type timer struct {
	at types.Instant
	id int32
}

// set makes id due at instant at, instead of at its earlier expiry time.
func (t *timers) set(id int32, at types.Instant) {
	for int(id) >= len(t.pos) {
		t.pos = append(t.pos, none)
	}
	p := t.pos[id]
	if p == none {
		p = int32(len(t.heap))
		t.heap = append(t.heap, timer{})
		t.put(p, timer{at: at, id: id})
		t.up(p)
		return
	}
	t.heap[p].at = at
	t.down(t.up(p))
}

// clear removes id's expiry time, if it has one.
func (t *timers) clear(id int32) {
	if int(id) >= len(t.pos) || t.pos[id] == none {
		return
	}
	p := t.pos[id]
	t.pos[id] = none
	last := len(t.heap) - 1
	moved := t.heap[last]
	t.heap = t.heap[:last]
	if int(p) == last {
		return
	}
	t.put(p, moved)
	t.down(t.up(p))
}

// due returns an id that is due at now.
func (t *timers) due(now types.Instant) (int32, bool) {
	if len(t.heap) == 0 || now.Before(t.heap[0].at) {
		return none, false
	}
	return t.heap[0].id, true
}

// next returns the earliest expiry time.
func (t *timers) next() (types.Instant, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

func (t *timers) put(p int32, v timer) {
	t.heap[p] = v
	t.pos[v.id] = p
}

func (t *timers) up(p int32) int32 {
	v := t.heap[p]
	for p > 0 {
		parent := (p - 1) / 2
		if t.heap[parent].at <= v.at {
			break
		}
		t.put(p, t.heap[parent])
		p = parent
	}
	t.put(p, v)
	return p
}

func (t *timers) down(p int32) {
	v := t.heap[p]
	n := int32(len(t.heap))
	for {
		child := 2*p + 1
		if child >= n {
			break
		}
		if child+1 < n && t.heap[child+1].at < t.heap[child].at {
			child++
		}
		if v.at <= t.heap[child].at {
			break
		}
		t.put(p, t.heap[child])
		p = child
	}
	t.put(p, v)
}
