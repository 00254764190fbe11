package routing

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// cluster holds the dispatchers, their links, and what operators drain or took out of service.
type cluster struct {
	configured         bool
	configVersion      types.Version
	membersRevision    types.Revision
	operationsRevision types.Revision

	dispatchers []dispatcher
	byVM        map[types.VM]int32
	dataCentres map[types.DataCentre]types.Instant // when each stops taking new work
	targets     map[types.TargetID]types.Instant   // likewise for targets
}

// dispatcher is the state of one dispatcher as the gateway sees it.
type dispatcher struct {
	name        types.VM
	member      bool // listed in the latest Members
	incarnation types.Incarnation
	linkUp      bool
	outAt       types.Instant // when it stops taking new work, or never
}

func newCluster() cluster {
	return cluster{
		byVM: map[types.VM]int32{}, dataCentres: map[types.DataCentre]types.Instant{},
		targets: map[types.TargetID]types.Instant{},
	}
}

// intern returns the index of the named dispatcher and adds it if it is new.
func (v *cluster) intern(name types.VM) int32 {
	if i, ok := v.byVM[name]; ok {
		return i
	}
	i := v.reclaim()
	if i == noIndex {
		i = int32(len(v.dispatchers))
		v.dispatchers = append(v.dispatchers, dispatcher{})
	}
	v.dispatchers[i] = dispatcher{name: name, outAt: never}
	v.byVM[name] = i
	return i
}

// reclaim removes a dispatcher that has left and returns its index for reuse, or noIndex. Reuse bounds the memory while
// VMs are replaced. A Cancel of an attempt at the former dispatcher may then name the new one, which does not know the
// request.
func (v *cluster) reclaim() int32 {
	for i := range v.dispatchers {
		d := &v.dispatchers[i]
		if d.member || d.linkUp || d.outAt != never {
			continue
		}
		delete(v.byVM, d.name)
		return int32(i)
	}
	return noIndex
}

// reachable returns the index of a dispatcher that can be called, or noIndex. A lease held by an earlier incarnation
// of the dispatcher cannot be used.
func (v *cluster) reachable(name types.VM, incarnation types.Incarnation) int32 {
	i, ok := v.byVM[name]
	if !ok || !v.dispatchers[i].linkUp {
		return noIndex
	}
	if v.dispatchers[i].member && v.dispatchers[i].incarnation != incarnation {
		return noIndex
	}
	return i
}

func (v *cluster) setLink(name types.VM, up bool) { v.dispatchers[v.intern(name)].linkUp = up }

func (v *cluster) installMembers(m *Members) bool {
	if m.Revision < v.membersRevision {
		return false
	}
	v.membersRevision = m.Revision
	for i := range v.dispatchers {
		v.dispatchers[i].member = false
	}
	for _, r := range m.Rows {
		d := &v.dispatchers[v.intern(r.VM)]
		d.member = true
		d.incarnation = r.Incarnation
	}
	return true
}

func (v *cluster) installOperations(now types.Instant, o *Operations) bool {
	if o.Revision < v.operationsRevision {
		return false
	}
	v.operationsRevision = o.Revision
	dataCentres := make(map[types.DataCentre]types.Instant, len(o.DataCentres))
	for _, r := range o.DataCentres {
		dataCentres[r.DataCentre] = outAt(now, r.State, instantOrNever(v.dataCentres, r.DataCentre))
	}
	v.dataCentres = dataCentres
	targets := make(map[types.TargetID]types.Instant, len(o.Targets))
	for _, r := range o.Targets {
		targets[r.Target] = outAt(now, r.State, instantOrNever(v.targets, r.Target))
	}
	v.targets = targets
	v.installVMs(now, o.VMs)
	return true
}

func (v *cluster) installVMs(now types.Instant, rows []VMState) {
	states := make(map[types.VM]types.Instant, len(rows))
	for _, r := range rows {
		i := v.intern(r.VM)
		states[r.VM] = outAt(now, r.State, v.dispatchers[i].outAt)
		v.dispatchers[i].outAt = states[r.VM]
	}
	for i := range v.dispatchers {
		v.dispatchers[i].outAt = instantOrNever(states, v.dispatchers[i].name)
	}
}

// instantOrNever returns the time recorded for k, or never.
func instantOrNever[K comparable](m map[K]types.Instant, k K) types.Instant {
	if at, ok := m[k]; ok {
		return at
	}
	return never
}

// outAt returns when something in the given state stops taking new work. before is the time recorded so far:
// a repeated drain does not extend the first one.
func outAt(now types.Instant, s State, before types.Instant) types.Instant {
	switch s {
	case StateInService:
		return never
	case StateDraining:
		return min(before, now.Add(DrainGrace))
	}
	return min(before, now)
}

// install applies a message that changes routing state, and routes the held requests of the services it concerns.
func (c *Core) install(now types.Instant, m *Message, out []Action) []Action {
	switch m.Kind {
	case KindTable:
		s := c.service(m.Table.Service)
		return c.afterInstall(now, s, s.installTable(m.Table), out)
	case KindHotKeys:
		s := c.service(m.HotKeys.Service)
		return c.afterInstall(now, s, s.installHotKeys(m.HotKeys), out)
	case KindLeases:
		s := c.service(m.Leases.Service)
		return c.afterInstall(now, s, s.installLeases(m.Leases), out)
	case KindConfiguration:
		return c.afterInstallAll(now, c.installConfiguration(now, m.Configuration), out)
	case KindMembers:
		return c.afterInstallAll(now, c.cluster.installMembers(m.Members), out)
	case KindOperations:
		return c.afterInstallAll(now, c.cluster.installOperations(now, m.Operations), out)
	case KindLinkUp, KindLinkDown:
		c.cluster.setLink(m.VM, m.Kind == KindLinkUp)
		return c.afterInstallAll(now, true, out)
	}
	return out
}

// service returns the state of a service and adds it, unlisted, if it is new.
func (c *Core) service(name types.Service) *service {
	s := c.services[name]
	if s == nil {
		s = newService(name)
		c.services[name] = s
	}
	return s
}

func (c *Core) installConfiguration(now types.Instant, conf *config.Configuration) bool {
	if conf.Version < c.cluster.configVersion {
		return false
	}
	c.cluster.configVersion = conf.Version
	c.cluster.configured = true
	for _, s := range c.services {
		s.unlisted = true
	}
	for i := range conf.Services {
		c.service(conf.Services[i].Name).configure(now, &conf.Services[i])
	}
	return true
}

// afterInstallAll is afterInstall for a message that concerns all services.
func (c *Core) afterInstallAll(now types.Instant, ok bool, out []Action) []Action {
	if !ok {
		return appendDecision(out, Decision{Reason: ReasonOutdated})
	}
	for _, name := range c.sortedServices() {
		out = c.afterInstall(now, c.services[name], true, out)
	}
	return out
}

// afterInstall refreshes the targets of a service after a change and routes its held requests. ok is false when the
// message was outdated and changed nothing.
func (c *Core) afterInstall(now types.Instant, s *service, ok bool, out []Action) []Action {
	if !ok {
		return appendDecision(out, Decision{Target: types.TargetID{Service: s.name}, Reason: ReasonOutdated})
	}
	c.refreshTargets(s)
	// Routing a held request at most removes it from the list, and removal moves the last entry into its place, which
	// was visited before.
	for i := len(s.waitList.ids) - 1; i >= 0; i-- {
		out = c.route(now, s.waitList.ids[i], out)
	}
	return out
}

// refreshTargets recomputes the dispatcher and outAt of each target, and the lists of targets that may be chosen.
func (c *Core) refreshTargets(s *service) {
	s.local = s.local[:0]
	s.remote = s.remote[:0]
	for i := range s.targets {
		t := &s.targets[i]
		t.vm = noIndex
		if t.leaseActive {
			t.vm = c.cluster.reachable(t.leaseVM, t.leaseIncarnation)
		}
		id := types.TargetID{Service: s.name, Target: t.name}
		t.outAt = min(instantOrNever(c.cluster.dataCentres, t.dataCentre), instantOrNever(c.cluster.targets, id), t.unlistedOutAt)
		if t.vm == noIndex || t.outAt != never || !t.configured {
			continue
		}
		if t.dataCentre == c.options.DataCentre {
			s.local = append(s.local, int32(i))
		} else {
			s.remote = append(s.remote, int32(i))
		}
	}
}
