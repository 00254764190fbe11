package routing

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// maxSlots bounds a slot table, so that a corrupt row cannot make the gateway allocate without limit.
const maxSlots = 1 << 20

// service is the routing state of one service.
type service struct {
	name  types.Service
	keyed bool
	// unlisted is true while the configuration does not list the service.
	unlisted bool

	slots   uint32                      // number of configured slots, 0 without keys
	owners  []uint16                    // index into targets or NoOwner
	epochs  []types.Epoch               // of the slot rows
	hotKeys map[types.KeyHash]hotKeyRow // rows that take precedence over slots

	partRevisions   map[types.Slot]types.Revision // by Table.FirstSlot
	hotKeysRevision types.Revision
	// homes assigns identifiers of non-idempotent requests to targets of a service without keys.
	homes          types.Homes
	leasesRevision types.Revision

	targets []target
	byName  map[types.Target]int32 // index into targets
	// local and remote list the targets in service that have a reachable dispatcher, in the gateway's data centre and
	// in others.
	local  []int32
	remote []int32

	latency         quantileEstimate // of all targets, for the hedge delay
	budgets         budgets
	maxEjectedShare float64  // share of targets that may be ejected at once
	waitList        waitList // held requests
}

// hotKeyRow is the owner row of a hot key. owner is an index into service.targets or NoOwner.
type hotKeyRow struct {
	owner uint16
	epoch types.Epoch
}

// target is the routing state of one target.
type target struct {
	name       types.Target
	dataCentre types.DataCentre
	weight     float64
	configured bool // listed in the configuration
	// outAt is when the target stops taking new work, or never.
	outAt types.Instant
	// unlistedOutAt is when a target that the configuration no longer lists stops taking new work, or never.
	unlistedOutAt types.Instant

	leaseVM          types.VM
	leaseIncarnation types.Incarnation
	leaseEpoch       types.Epoch
	leaseActive      bool
	// vm is the index of the dispatcher that the lease row names, or noIndex if it cannot be reached.
	vm int32

	outstanding  int32 // attempts in progress
	latency      latency
	failures     uint8 // in a row, up to ejectFailures
	ejections    uint8 // since the last success, up to ejectDoublings
	ejectedUntil types.Instant
}

func newService(name types.Service) *service {
	return &service{
		name: name, unlisted: true, hotKeys: map[types.KeyHash]hotKeyRow{}, partRevisions: map[types.Slot]types.Revision{},
		byName: map[types.Target]int32{}, latency: newQuantileEstimate(hedgeQuantile),
	}
}

// intern returns the index of the named target and adds it if it is new.
func (s *service) intern(name types.Target) int32 {
	if i, ok := s.byName[name]; ok {
		return i
	}
	i := s.reclaim()
	if i == noIndex {
		i = int32(len(s.targets))
		s.targets = append(s.targets, target{})
	}
	s.targets[i] = target{name: name, weight: 1, vm: noIndex, outAt: never, unlistedOutAt: never}
	s.byName[name] = i
	return i
}

// reclaim removes a target that nothing refers to and returns its index for reuse, or noIndex. Reuse bounds the memory
// while targets are replaced.
func (s *service) reclaim() int32 {
	for i := range s.targets {
		t := &s.targets[i]
		if t.configured || t.leaseActive || t.outstanding > 0 || t.unlistedOutAt == never {
			continue
		}
		if s.isOwner(uint16(i)) {
			continue
		}
		delete(s.byName, t.name)
		return int32(i)
	}
	return noIndex
}

// isOwner reports whether target i owns a slot or a hot key.
func (s *service) isOwner(i uint16) bool {
	for _, o := range s.owners {
		if o == i {
			return true
		}
	}
	for _, h := range s.hotKeys {
		if h.owner == i {
			return true
		}
	}
	return false
}

// configure applies the service's part of a configuration.
func (s *service) configure(now types.Instant, c *config.Service) {
	s.unlisted = false
	s.keyed = c.Keyed
	s.maxEjectedShare = c.Limits.EjectShare
	s.budgets.configure(c.Limits.RetryShare, c.Limits.HedgeShare)
	s.resizeSlots(c)
	for i := range s.targets {
		s.targets[i].configured = false
	}
	for i := range c.Targets {
		t := &s.targets[s.intern(c.Targets[i].Name)]
		t.configured = true
		t.unlistedOutAt = never
		t.dataCentre = c.Targets[i].DataCentre
		t.weight = max(c.Targets[i].Weight, minWeight)
	}
	s.markUnlisted(now)
}

// minWeight replaces smaller weights, so that scores stay finite.
const minWeight = 1e-3

// markUnlisted gives targets that the configuration no longer lists DrainGrace to hand their keys over.
func (s *service) markUnlisted(now types.Instant) {
	for i := range s.targets {
		t := &s.targets[i]
		if !t.configured && t.unlistedOutAt == never {
			t.unlistedOutAt = now.Add(DrainGrace)
		}
	}
}

func (s *service) resizeSlots(c *config.Service) {
	if !c.Keyed {
		s.slots = 0
		return
	}
	s.slots = min(c.Slots, maxSlots)
	s.growSlots(int(s.slots))
}

// growSlots extends the slot table to n slots. New slots have no owner.
func (s *service) growSlots(n int) {
	for len(s.owners) < n {
		s.owners = append(s.owners, NoOwner)
	}
	if len(s.epochs) < n {
		s.epochs = append(s.epochs, make([]types.Epoch, n-len(s.epochs))...)
	}
}

// installTable applies one part of the slot table. It returns false for a part that is older than the installed one
// or malformed.
func (s *service) installTable(t *Table) bool {
	end := uint64(t.FirstSlot) + uint64(len(t.Owners))
	if len(t.Owners) != len(t.Epochs) || end > maxSlots {
		return false
	}
	if t.Revision < s.partRevisions[t.FirstSlot] {
		return false
	}
	s.partRevisions[t.FirstSlot] = t.Revision
	s.growSlots(int(end))
	index := make([]uint16, len(t.Targets))
	for i, name := range t.Targets {
		index[i] = uint16(s.intern(name))
	}
	for i, o := range t.Owners {
		slot := int(t.FirstSlot) + i
		s.owners[slot] = NoOwner
		if int(o) < len(index) {
			s.owners[slot] = index[o]
		}
		s.epochs[slot] = t.Epochs[i]
	}
	return true
}

// installHotKeys replaces the hot-key rows. It returns false for rows older than the installed ones.
func (s *service) installHotKeys(h *HotKeys) bool {
	if h.Revision < s.hotKeysRevision {
		return false
	}
	s.hotKeysRevision = h.Revision
	clear(s.hotKeys)
	for _, r := range h.Rows {
		row := hotKeyRow{owner: NoOwner, epoch: r.Epoch}
		if r.Owner != "" {
			row.owner = uint16(s.intern(r.Owner))
		}
		s.hotKeys[r.Key] = row
	}
	return true
}

// installLeases replaces the target lease rows. It returns false for rows older than the installed ones.
func (s *service) installLeases(l *Leases) bool {
	if l.Revision < s.leasesRevision {
		return false
	}
	s.leasesRevision = l.Revision
	for i := range s.targets {
		s.targets[i].leaseActive = false
	}
	var homes []types.Target
	for _, r := range l.Rows {
		if r.Home {
			homes = append(homes, r.Target)
		}
		t := &s.targets[s.intern(r.Target)]
		t.leaseVM = r.VM
		t.leaseIncarnation = r.Incarnation
		t.leaseEpoch = r.Epoch
		t.leaseActive = r.Active
	}
	s.homes = types.NewHomes(homes)
	return true
}

// lookup returns the owner row of a key.
func (s *service) lookup(k types.KeyHash) (owner uint16, slot types.Slot, epoch types.Epoch, reason Reason) {
	slot = types.SlotOf(k, s.slots)
	if len(s.hotKeys) > 0 {
		if h, ok := s.hotKeys[k]; ok {
			return h.owner, slot, h.epoch, ReasonHotKey
		}
	}
	if s.slots == 0 {
		return NoOwner, slot, 0, ReasonSlot
	}
	return s.owners[slot], slot, s.epochs[slot], ReasonSlot
}
