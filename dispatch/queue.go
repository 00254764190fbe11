package dispatch

import "sequoiasail.example/types"

// callerPlaceFactor bounds the places of one caller by a dynamic threshold: a caller may take at most callerPlaceFactor
// times the free places of its class. With 4, a lone caller takes at most 80% of the places, so a new caller always
// finds some.
const callerPlaceFactor = 4

// classQueue counts the requests of one class that wait for one target, and links its caller queues in a ring.
type classQueue struct {
	// limit is the number of places. An admitted request takes one while it is not in flight.
	limit int
	// placesTaken counts the requests with a place: copying, queued or waiting for a retry.
	placesTaken int
	// queued counts the requests that can be sent at once.
	queued int
	// callers is the number of callers in the ring.
	callers int
	// head is the caller queue whose turn it is, or none.
	head int32
}

// callerQueue links the queued requests of one caller, class and target in order of arrival.
type callerQueue struct {
	key         callerKey
	placesTaken int   // as in classQueue, by this caller
	queued      int   // length of the list of requests
	first, last int32 // ends of the list of requests, or none
	next, prev  int32 // ring of callers with queued requests
}

// callerKey identifies a caller queue.
type callerKey struct {
	target int32
	class  types.Class
	caller types.Caller
}

// hasPlace reports whether the class queue has a place for one more request of caller.
func (c *Core) hasPlace(t *target, class types.Class, caller types.Caller) bool {
	q := &t.classes[class]
	free := q.limit - q.placesTaken
	if free <= 0 {
		return false
	}
	i, found := c.byCaller[callerKey{t.index, class, caller}]
	return !found || c.callers.at(i).placesTaken < callerPlaceFactor*free
}

// takePlace gives request i a place in its class queue, without queueing it.
func (c *Core) takePlace(t *target, i int32) {
	r := c.requests.at(i)
	key := callerKey{t.index, r.Class, r.Caller}
	q, found := c.byCaller[key]
	if !found {
		q = c.callers.add(callerQueue{key: key, first: none, last: none, next: none, prev: none})
		c.byCaller[key] = q
	}
	c.callers.at(q).placesTaken++
	t.classes[r.Class].placesTaken++
	r.callerQueue = q
}

// freePlace gives back the place of request i, if it has one. The request must not be queued.
func (c *Core) freePlace(t *target, i int32) {
	r := c.requests.at(i)
	q := r.callerQueue
	if q == none {
		return
	}
	r.callerQueue = none
	t.classes[r.Class].placesTaken--
	cq := c.callers.at(q)
	cq.placesTaken--
	if cq.placesTaken == 0 {
		delete(c.byCaller, cq.key)
		c.callers.remove(q)
	}
}

// push queues request i, which has a place, in front of or behind its caller's other requests.
func (c *Core) push(t *target, i int32, front bool) {
	r := c.requests.at(i)
	cq := c.callers.at(r.callerQueue)
	r.next, r.prev = none, none
	switch {
	case cq.queued == 0:
		cq.first, cq.last = i, i
		c.addToRing(&t.classes[r.Class], r.callerQueue, front)
	case front:
		r.next = cq.first
		c.requests.at(cq.first).prev = i
		cq.first = i
	default:
		r.prev = cq.last
		c.requests.at(cq.last).next = i
		cq.last = i
	}
	cq.queued++
	t.classes[r.Class].queued++
	t.queued++
}

// unlink removes request i from its caller's queue. It keeps its place.
func (c *Core) unlink(t *target, i int32) {
	r := c.requests.at(i)
	cq := c.callers.at(r.callerQueue)
	if r.prev == none {
		cq.first = r.next
	} else {
		c.requests.at(r.prev).next = r.next
	}
	if r.next == none {
		cq.last = r.prev
	} else {
		c.requests.at(r.next).prev = r.prev
	}
	r.next, r.prev = none, none
	cq.queued--
	t.classes[r.Class].queued--
	t.queued--
	if cq.queued == 0 {
		c.removeFromRing(&t.classes[r.Class], r.callerQueue)
	}
}

// addToRing adds caller queue q as the last one to be served, or as the next one if first is true.
func (c *Core) addToRing(class *classQueue, q int32, first bool) {
	class.callers++
	cq := c.callers.at(q)
	if class.head == none {
		cq.next, cq.prev = q, q
		class.head = q
		return
	}
	head := c.callers.at(class.head)
	cq.next, cq.prev = class.head, head.prev
	c.callers.at(head.prev).next = q
	head.prev = q
	if first {
		class.head = q
	}
}

// removeFromRing removes caller queue q, which has become empty.
func (c *Core) removeFromRing(class *classQueue, q int32) {
	class.callers--
	cq := c.callers.at(q)
	if cq.next == q {
		class.head = none
		cq.next, cq.prev = none, none
		return
	}
	c.callers.at(cq.prev).next = cq.next
	c.callers.at(cq.next).prev = cq.prev
	if class.head == q {
		class.head = cq.next
	}
	cq.next, cq.prev = none, none
}

// pop removes the next request of target t from its queue: round robin over the classes, and over the callers of a
// class. The request keeps its place. pop returns none when nothing is queued.
func (c *Core) pop(t *target) int32 {
	for range types.ClassCount {
		class := &t.classes[t.nextClass]
		t.nextClass = (t.nextClass + 1) % types.ClassCount
		if class.head == none {
			continue
		}
		cq := c.callers.at(class.head)
		class.head = cq.next
		i := cq.first
		c.unlink(t, i)
		return i
	}
	return none
}

// queuedAhead estimates how many queued requests will be sent before one that caller adds now.
func (c *Core) queuedAhead(t *target, class types.Class, caller types.Caller) int {
	q := &t.classes[class]
	n := q.queued
	if i, found := c.byCaller[callerKey{t.index, class, caller}]; found {
		own := c.callers.at(i).queued
		n = min(n, (own+1)*q.callers)
	} else {
		n = min(n, q.callers)
	}
	others := 0
	for k := range t.classes {
		if types.Class(k) != class {
			others += min(t.classes[k].queued, n+1)
		}
	}
	return n + others
}
