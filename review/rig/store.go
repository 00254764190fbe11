package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// Limits of a page.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type transaction struct {
	Precondition []condition `json:"precondition"`
	Writes       []item      `json:"writes"`
	Remove       []string    `json:"remove"`
}

// touches reports whether the transaction writes a key with the prefix.
func (t transaction) touches(prefix string) bool {
	return slices.ContainsFunc(t.Writes, func(i item) bool { return strings.HasPrefix(i.Key, prefix) })
}

// store is the platform's metadata store as PROTOCOL.md describes it.
type store struct {
	guard     guard
	record    *record
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]*lease
	lastLease uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// slow multiplies the time of an answer.
	slow float64
	// busy makes the store answer each call with 503.
	busy bool
	// loseNext is called for each transaction. If it returns a time above 0, the call gets no answer and is done after that time.
	loseNext func(vm string, t transaction) time.Duration
	servers  []*http.Server
}

func newStore(r *record, done <-chan struct{}) *store {
	s := &store{
		guard: newGuard(), record: r, revision: 100, items: map[string]item{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), slow: 1,
	}
	every(20*time.Millisecond, done, func() { s.guard.hold(s.endLeases) })
	return s
}

// serve answers the calls of one VM at an address of its own, so that the record can name the VM.
func (s *store) serve(vm, address string) string {
	l := listen(address)
	h := http.NewServeMux()
	h.HandleFunc("GET /api/kv-key", s.call(vm, s.getKey))
	h.HandleFunc("GET /api/kv-range", s.call(vm, s.getRange))
	h.HandleFunc("GET /api/kv-watch", s.call(vm, s.watch))
	h.HandleFunc("POST /api/kv-txn", s.call(vm, s.transact))
	h.HandleFunc("POST /api/kv-lease", s.call(vm, s.grantLease))
	h.HandleFunc("POST /api/kv-keep/{id}", s.call(vm, s.keepLease))
	h.HandleFunc("DELETE /api/kv-lease-end/{id}", s.call(vm, s.endLease))
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	background(func() { _ = server.Serve(l) })
	return l.Addr().String()
}

func listen(address string) net.Listener {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		unable("listen: %v", err)
	}
	return l
}

// reply is the answer to a call. The connection is held without an answer if silent is true.
type reply struct {
	status int
	body   any
	silent bool
}

// call performs a call when it arrives and answers after the time that the store takes now.
func (s *store) call(vm string, perform func(vm string, r *http.Request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		busy, slow := false, 1.0
		s.guard.hold(func() { busy, slow = s.busy, s.slow })
		var a reply
		if busy {
			a = reply{status: http.StatusServiceUnavailable}
		} else {
			a = perform(vm, r)
		}
		if a.silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		pause(time.Duration(slow * float64(answerTime)))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		if a.body != nil {
			_ = json.NewEncoder(w).Encode(a.body)
		}
	}
}

func (s *store) getKey(_ string, r *http.Request) (a reply) {
	s.guard.hold(func() {
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			a = reply{status: http.StatusNotFound, body: map[string]any{"current_rev": s.revision}}
			return
		}
		a = reply{status: http.StatusOK, body: struct {
			item
			Current uint64 `json:"current_rev"`
		}{i, s.revision}}
	})
	return a
}

func (s *store) getRange(_ string, r *http.Request) (a reply) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.guard.hold(func() {
		var list []item
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				list = append(list, i)
			}
		}
		slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		page, size := []item{}, 0
		for _, i := range list {
			size += len(i.Value)
			if len(page) == pageItems || (len(page) > 0 && size > pageBytes) {
				break
			}
			page = append(page, i)
		}
		a = reply{status: http.StatusOK, body: map[string]any{"items": page, "more_pages": len(page) < len(list), "current_rev": s.revision}}
	})
	return a
}

func (s *store) watch(_ string, r *http.Request) reply {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, current, changed, busy := []item{}, uint64(0), s.changed, false
		s.guard.hold(func() {
			for _, e := range s.history {
				if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
					events = append(events, e)
				}
			}
			current, changed, busy = s.revision, s.changed, s.busy
		})
		if busy {
			return reply{status: http.StatusServiceUnavailable}
		}
		full := reply{status: http.StatusOK, body: map[string]any{"events": events, "current_rev": current}}
		if len(events) > 0 {
			return full
		}
		select {
		case <-changed:
		case <-end:
			return full
		case <-r.Context().Done():
			return reply{silent: true}
		}
	}
}

func (s *store) transact(vm string, r *http.Request) (a reply) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return reply{status: http.StatusBadRequest}
	}
	late := time.Duration(0)
	s.guard.hold(func() {
		if s.loseNext != nil {
			late = s.loseNext(vm, t)
		}
	})
	if late > 0 {
		time.AfterFunc(late, func() {
			s.guard.hold(func() {
				done := s.apply(t)
				s.record.say("store: carries out the write of %s that it left unanswered: status %d", vm, done.status)
			})
		})
		return reply{silent: true}
	}
	s.guard.hold(func() { a = s.apply(t) })
	return a
}

// apply carries out a transaction if its conditions hold.
func (s *store) apply(t transaction) reply {
	var differing []item
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			differing = append(differing, s.items[c.Key])
		}
	}
	if len(differing) > 0 {
		return reply{status: http.StatusPreconditionFailed, body: map[string]any{"items": differing}}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return reply{status: http.StatusNotFound}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.announce()
	return reply{status: http.StatusOK, body: map[string]any{"revision": s.revision}}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) grantLease(_ string, r *http.Request) (a reply) {
	var m struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return reply{status: http.StatusBadRequest}
	}
	s.guard.hold(func() {
		s.lastLease++
		ttl := time.Duration(m.TTL * float64(time.Second))
		s.leases[s.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		a = reply{status: http.StatusOK, body: map[string]any{"lease": s.lastLease, "ttl_s_time": m.TTL}}
	})
	return a
}

func (s *store) keepLease(_ string, r *http.Request) (a reply) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.guard.hold(func() {
		s.endLeases()
		l := s.leases[id]
		if l == nil {
			a = reply{status: http.StatusNotFound}
			return
		}
		l.ends = time.Now().Add(l.ttl)
		a = reply{status: http.StatusOK, body: map[string]any{"lease": id, "ttl_s_time": l.ttl.Seconds()}}
	})
	return a
}

func (s *store) endLease(_ string, r *http.Request) (a reply) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.guard.hold(func() {
		a = reply{status: http.StatusOK, body: map[string]any{}}
		if l := s.leases[id]; l != nil {
			l.ends = time.Time{}
			s.endLeases()
		}
	})
	return a
}

// endLeases removes the leases that have ended, and their keys.
func (s *store) endLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		s.revision++
		for key, i := range s.items {
			if i.Lease == id {
				s.remove(key)
			}
		}
		s.announce()
	}
}

// put writes a key for the operator or an upstream. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		unable("encode %s: %v", key, err)
	}
	s.guard.hold(func() { s.apply(transaction{Writes: []item{{Key: key, Value: data}}}) })
}

// drop removes a key for the operator or an upstream.
func (s *store) drop(key string) {
	s.guard.hold(func() { s.apply(transaction{Remove: []string{key}}) })
}
