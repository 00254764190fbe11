package forward

import (
	"context"
	"sync/atomic"
	"time"
)

// shortInterval is how often a wait for a budget checks it again, besides when bytes are given back.
const shortInterval = 250 * time.Millisecond

// Budget bounds the memory that is held at the same time for one purpose. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	// OnShort, if set, is called each time that bytes can't be taken. It is set before the budget is used.
	OnShort func()

	size    int64
	left    atomic.Int64
	reserve int64
	// undeclared is the part for bodies of unknown length while they are read. What it takes is also taken from parent.
	undeclared *Budget
	parent     *Budget
	waiting    atomic.Int64
	// freed is closed and replaced when bytes are given back while a wait is in progress.
	freed atomic.Pointer[chan struct{}]
}

// undeclaredShare is the share of a budget for bodies of unknown length while they are read. They can't wait for room, so that
// endless ones would use up the budget.
const undeclaredShare = 4

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := newBudget(bytes, nil)
	b.undeclared = newBudget(bytes/undeclaredShare, b)
	return b
}

func newBudget(bytes int64, parent *Budget) *Budget {
	b := &Budget{size: bytes, reserve: bytes / 2, parent: parent}
	b.left.Store(bytes)
	freed := make(chan struct{})
	b.freed.Store(&freed)
	return b
}

// forUndeclared returns the part of the budget for bodies of unknown length while they are read.
func (b *Budget) forUndeclared() *Budget {
	if b == nil {
		return nil
	}
	return b.undeclared
}

// Take reports whether n bytes were left, and takes them.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	if b.left.Add(-n) >= 0 && b.parent.Take(n) {
		return true
	}
	b.left.Add(n)
	if b.OnShort != nil {
		b.OnShort()
	}
	return false
}

// Overdraw takes n bytes whether or not they are left. It is for small amounts that can't be refused any more.
func (b *Budget) Overdraw(n int64) {
	if b != nil {
		b.left.Add(-n)
	}
}

// Overdrawn reports whether the budget is used up and small amounts have taken half of it in addition.
func (b *Budget) Overdrawn() bool {
	if b == nil || b.left.Load() > -b.reserve {
		return false
	}
	if b.OnShort != nil {
		b.OnShort()
	}
	return true
}

// Wait takes n bytes as soon as they are left. It returns false if ctx ends before.
func (b *Budget) Wait(ctx context.Context, n int64) bool {
	if b.Take(n) {
		return true
	}
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	retry := time.NewTicker(shortInterval)
	defer retry.Stop()
	for {
		freed := *b.freed.Load()
		if b.Take(n) {
			return true
		}
		select {
		case <-freed:
		case <-retry.C:
		case <-ctx.Done():
			return false
		}
	}
}

// GiveBack returns n bytes that were taken.
func (b *Budget) GiveBack(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.left.Add(n)
	b.parent.GiveBack(n)
	if b.waiting.Load() > 0 {
		next := make(chan struct{})
		close(*b.freed.Swap(&next))
	}
}

// Size returns the number of bytes of the whole budget.
func (b *Budget) Size() int64 { return b.size }

// Left returns the number of bytes that are left. It is negative while small amounts overdraw the budget.
func (b *Budget) Left() int64 { return b.left.Load() }
