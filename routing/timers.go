package routing

import "sequoiasail.example/types"

// timers is a binary heap of requests by wake time. Each request has at most one timer and knows its position, so that
// a finished request leaves no entry behind.
type timers struct {
	flights *flights
	heap    []int32
}

func (t *timers) next() (types.Instant, bool) {
	if len(t.heap) == 0 {
		return never, false
	}
	return t.flights.slab[t.heap[0]].wake, true
}

// due returns the request with the earliest timer if that is not after now.
func (t *timers) due(now types.Instant) (int32, bool) {
	at, ok := t.next()
	if !ok || now < at {
		return none, false
	}
	return t.heap[0], true
}

// set starts or moves the timer of a request.
func (t *timers) set(id int32, at types.Instant) {
	f := &t.flights.slab[id]
	f.wake = at
	if f.heapPos == none {
		f.heapPos = int32(len(t.heap))
		t.heap = append(t.heap, id)
	}
	t.down(t.up(int(f.heapPos)))
}

// clear stops the timer of a request.
func (t *timers) clear(id int32) {
	f := &t.flights.slab[id]
	pos := f.heapPos
	if pos == none {
		return
	}
	f.heapPos = none
	last := len(t.heap) - 1
	moved := t.heap[last]
	t.heap = t.heap[:last]
	if int(pos) == last {
		return
	}
	t.place(int(pos), moved)
	t.down(t.up(int(pos)))
}

func (t *timers) place(pos int, id int32) {
	t.heap[pos] = id
	t.flights.slab[id].heapPos = int32(pos)
}

func (t *timers) earlier(a, b int32) bool { return t.flights.slab[a].wake < t.flights.slab[b].wake }

func (t *timers) up(pos int) int {
	id := t.heap[pos]
	for pos > 0 {
		parent := (pos - 1) / 2
		if !t.earlier(id, t.heap[parent]) {
			break
		}
		t.place(pos, t.heap[parent])
		pos = parent
	}
	t.place(pos, id)
	return pos
}

func (t *timers) down(pos int) {
	id := t.heap[pos]
	for {
		child := 2*pos + 1
		if child >= len(t.heap) {
			break
		}
		if right := child + 1; right < len(t.heap) && t.earlier(t.heap[right], t.heap[child]) {
			child = right
		}
		if !t.earlier(t.heap[child], id) {
			break
		}
		t.place(pos, t.heap[child])
		pos = child
	}
	t.place(pos, id)
}

// waiting lists the held requests of one service.
type waiting struct {
	ids []int32
}

// add appends a request. It returns false when MaxWaiting requests are held.
func (w *waiting) add(fs *flights, id int32) bool {
	if len(w.ids) >= MaxWaiting {
		return false
	}
	fs.slab[id].waitPos = int32(len(w.ids))
	w.ids = append(w.ids, id)
	return true
}

func (w *waiting) remove(fs *flights, id int32) {
	pos := fs.slab[id].waitPos
	last := len(w.ids) - 1
	moved := w.ids[last]
	w.ids[pos] = moved
	fs.slab[moved].waitPos = pos
	w.ids = w.ids[:last]
	fs.slab[id].waitPos = none
}
