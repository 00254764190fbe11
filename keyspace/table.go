package keyspace

import (
	"cmp"
	"sort"

	"sequoiasail.example/types"
)

// Keys is the number of keys of a keyed service.
const Keys = 1 << 16

// Key is a key of a keyed service, from 0 to Keys-1.
type Key = uint16

// Owner is one incarnation of a target: one run of its process. The zero value means that the keys have no owner.
type Owner struct {
	Target types.Target
	// Incarnation is the Unix time at which the process started, in milliseconds.
	Incarnation int64
}

func compareOwners(a, b Owner) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Range is an interval of keys with one owner.
type Range struct {
	// From and To are both inclusive.
	From, To Key
	Owner    Owner
	// Fence is the fencing token of the owner's grant. A target refuses grants with a lower token than one that it
	// has seen.
	Fence types.Epoch
	// Handover is the warm-up data that the former owner returned with its release, for the new owner.
	Handover string
}

// Size returns the number of keys.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Table is the assignment of all keys of one service.
type Table struct {
	// NextFence is the fencing token that the next assignment gets. It is higher than all tokens assigned so far.
	NextFence types.Epoch
	// Writer identifies the write, so that a coordinator can tell whether a write without an answer took effect.
	Writer string
	// Ranges cover all keys, ordered by From.
	Ranges []Range
}

// Index returns the index of the range that holds k, or -1 when the table is empty.
func (t *Table) Index(k Key) int {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= k })
	if i == len(t.Ranges) || t.Ranges[i].From > k {
		return -1
	}
	return i
}

// Clone returns a copy that shares no memory with t.
func (t *Table) Clone() Table {
	c := *t
	c.Ranges = append([]Range(nil), t.Ranges...)
	return c
}

// Validate returns a CodeBadConfiguration fault unless the ranges cover all keys in order and all fences are below
// NextFence.
func (t *Table) Validate() error {
	next := 0
	for _, r := range t.Ranges {
		if int(r.From) != next || r.To < r.From {
			return types.NewFault(types.CodeBadConfiguration, "key range %d-%d does not follow key %d", r.From, r.To, next-1)
		}
		if r.Fence >= t.NextFence {
			return types.NewFault(types.CodeBadConfiguration, "fence %d of keys %d-%d is not below %d", r.Fence, r.From, r.To, t.NextFence)
		}
		next = int(r.To) + 1
	}
	if next != Keys {
		return types.NewFault(types.CodeBadConfiguration, "key ranges end at %d", next-1)
	}
	return nil
}

// split splits the range at index i so that the second part starts at key at.
func (t *Table) split(i int, at Key) {
	r := t.Ranges[i]
	t.Ranges = append(t.Ranges, Range{})
	copy(t.Ranges[i+1:], t.Ranges[i:])
	t.Ranges[i].To = at - 1
	t.Ranges[i+1] = r
	t.Ranges[i+1].From = at
}

// Assign sets the owner and the fencing token of the keys of r, and splits the ranges at its ends where needed.
func (t *Table) Assign(r Range) {
	i := t.Index(r.From)
	if i < 0 {
		return
	}
	if t.Ranges[i].From < r.From {
		t.split(i, r.From)
		i++
	}
	for i < len(t.Ranges) && t.Ranges[i].From <= r.To {
		if t.Ranges[i].To > r.To {
			t.split(i, r.To+1)
		}
		t.Ranges[i].Owner, t.Ranges[i].Fence, t.Ranges[i].Handover = r.Owner, r.Fence, ""
		i++
	}
}
