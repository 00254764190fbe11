package httpserver

import (
	"errors"
	"os"
	"time"
)

const (
	// writePiece is the number of bytes of an answer that the caller has to take within unreadTime.
	writePiece = 64 << 10
	// unreadTime is how long an answer may stay unread. Callers of a few seconds' patience have left by then, and a slow link
	// that takes 64 KiB in that time is kept.
	unreadTime = 10 * time.Second
	// slowReadTime is how long a piece may stay unread while memory is short.
	slowReadTime = time.Second
	// slowReaderInterval is the shortest time between two searches for slow readers.
	slowReaderInterval = 100 * time.Millisecond
)

// SetWriteDeadline is ignored: Write sets the deadlines of this package, and net/http would only clear them.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// writePieces writes p piece by piece. It resets the connection if the caller leaves a piece unread for unreadTime, so that what
// it has received does not look complete.
func (c *connection) writePieces(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = c.writePiece(p[n:min(len(p), n+writePiece)])
		n += m
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.slowReaders.Add(1)
		c.reset()
	}
	return n, err
}

func (c *connection) writePiece(p []byte) (int, error) {
	now := time.Now()
	// Setting a timer costs more than reading the clock, so that a deadline is used until half of it has passed.
	if c.writeDeadline.Sub(now) < unreadTime/2 {
		c.writeDeadline = now.Add(unreadTime)
		if err := c.Conn.SetWriteDeadline(c.writeDeadline); err != nil {
			return 0, err
		}
	}
	c.writeSince.Store(now.UnixNano())
	n, err := c.Conn.Write(p)
	c.writeSince.Store(0)
	return n, err
}

// ResetSlowReaders closes the connections whose callers have left a piece of an answer unread for slowReadTime. It is called while
// memory is short, and does nothing if it was called a moment before.
func (s *Server) ResetSlowReaders() {
	now := time.Now().UnixNano()
	last := s.slowReadersSought.Load()
	if now-last < int64(slowReaderInterval) || !s.slowReadersSought.CompareAndSwap(last, now) {
		return
	}
	s.connections.open.Range(func(k, _ any) bool {
		c := k.(*connection)
		if since := c.writeSince.Load(); since != 0 && now-since > int64(slowReadTime) {
			s.slowReaders.Add(1)
			c.reset()
		}
		return true
	})
}

// SlowReaders returns the number of connections that were closed because their callers left an answer unread.
func (s *Server) SlowReaders() uint64 { return s.slowReaders.Load() }
