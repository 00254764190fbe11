package httpserver

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minIdleAge is how long a connection must have been idle before it may be closed to make room. A new caller sends its request
	// within that time.
	minIdleAge = 100 * time.Millisecond
	// roomInterval is how often a full server looks for room, besides when a connection ends.
	roomInterval = 20 * time.Millisecond
	// fullTime is how long a server may be full before it says that it accepts no connections.
	fullTime = time.Second
	// shortAt and enoughAt are the eighths of the connections at which they begin and cease to be short, evictionShare the part
	// of them that is closed at a time, fullEvictionShare that of a server that is full.
	shortAt           = 7
	enoughAt          = 6
	evictionShare     = 16
	fullEvictionShare = 4
)

// room tells whether the connections of a server are short.
type room struct {
	short atomic.Bool
	// fullSince is when the server has become full, in Unix nanoseconds, or 0.
	fullSince atomic.Int64
	// freed holds a wake-up for the listener when a connection ends.
	freed chan struct{}
}

// Short reports whether the connections run short. Answers that refuse a request should then close theirs.
func (s *Server) Short() bool { return s.room.short.Load() }

// Accepts reports whether the server accepts new connections.
func (s *Server) Accepts() bool {
	since := s.room.fullSince.Load()
	return since == 0 || time.Now().UnixNano()-since < int64(fullTime)
}

// makeRoom waits until another connection may be accepted. It closes connections that are idle when few are left. It returns at
// once when the server stops accepting.
func (s *Server) makeRoom() {
	if s.MaxConnections == 0 || s.Connections() < s.MaxConnections*shortAt/8 {
		return
	}
	s.setShort(true)
	s.connections.evictIdle(max(1, s.MaxConnections/evictionShare))
	if s.Connections() < s.MaxConnections {
		return
	}
	s.room.fullSince.Store(time.Now().UnixNano())
	defer s.room.fullSince.Store(0)
	retry := time.NewTicker(roomInterval)
	defer retry.Stop()
	for s.Connections() >= s.MaxConnections && !s.closing.Load() {
		select {
		case <-s.room.freed:
		case <-retry.C:
			s.connections.evictIdle(max(1, s.MaxConnections/fullEvictionShare))
		}
	}
}

// connectionEnded wakes the listener and notes whether the connections are no longer short.
func (s *Server) connectionEnded() {
	select {
	case s.room.freed <- struct{}{}:
	default:
	}
	if s.Connections() < s.MaxConnections*enoughAt/8 {
		s.setShort(false)
	}
}

func (s *Server) setShort(short bool) {
	if s.room.short.Load() != short && s.room.short.CompareAndSwap(!short, short) && s.ShortChanged != nil {
		s.ShortChanged(short)
	}
}

// evictIdle closes at most n connections: those that have been idle for longest, and after them those whose header section has been
// incomplete for longest. A connection that has read a whole request is never closed. What arrives on an idle one meanwhile is not
// read, which tells the caller that it has not run.
func (s *connections) evictIdle(n int) {
	type candidate struct {
		c      *connection
		since  int64
		header bool
	}
	var list []candidate
	now := time.Now()
	idleBefore, headerBefore := now.Add(-minIdleAge).UnixNano(), now.Add(-minHeaderAge).UnixNano()
	s.open.Range(func(k, _ any) bool {
		c := k.(*connection)
		state, idle, header := c.state.Load(), c.idleSince.Load(), c.headerSince.Load()
		switch {
		case (state == awaitingRequest || state == waitingForRequest) && idle < idleBefore:
			list = append(list, candidate{c, idle, false})
		case header > 0 && header < headerBefore:
			list = append(list, candidate{c, header, true})
		}
		return true
	})
	slices.SortFunc(list, func(a, b candidate) int {
		if a.header != b.header {
			if b.header {
				return -1
			}
			return 1
		}
		return int(a.since - b.since)
	})
	for _, l := range list[:min(n, len(list))] {
		if l.header {
			l.c.evict(l.since)
			continue
		}
		l.c.server.evictions.Add(1)
		l.c.refuseRequests()
	}
}
