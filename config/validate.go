package config

import (
	"fmt"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// LargestBodyBytes is the largest value of MaxBodyBytes of a service.
const LargestBodyBytes = 16 << 20

// Bounds of single values. Values out of bounds are taken for mistakes in the unit.
const (
	maxLinkMs = 1000
	// maxDurationMs bounds deadlines, waiting and service times, and staleness.
	maxDurationMs   = 24 * 60 * 60 * 1000
	maxRememberMs   = 24 * 60 * 60 * 1000
	maxColdStartMs  = 60 * 60 * 1000
	maxTimingMs     = 60 * 1000
	maxTargetSlots  = 10000
	maxConnections  = 100000
	maxWeight       = 100
	maxVMs          = 1000
	maxRate         = 10_000_000
	maxExtraPercent = 50
	// minVMsForQuorum is the smallest number of VMs of which a majority remains when one fails.
	minVMsForQuorum = 3
	// probeConnections is the number of connections to a target that health checks need.
	probeConnections = 1
	// connectMs is the time to connect to a target. The targets of both example installations need 1 ms.
	connectMs = 1
	// takeoverLinkDelays is the number of one-way link delays that the messages of a takeover take: one confirmed write
	// to the store and one round trip to the quorum group.
	takeoverLinkDelays = 4
)

// validator checks answers whose defaults are set.
type validator struct {
	*settings.Checks
	a Answers
	// centres holds the answers about the data centres by name.
	centres map[types.DataCentre]DataCentreAnswer
	// transitMs is the longest time that one request and its answer spend on links and on connecting to the target.
	transitMs int64
	// longestLinkMs is the longest one-way delay between two data centres.
	longestLinkMs int64
}

// Validate reports all contradictions and impossible values at once, as settings.Problems. Each fault names the path of
// the answer and how to correct it.
func (a Answers) Validate() error {
	a = a.clone()
	a.Provision()
	v := &validator{Checks: newChecks(), a: a, centres: map[types.DataCentre]DataCentreAnswer{}}
	v.checkDataCentres()
	v.checkRecoveryTime()
	v.checkServices()
	return v.Err()
}

// checkDataCentres checks the answers about the installation and its data centres, and sets longestLinkMs and transitMs.
func (v *validator) checkDataCentres() {
	v.Require("team", v.a.Team)
	if len(v.a.DataCentres) == 0 {
		v.Fail("dataCentres", "needs at least one data centre")
	}
	names := map[types.DataCentre]bool{}
	for i, d := range v.a.DataCentres {
		path := settings.Index("dataCentres", i)
		checkUniqueName(v.Checks, path+".name", d.Name, names)
		if !validName(string(d.Region)) {
			v.Fail(path+".region", nameRule)
		}
		v.Between(path+".oneWayMs", d.OneWayMs, 0, maxLinkMs, "ms")
		v.Between(path+".callerMs", d.CallerMs, 0, maxLinkMs, "ms")
		v.Between(path+".vms", int64(d.VMs), 1, maxVMs, "VMs")
		v.centres[d.Name] = d
	}
	v.checkRegionDelay()
	v.longestLinkMs = v.a.longestLinkMs()
	v.transitMs = 2*v.a.longestCallerMs() + 2*v.longestLinkMs + connectMs
}

// checkRegionDelay checks that the delay between regions is given when there are several.
func (v *validator) checkRegionDelay() {
	v.Between("betweenRegionsMs", v.a.BetweenRegionsMs, 0, maxLinkMs, "ms")
	if n := v.a.regionCount(); n > 1 && v.a.BetweenRegionsMs == 0 {
		v.Fail("betweenRegionsMs", "there are %d regions; give the delay between them, deadlines must leave time for it", n)
	}
}

// checkRecoveryTime checks the required recovery time against the shortest duration of a takeover.
func (v *validator) checkRecoveryTime() {
	keyed := false
	for _, s := range v.a.Services {
		keyed = keyed || s.Keyed
	}
	o := defaultOwnership()
	least := o.SuspicionMs + o.PermitMs + o.GrantMs + o.MarginMs + takeoverLinkDelays*v.longestLinkMs
	if keyed && v.a.RecoverWithinMs < least {
		v.Fail("recoverWithinMs", "%d ms is too short: suspicion, permit, grant and margin take %d ms with a link delay of "+
			"%d ms; raise it to %d or more", v.a.RecoverWithinMs, least, v.longestLinkMs, least)
	}
	if v.a.RecoverWithinMs > maxTimingMs || !keyed {
		v.Between("recoverWithinMs", v.a.RecoverWithinMs, 1, maxTimingMs, "ms")
	}
}

// checkServices checks the answers about all services.
func (v *validator) checkServices() {
	if len(v.a.Services) == 0 {
		v.Fail("services", "needs at least one service")
	}
	names, addresses := map[types.Service]bool{}, map[string]string{}
	for i, s := range v.a.Services {
		sv := &serviceValidator{validator: v, s: s, path: settings.Index("services", i)}
		checkUniqueName(v.Checks, sv.at("name"), s.Name, names)
		sv.checkTargets(addresses)
		sv.checkCutOff()
		sv.checkTolerance()
		sv.checkRequests()
		sv.checkPeakCapacity()
	}
}

// serviceValidator checks one service.
type serviceValidator struct {
	*validator
	s ServiceAnswer
	// path of the service in the answers, for example services[1].
	path string
}

// at returns the path of a field of the service.
func (v *serviceValidator) at(name string) string { return settings.Join(v.path, name) }

// checkTargets checks the targets and the slot table. addresses maps the addresses of earlier targets to their paths.
func (v *serviceValidator) checkTargets(addresses map[string]string) {
	if len(v.s.Targets) == 0 {
		v.Fail(v.at("targets"), "needs at least one target")
	}
	names := map[types.Target]bool{}
	for i, t := range v.s.Targets {
		path := settings.Index(v.at("targets"), i)
		checkUniqueName(v.Checks, path+".name", t.Name, names)
		if _, known := v.centres[t.DataCentre]; !known {
			v.Fail(path+".dataCentre", "%q is none of the data centres; add it to dataCentres or correct the name", t.DataCentre)
		}
		checkAddress(v.Checks, path+".address", t.Address, addresses)
		v.checkTargetCapacity(path, t)
	}
	v.checkTableSlots(v.at("tableSlots"))
}

// checkTableSlots checks the size of the slot table.
func (v *serviceValidator) checkTableSlots(path string) {
	slots := valueOrZero(v.s.TableSlots)
	switch {
	case !v.s.Keyed && v.s.TableSlots != nil:
		v.Fail(path, "only a keyed service has a slot table; leave it out or set keyed to true")
	case v.s.Keyed && int(slots) < max(len(v.s.Targets), 1):
		v.Fail(path, "%d slots cannot be shared by %d targets; raise it to at least the number of targets", slots,
			len(v.s.Targets))
	case slots > maxTableSlots:
		v.Fail(path, "must be at most %d, not %d", maxTableSlots, slots)
	}
}

// checkTargetCapacity checks the limits of one target. A fault in a value that comes from TargetDefaults is reported
// once, at the path of the default.
func (v *serviceValidator) checkTargetCapacity(path string, t TargetAnswer) {
	slots, connections := path+".slots", path+".connections"
	if *t.Slots == v.s.Target.Slots {
		slots = v.at("target.slots")
	}
	if *t.Connections == v.s.Target.Connections {
		connections = v.at("target.connections")
	}
	n, conns := *t.Slots, *t.Connections
	v.failOnce(slots, rangeProblem(int64(n), 1, maxTargetSlots))
	v.failOnce(connections, rangeProblem(int64(conns), 1, maxConnections))
	if n >= 1 && conns >= 1 && conns < n+probeConnections {
		v.failOnce(connections, fmt.Sprintf("%d connections cannot carry %d requests at once and a health check; raise "+
			"connections to %d or lower slots to %d", conns, n, n+probeConnections, max(conns-probeConnections, 1)))
	}
	if !(t.Weight > 0 && t.Weight <= maxWeight) {
		v.Fail(path+".weight", "must be above 0 and at most %d, not %v", maxWeight, t.Weight)
	}
}

// failOnce reports why at path, unless why is empty or a fault was reported at path before.
func (v *serviceValidator) failOnce(path, why string) {
	if why == "" {
		return
	}
	for _, f := range v.Problems {
		if f.Path == path {
			return
		}
	}
	v.Fail(path, "%s", why)
}

// rangeProblem returns the message for a value that is not between low and high, or "".
func rangeProblem(value, low, high int64) string {
	if value >= low && value <= high {
		return ""
	}
	return fmt.Sprintf("must be from %d to %d, not %d", low, high, value)
}

// checkCutOff checks that the data centres and their VMs allow the cut-off policy.
func (v *serviceValidator) checkCutOff() {
	switch v.s.CutOff {
	case CutOffKeep:
		v.checkCutOffKeep()
	case CutOffMove:
		v.checkCutOffMove()
	default:
		v.Fail(v.at("cutOff"), "must be %s or %s, not %q", CutOffKeep, CutOffMove, v.s.CutOff)
	}
}

// checkCutOffKeep checks that each data centre with targets of the service has enough VMs to keep a quorum of its own
// when one of them fails.
func (v *serviceValidator) checkCutOffKeep() {
	if !v.s.Keyed {
		return
	}
	for _, d := range v.centresInUse() {
		if d.VMs >= 1 && d.VMs < minVMsForQuorum {
			v.Fail(v.at("cutOff"), "keep needs %d VMs in %s, which has %d: with fewer, the loss of one VM stops its keys "+
				"during a cut-off; add VMs or choose move", minVMsForQuorum, d.Name, d.VMs)
		}
	}
}

// checkCutOffMove checks that another data centre can take over the keys, and that a quorum across data centres can
// confirm a permit before it expires.
func (v *serviceValidator) checkCutOffMove() {
	if !v.s.Keyed {
		v.Fail(v.at("cutOff"), "move has no meaning for a service without keys; leave it out or set keyed to true")
		return
	}
	if in := v.centresInUse(); len(in) == 1 {
		v.Fail(v.at("cutOff"), "move needs targets in a second data centre: all are in %s; spread them or choose keep", in[0].Name)
	}
	total := 0
	for _, d := range v.a.DataCentres {
		total += d.VMs
	}
	if total < minVMsForQuorum {
		v.Fail(v.at("cutOff"), "move needs %d VMs in all, there are %d; add VMs", minVMsForQuorum, total)
	}
	permit := defaultOwnership().PermitMs
	if need := takeoverLinkDelays * v.longestLinkMs; need > permit {
		v.Fail(v.at("cutOff"), "move needs confirmations from other data centres within %d ms, but two round trips take %d ms "+
			"at a link delay of %d ms; choose keep", permit, need, v.longestLinkMs)
	}
}

// centresInUse returns the known data centres that hold targets of the service, in the order of the answers.
func (v *serviceValidator) centresInUse() []DataCentreAnswer {
	used := map[types.DataCentre]bool{}
	for _, t := range v.s.Targets {
		used[t.DataCentre] = true
	}
	var in []DataCentreAnswer
	for _, d := range v.a.DataCentres {
		if used[d.Name] {
			in = append(in, d)
			used[d.Name] = false
		}
	}
	return in
}
