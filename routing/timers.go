package routing

import "sequoiasail.example/types"

// timers is a binary heap of requests by wakeAt. Each request has at most one timer and stores its heap position, so
// that the timer of a finished request can be removed at once.
type timers struct {
	requests *requests
	heap     []int32 // indices into requests.slab
}

func (t *timers) next() (types.Instant, bool) {
	if len(t.heap) == 0 {
		return never, false
	}
	return t.requests.slab[t.heap[0]].wakeAt, true
}

// due returns the request with the earliest timer if the timer has expired at now.
func (t *timers) due(now types.Instant) (int32, bool) {
	at, ok := t.next()
	if !ok || now < at {
		return noIndex, false
	}
	return t.heap[0], true
}

// set starts or moves the timer of a request.
func (t *timers) set(id int32, at types.Instant) {
	req := &t.requests.slab[id]
	req.wakeAt = at
	if req.heapPos == noIndex {
		req.heapPos = int32(len(t.heap))
		t.heap = append(t.heap, id)
	}
	t.siftDown(t.siftUp(int(req.heapPos)))
}

// clear stops the timer of a request.
func (t *timers) clear(id int32) {
	req := &t.requests.slab[id]
	pos := req.heapPos
	if pos == noIndex {
		return
	}
	req.heapPos = noIndex
	last := len(t.heap) - 1
	moved := t.heap[last]
	t.heap = t.heap[:last]
	if int(pos) == last {
		return
	}
	t.moveTo(int(pos), moved)
	t.siftDown(t.siftUp(int(pos)))
}

func (t *timers) moveTo(pos int, id int32) {
	t.heap[pos] = id
	t.requests.slab[id].heapPos = int32(pos)
}

func (t *timers) earlier(a, b int32) bool {
	return t.requests.slab[a].wakeAt < t.requests.slab[b].wakeAt
}

func (t *timers) siftUp(pos int) int {
	id := t.heap[pos]
	for pos > 0 {
		parent := (pos - 1) / 2
		if !t.earlier(id, t.heap[parent]) {
			break
		}
		t.moveTo(pos, t.heap[parent])
		pos = parent
	}
	t.moveTo(pos, id)
	return pos
}

func (t *timers) siftDown(pos int) {
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
		t.moveTo(pos, t.heap[child])
		pos = child
	}
	t.moveTo(pos, id)
}

// waitList lists the held requests of one service, in no particular order.
type waitList struct {
	ids []int32 // indices into requests.slab
}

// add appends a request. It returns false when MaxWaiting requests are held.
func (w *waitList) add(rs *requests, id int32) bool {
	if len(w.ids) >= MaxWaiting {
		return false
	}
	rs.slab[id].waitPos = int32(len(w.ids))
	w.ids = append(w.ids, id)
	return true
}

func (w *waitList) remove(rs *requests, id int32) {
	pos := rs.slab[id].waitPos
	last := len(w.ids) - 1
	moved := w.ids[last]
	w.ids[pos] = moved
	rs.slab[moved].waitPos = pos
	w.ids = w.ids[:last]
	rs.slab[id].waitPos = noIndex
}
