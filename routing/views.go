package routing

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// views is what the gateway knows of dispatchers, data centres and operators' actions.
type views struct {
	configured   bool
	version      types.Version
	membersAt    types.Revision
	operationsAt types.Revision

	vms     []vm
	byVM    map[types.VM]int32
	centres map[types.DataCentre]types.Instant // when each stops taking new work
	targets map[types.TargetID]types.Instant
}

// vm is the gateway's view of one dispatcher.
type vm struct {
	name        types.VM
	member      bool
	incarnation types.Incarnation
	linkUp      bool
	outAt       types.Instant
}

func newViews() views {
	return views{
		byVM: map[types.VM]int32{}, centres: map[types.DataCentre]types.Instant{},
		targets: map[types.TargetID]types.Instant{},
	}
}

// intern returns the index of the named dispatcher and adds it if it is new.
func (v *views) intern(name types.VM) int32 {
	if i, ok := v.byVM[name]; ok {
		return i
	}
	i := v.vacant()
	if i == none {
		i = int32(len(v.vms))
		v.vms = append(v.vms, vm{})
	}
	v.vms[i] = vm{name: name, outAt: never}
	v.byVM[name] = i
	return i
}

// vacant returns the entry of a dispatcher that has left, or none. Reuse keeps memory bounded while VMs are replaced.
// A Cancel of an attempt at the former dispatcher may then name the new one, which does not know the request.
func (v *views) vacant() int32 {
	for i := range v.vms {
		d := &v.vms[i]
		if d.member || d.linkUp || d.outAt != never {
			continue
		}
		delete(v.byVM, d.name)
		return int32(i)
	}
	return none
}

// reachable returns the index of a dispatcher that can be called, or none. A lease of an earlier run of the
// dispatcher is not usable.
func (v *views) reachable(name types.VM, incarnation types.Incarnation) int32 {
	i, ok := v.byVM[name]
	if !ok || !v.vms[i].linkUp {
		return none
	}
	if v.vms[i].member && v.vms[i].incarnation != incarnation {
		return none
	}
	return i
}

func (v *views) setLink(name types.VM, up bool) { v.vms[v.intern(name)].linkUp = up }

func (v *views) installMembers(m *Members) bool {
	if m.Revision < v.membersAt {
		return false
	}
	v.membersAt = m.Revision
	for i := range v.vms {
		v.vms[i].member = false
	}
	for _, r := range m.Rows {
		d := &v.vms[v.intern(r.VM)]
		d.member = true
		d.incarnation = r.Incarnation
	}
	return true
}

func (v *views) installOperations(now types.Instant, o *Operations) bool {
	if o.Revision < v.operationsAt {
		return false
	}
	v.operationsAt = o.Revision
	centres := make(map[types.DataCentre]types.Instant, len(o.DataCentres))
	for _, r := range o.DataCentres {
		centres[r.DataCentre] = outAt(now, r.State, known(v.centres, r.DataCentre))
	}
	v.centres = centres
	targets := make(map[types.TargetID]types.Instant, len(o.Targets))
	for _, r := range o.Targets {
		targets[r.Target] = outAt(now, r.State, known(v.targets, r.Target))
	}
	v.targets = targets
	v.installVMs(now, o.VMs)
	return true
}

func (v *views) installVMs(now types.Instant, rows []VMState) {
	states := make(map[types.VM]types.Instant, len(rows))
	for _, r := range rows {
		i := v.intern(r.VM)
		states[r.VM] = outAt(now, r.State, v.vms[i].outAt)
		v.vms[i].outAt = states[r.VM]
	}
	for i := range v.vms {
		v.vms[i].outAt = known(states, v.vms[i].name)
	}
}

// known returns the recorded time, or never.
func known[K comparable](m map[K]types.Instant, k K) types.Instant {
	if at, ok := m[k]; ok {
		return at
	}
	return never
}

// outAt returns when something in the given state stops taking new work. A drain that is already under way keeps its
// end.
func outAt(now types.Instant, s State, before types.Instant) types.Instant {
	switch s {
	case StateIn:
		return never
	case StateDraining:
		return min(before, now.Add(DrainGrace))
	}
	return min(before, now)
}

// install applies a control message and routes the held requests that it concerns.
func (c *Core) install(now types.Instant, m *Message, out []Action) []Action {
	switch m.Kind {
	case KindTable:
		s := c.service(m.Table.Service)
		return c.installed(now, s, s.installTable(m.Table), out)
	case KindHotKeys:
		s := c.service(m.HotKeys.Service)
		return c.installed(now, s, s.installHotKeys(m.HotKeys), out)
	case KindLeases:
		s := c.service(m.Leases.Service)
		return c.installed(now, s, s.installLeases(m.Leases), out)
	case KindConfiguration:
		return c.installedAll(now, c.installConfiguration(now, m.Configuration), out)
	case KindMembers:
		return c.installedAll(now, c.views.installMembers(m.Members), out)
	case KindOperations:
		return c.installedAll(now, c.views.installOperations(now, m.Operations), out)
	case KindLinkUp, KindLinkDown:
		c.views.setLink(m.VM, m.Kind == KindLinkUp)
		return c.installedAll(now, true, out)
	}
	return out
}

func (c *Core) service(name types.Service) *service {
	s := c.services[name]
	if s == nil {
		s = newService(name)
		c.services[name] = s
	}
	return s
}

func (c *Core) installConfiguration(now types.Instant, conf *config.Configuration) bool {
	if conf.Version < c.views.version {
		return false
	}
	c.views.version = conf.Version
	c.views.configured = true
	for _, s := range c.services {
		s.gone = true
	}
	for i := range conf.Services {
		c.service(conf.Services[i].Name).configure(now, &conf.Services[i])
	}
	return true
}

func (c *Core) installedAll(now types.Instant, ok bool, out []Action) []Action {
	if !ok {
		return note(out, Decision{Reason: ReasonOutdated})
	}
	for _, name := range c.sortedServices() {
		out = c.installed(now, c.services[name], true, out)
	}
	return out
}

func (c *Core) installed(now types.Instant, s *service, ok bool, out []Action) []Action {
	if !ok {
		return note(out, Decision{Target: types.TargetID{Service: s.name}, Reason: ReasonOutdated})
	}
	c.refresh(s)
	// Routing a held request only ever removes it, and removal moves the last entry, which was visited before.
	for i := len(s.waiting.ids) - 1; i >= 0; i-- {
		out = c.route(now, s.waiting.ids[i], out)
	}
	return out
}

// refresh derives each target's dispatcher and end of service, and the lists of freely chosen targets.
func (c *Core) refresh(s *service) {
	s.local = s.local[:0]
	s.remote = s.remote[:0]
	for i := range s.targets {
		t := &s.targets[i]
		t.vm = none
		if t.leaseActive {
			t.vm = c.views.reachable(t.leaseVM, t.leaseIncarnation)
		}
		id := types.TargetID{Service: s.name, Target: t.name}
		t.outAt = min(known(c.views.centres, t.dataCentre), known(c.views.targets, id), t.unlistedAt)
		if t.vm == none || t.outAt != never || !t.configured {
			continue
		}
		if t.dataCentre == c.options.DataCentre {
			s.local = append(s.local, int32(i))
		} else {
			s.remote = append(s.remote, int32(i))
		}
	}
}
