package routing

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// maxSlots bounds a slot table, so that a damaged row cannot make the gateway allocate without limit.
const maxSlots = 1 << 20

// service is the routing state of one service.
type service struct {
	name  types.Service
	keyed bool
	// gone is true while the configuration does not list the service.
	gone bool

	slots  uint32
	owners []uint16 // index into targets or NoOwner
	epochs []types.Epoch
	hot    map[types.KeyHash]hotRow

	partRevisions map[types.Slot]types.Revision
	hotRevision   types.Revision
	// homes divides the identifiers of non-idempotent requests of a service without keys.
	homes          types.Homes
	leasesRevision types.Revision

	targets []target
	byName  map[types.Target]int32
	// local and remote list the targets that may be chosen freely, by data centre.
	local  []int32
	remote []int32

	latency    quantile
	budgets    budgets
	ejectShare float64
	waiting    waiting
}

type hotRow struct {
	owner uint16
	epoch types.Epoch
}

// target is the gateway's view of one target.
type target struct {
	name       types.Target
	dataCentre types.DataCentre
	weight     float64
	configured bool
	// outAt is when the target stops taking new work, or never.
	outAt types.Instant
	// unlistedAt is when the configuration stopped listing the target, or never.
	unlistedAt types.Instant

	leaseVM          types.VM
	leaseIncarnation types.Incarnation
	leaseEpoch       types.Epoch
	leaseActive      bool
	// vm is the index of the reachable dispatcher in the lease row, or none.
	vm int32

	outstanding  int32
	latency      latency
	failures     uint8
	ejections    uint8
	ejectedUntil types.Instant
}

func newService(name types.Service) *service {
	return &service{
		name: name, gone: true, hot: map[types.KeyHash]hotRow{}, partRevisions: map[types.Slot]types.Revision{},
		byName: map[types.Target]int32{}, latency: newQuantile(hedgeQuantile),
	}
}

// intern returns the index of the named target and adds it if it is new.
func (s *service) intern(name types.Target) int32 {
	if i, ok := s.byName[name]; ok {
		return i
	}
	i := s.vacant()
	if i == none {
		i = int32(len(s.targets))
		s.targets = append(s.targets, target{})
	}
	s.targets[i] = target{name: name, weight: 1, vm: none, outAt: never, unlistedAt: never}
	s.byName[name] = i
	return i
}

// vacant returns an entry that nothing refers to, or none. Reuse keeps memory bounded while targets are replaced.
func (s *service) vacant() int32 {
	for i := range s.targets {
		t := &s.targets[i]
		if t.configured || t.leaseActive || t.outstanding > 0 || t.unlistedAt == never {
			continue
		}
		if s.owns(uint16(i)) {
			continue
		}
		delete(s.byName, t.name)
		return int32(i)
	}
	return none
}

func (s *service) owns(i uint16) bool {
	for _, o := range s.owners {
		if o == i {
			return true
		}
	}
	for _, h := range s.hot {
		if h.owner == i {
			return true
		}
	}
	return false
}

// configure applies the service's part of a configuration.
func (s *service) configure(now types.Instant, c *config.Service) {
	s.gone = false
	s.keyed = c.Keyed
	s.ejectShare = c.Limits.EjectShare
	s.budgets.configure(c.Limits.RetryShare, c.Limits.HedgeShare)
	s.resize(c)
	for i := range s.targets {
		s.targets[i].configured = false
	}
	for i := range c.Targets {
		t := &s.targets[s.intern(c.Targets[i].Name)]
		t.configured = true
		t.unlistedAt = never
		t.dataCentre = c.Targets[i].DataCentre
		t.weight = max(c.Targets[i].Weight, minWeight)
	}
	s.unlist(now)
}

// minWeight keeps scores finite.
const minWeight = 1e-3

// unlist gives targets that the configuration no longer lists DrainGrace to hand over their keys.
func (s *service) unlist(now types.Instant) {
	for i := range s.targets {
		t := &s.targets[i]
		if !t.configured && t.unlistedAt == never {
			t.unlistedAt = now.Add(DrainGrace)
		}
	}
}

func (s *service) resize(c *config.Service) {
	if !c.Keyed {
		s.slots = 0
		return
	}
	s.slots = min(c.Slots, maxSlots)
	s.grow(int(s.slots))
}

// grow makes room for n slots. New slots have no owner.
func (s *service) grow(n int) {
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
	s.grow(int(end))
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
	if h.Revision < s.hotRevision {
		return false
	}
	s.hotRevision = h.Revision
	clear(s.hot)
	for _, r := range h.Rows {
		row := hotRow{owner: NoOwner, epoch: r.Epoch}
		if r.Owner != "" {
			row.owner = uint16(s.intern(r.Owner))
		}
		s.hot[r.Key] = row
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
	if len(s.hot) > 0 {
		if h, ok := s.hot[k]; ok {
			return h.owner, slot, h.epoch, ReasonHotKey
		}
	}
	if s.slots == 0 {
		return NoOwner, slot, 0, ReasonSlot
	}
	return s.owners[slot], slot, s.epochs[slot], ReasonSlot
}
