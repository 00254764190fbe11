package forward

import (
	"context"
	"errors"
	"io"
	"sync"
)

const (
	// unknownBodyBytes is the size of the first buffer for a body of unknown length, in bytes.
	unknownBodyBytes = 2 << 10
	// chunkBytes is the size of the chunks of a large body, in bytes. The first chunk takes nothing from the Budget, so that
	// small bodies can be read while a few large ones use it up.
	chunkBytes = 64 << 10
	// segmentBytes is the size of the segments of a large body whose length is declared, in bytes.
	segmentBytes = 1 << 20
)

// chunk is a part of a large body.
type chunk [chunkBytes]byte

// chunkPool keeps chunks for reuse. Without it, the chunks of failed exchanges would exceed the Budget until the garbage
// collector runs.
var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// ReadBody returns the whole body of a response. length is its declared length, -1 if it is unknown. It fails when the body
// exceeds limit, in bytes, or when the budget is used up.
func ReadBody(r io.Reader, length, limit int64, budget *Budget) ([]byte, error) {
	b := bodyReader{limit: limit, budget: budget}
	return b.read(r, length)
}

// readHeld is ReadBody for a body that stays in memory until its bytes are given back to the budget; held is their number. A body
// that declares its length is not read before the budget has room for all of it, so that the target is slowed down instead. The
// wait ends with ctx. A body of unknown length fails if it does not fit. A large body is returned in segments: the garbage collector
// can free memory before each, which it can't before a single large allocation.
func readHeld(ctx context.Context, r io.Reader, length, limit int64, budget *Budget) (body []byte, segments [][]byte, held int64, err error) {
	if length > limit {
		return nil, nil, 0, errResponseTooLong
	}
	if length <= chunkBytes || budget == nil {
		if body, err = ReadBody(r, length, min(limit, DefaultMaxResponseBytes), budget.forUndeclared()); err != nil {
			return nil, nil, 0, err
		}
		held = int64(len(body))
		if held > chunkBytes && !budget.Take(held) {
			return nil, nil, 0, errBudgetExceeded
		}
		if held <= chunkBytes {
			budget.Overdraw(held)
		}
		return body, nil, held, nil
	}
	if !budget.Wait(ctx, length) {
		return nil, nil, 0, errBudgetExceeded
	}
	for left := length; left > 0; left -= int64(len(segments[len(segments)-1])) {
		segment := make([]byte, min(left, segmentBytes))
		if _, err = io.ReadFull(r, segment); err != nil {
			budget.GiveBack(length)
			return nil, nil, 0, err
		}
		segments = append(segments, segment)
	}
	return nil, segments, length, nil
}

// bodyReader reads the body of one response into memory.
type bodyReader struct {
	// limit bounds the body, in bytes.
	limit  int64
	budget *Budget
	// chunks hold the bytes after the first chunkBytes.
	chunks []*chunk
}

// read returns the whole body. The memory grows with the bytes that arrive, because a target may declare more than it sends.
func (b *bodyReader) read(r io.Reader, length int64) ([]byte, error) {
	if length > b.limit {
		return nil, errResponseTooLong
	}
	size := int64(unknownBodyBytes)
	if length >= 0 {
		size = min(length+1, chunkBytes)
	}
	first := make([]byte, size)
	n, ended, err := fill(r, first)
	if !ended && err == nil && size < chunkBytes {
		first = append(make([]byte, 0, chunkBytes), first...)[:chunkBytes]
		var m int
		m, ended, err = fill(r, first[n:])
		n += m
	}
	switch {
	case err != nil:
		return nil, err
	case int64(n) > b.limit:
		return nil, errResponseTooLong
	case ended:
		return first[:n], nil
	}
	return b.readChunks(r, first)
}

// readChunks reads the rest of a body that starts with first.
func (b *bodyReader) readChunks(r io.Reader, first []byte) ([]byte, error) {
	defer b.release()
	for total := int64(len(first)); ; {
		if !b.budget.Take(chunkBytes) {
			return nil, errBudgetExceeded
		}
		c := chunkPool.Get().(*chunk)
		b.chunks = append(b.chunks, c)
		n, ended, err := fill(r, c[:])
		total += int64(n)
		switch {
		case err != nil:
			return nil, err
		case total > b.limit:
			return nil, errResponseTooLong
		case ended:
			return b.join(first, total), nil
		}
	}
}

// join returns first and the chunks in one slice of n bytes.
func (b *bodyReader) join(first []byte, n int64) []byte {
	body := append(make([]byte, 0, n), first...)
	for _, c := range b.chunks {
		body = append(body, c[:min(chunkBytes, n-int64(len(body)))]...)
	}
	return body
}

// release returns the chunks and what they took from the budget.
func (b *bodyReader) release() {
	for _, c := range b.chunks {
		chunkPool.Put(c)
		b.budget.GiveBack(chunkBytes)
	}
}

// fill reads until buffer is full or r has ended.
func fill(r io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// discard reads a body without keeping it. It fails when the body exceeds the limit.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return errResponseTooLong
	}
	return err
}
