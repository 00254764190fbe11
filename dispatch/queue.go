package dispatch

import "sequoiasail.example/types"

// callerShare is the dynamic threshold of one caller's places: a caller may hold callerShare times the free places of
// its class. With 4, a lone caller holds at most 80% of the places, so a new caller always finds some.
const callerShare = 4

// classQueue holds the requests of one class that wait for one target.
type classQueue struct {
	limit int
	// held counts admitted requests that are not in flight: copying, queued or waiting for a retry.
	held int
	// queued counts those that can be sent at once.
	queued int
	// callers is the number of callers in the ring.
	callers int
	// head is the caller queue whose turn it is, or none.
	head int32
}

// callerQueue holds the requests of one caller, class and target in order of arrival.
type callerQueue struct {
	key         callerKey
	held        int
	queued      int
	first, last int32
	next, prev  int32 // ring of callers with queued requests
}

type callerKey struct {
	target int32
	class  types.Class
	caller types.Caller
}

// hasPlace reports whether one more request of caller may wait.
func (c *Core) hasPlace(t *target, class types.Class, caller types.Caller) bool {
	q := &t.classes[class]
	free := q.limit - q.held
	if free <= 0 {
		return false
	}
	i, found := c.byCaller[callerKey{t.index, class, caller}]
	return !found || c.callers.at(i).held < callerShare*free
}

// hold counts request i as waiting for its target.
func (c *Core) hold(t *target, i int32) {
	r := c.requests.at(i)
	key := callerKey{t.index, r.Class, r.Caller}
	q, found := c.byCaller[key]
	if !found {
		q = c.callers.add(callerQueue{key: key, first: none, last: none, next: none, prev: none})
		c.byCaller[key] = q
	}
	c.callers.at(q).held++
	t.classes[r.Class].held++
	r.callerQueue = q
}

// release ends the waiting of request i, which is in no queue.
func (c *Core) release(t *target, i int32) {
	r := c.requests.at(i)
	q := r.callerQueue
	if q == none {
		return
	}
	r.callerQueue = none
	t.classes[r.Class].held--
	cq := c.callers.at(q)
	cq.held--
	if cq.held == 0 {
		delete(c.byCaller, cq.key)
		c.callers.remove(q)
	}
}

// push queues request i, which is held, in front of or behind its caller's other requests.
func (c *Core) push(t *target, i int32, front bool) {
	r := c.requests.at(i)
	cq := c.callers.at(r.callerQueue)
	r.next, r.prev = none, none
	switch {
	case cq.queued == 0:
		cq.first, cq.last = i, i
		c.joinRing(&t.classes[r.Class], r.callerQueue, front)
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

// unlink takes request i out of its caller's queue. It stays held.
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
		c.leaveRing(&t.classes[r.Class], r.callerQueue)
	}
}

// joinRing adds caller queue q at the end of the round, or makes it the next one.
func (c *Core) joinRing(class *classQueue, q int32, first bool) {
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

func (c *Core) leaveRing(class *classQueue, q int32) {
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

// pop takes the next request of target t out of its queue: classes take turns, and callers take turns inside a class.
// The request stays held. It returns none when nothing is queued.
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

// ahead estimates how many requests will be sent before one that caller adds now.
func (c *Core) ahead(t *target, class types.Class, caller types.Caller) int {
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
