package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"time"

	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

const (
	// firstBodyBytes is the size of the first segment of a body that does not announce a smaller length, MaxSegmentBytes that of
	// the largest.
	firstBodyBytes  = 4 << 10
	MaxSegmentBytes = 1 << 20
)

// Body is the body of a caller's request. Its memory counts against a budget until it is released.
type Body struct {
	// Budget bounds the memory of all bodies. There is no bound without it.
	Budget *forward.Budget

	taken int64
	// segments hold the body. They are filled in turn, so that a body is never copied to a larger buffer.
	segments [][]byte
}

// Segments returns the body in pieces. They are valid until the body is released.
func (b *Body) Segments() [][]byte { return b.segments }

// Join returns the body in one piece, which is nil if the body is empty.
func (b *Body) Join() []byte {
	if len(b.segments) > 1 {
		// The request is complete: refusing it now would waste what has been read.
		b.Budget.Overdraw(b.taken)
		b.taken *= 2
		b.segments = [][]byte{bytes.Join(b.segments, nil)}
	}
	if len(b.segments) == 0 {
		return nil
	}
	return b.segments[0]
}

// ReadWithin reads the whole body, so that no incomplete request is passed on. A body that is still incomplete after d, when its caller
// stops waiting, would hold memory and a connection for nothing. Its faults have CodeOverloaded if the budget is used up,
// CodeBodyTooLarge if the body is larger than limit bytes, or CodeTruncatedBody.
func (b *Body) ReadWithin(d time.Duration, w http.ResponseWriter, r *http.Request, limit int64) *types.Fault {
	switch {
	case r.ContentLength == 0:
		return b.read(w, r, limit)
	case r.ContentLength > limit:
		return tooLargeBody(limit)
	}
	control := http.NewResponseController(w)
	// Errors mean that the connection has ended.
	_ = control.SetReadDeadline(time.Now().Add(d))
	fault := b.read(w, r, limit)
	if fault == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	// After a fault the deadline stays: net/http reads on before it sends the answer.
	return fault
}

// read reads the whole body. w is the writer of net/http, which closes the connection after a body that is too large. The memory
// grows with the bytes that arrive, because a caller may announce more than it sends.
func (b *Body) read(w http.ResponseWriter, r *http.Request, limit int64) *types.Fault {
	if b.Budget.Overdrawn() {
		return types.NotRun(types.CodeOverloaded, "no memory left beside the bodies of other requests")
	}
	if r.ContentLength == 0 {
		return nil
	}
	size := int64(firstBodyBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength+1)
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	var last *[]byte
	for {
		if last == nil || len(*last) == cap(*last) {
			if !b.add(size) {
				return types.NotRun(types.CodeOverloaded, "no memory left for the body beside those of other requests")
			}
			last = &b.segments[len(b.segments)-1]
			size = min(max(b.taken, firstBodyBytes), MaxSegmentBytes)
		}
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
			// A body that arrives faster than it is read never waits, and would keep its processor for 10 ms at a time: with 200 such
			// bodies, each of the goroutines that serve another request would wait for hundreds of milliseconds.
			runtime.Gosched()
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &tooLarge):
			return tooLargeBody(limit)
		default:
			return types.NotRun(types.CodeTruncatedBody, "the body is incomplete: %v", err)
		}
	}
}

func tooLargeBody(limit int64) *types.Fault {
	return types.NotRun(types.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
}

// add appends an empty segment of the given size. It fails if the budget is used up.
func (b *Body) add(size int64) bool {
	if !b.Budget.Take(size) {
		return false
	}
	b.taken += size
	b.segments = append(b.segments, make([]byte, 0, size))
	return true
}

// Release gives the memory of the body back.
func (b *Body) Release() {
	b.Budget.GiveBack(b.taken)
	b.taken = 0
}
