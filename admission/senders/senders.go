// Package senders decides which service may use the senders of a VM. Each sender performs one exchange with a target at a time.
//
// A service may hold at most shareFactor times as many senders as are free. So a service whose targets don't answer leaves some
// to the other services, and the senders that a service leaves unused are not reserved for it.
package senders

import "sequoiasail.example/types"

// shareFactor lets a service hold four fifths of the senders while no other one holds any. Two services whose targets don't answer
// then hold four ninths each, and a ninth is left.
const shareFactor = 4

// Shares counts the senders that each service holds.
type Shares struct {
	total, used int
	byService   map[types.Service]int
}

// New returns the shares of total senders. With 0 there is no limit.
func New(total int) *Shares {
	return &Shares{total: total, byService: make(map[types.Service]int)}
}

// Free reports whether any sender is free.
func (s *Shares) Free() bool { return s.total == 0 || s.used < s.total }

// spareShare is the share of the senders that must be free for requests that are sent without need.
const spareShare = 0.25

// Spare reports whether so many senders are free that some may be used for second sends.
func (s *Shares) Spare() bool {
	return s.total == 0 || float64(s.total-s.used) > spareShare*float64(s.total)
}

// Total returns the number of senders.
func (s *Shares) Total() int { return s.total }

// Allows reports whether a service may take one more sender.
func (s *Shares) Allows(name types.Service) bool {
	return s.total == 0 || (s.Free() && s.byService[name] < shareFactor*(s.total-s.used))
}

// Take counts one more sender as held by a service.
func (s *Shares) Take(name types.Service) {
	s.used++
	s.byService[name]++
}

// Release counts one sender less.
func (s *Shares) Release(name types.Service) {
	s.used--
	if s.byService[name]--; s.byService[name] == 0 {
		delete(s.byService, name)
	}
}
