package config

import (
	"cmp"
	"regexp"
	"slices"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// MaxConfigurationBytes is the size limit of a canonical configuration: the store's values are at most 1 MiB, and a
// history record adds a few hundred bytes.
const MaxConfigurationBytes = 1<<20 - 4096

// maxTableSlots bounds the size of a slot table. It is the number of slots of the largest installation that the system is
// designed for.
const maxTableSlots = 65536

// namePattern matches valid names. The JSON Schema of the answers contains it too.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// validName reports whether s may name a data centre, VM, service or target. Names are parts of store keys and of
// paths, so they hold no slash, dot or space.
func validName(s string) bool { return namePattern.MatchString(s) }

// nameRule is the error message for a name that validName rejects.
const nameRule = "must be 1 to 63 lower-case letters, digits and inner hyphens"

// Canonical returns the canonical bytes of c: JSON without white space, lists ordered by name. Equal configurations
// have equal bytes on every machine. Every process reads them with each version, so they carry no indentation; see
// Indented for display.
func Canonical(c Configuration) []byte { return compactJSON(normalize(c)) }

// Indented returns the canonical form with line breaks and indentation.
func Indented(c Configuration) []byte { return indentedJSON(normalize(c)) }

// Parse decodes and checks a stored configuration. It returns settings.Problems. A configuration that breaks any rule
// is refused as a whole, so that a process keeps the one it has.
func Parse(data []byte) (Configuration, error) {
	var c Configuration
	if err := decodeAndValidate(data, &c); err != nil {
		return Configuration{}, err
	}
	return c, nil
}

// Validate reports the faults of a stored configuration as settings.Problems.
func (c Configuration) Validate() error {
	checks := newChecks()
	checkConfiguration(checks, "", c)
	return checks.Err()
}

// newChecks returns a collector of faults with code bad-configuration.
func newChecks() *settings.Checks { return &settings.Checks{Code: types.CodeBadConfiguration} }

// decodeAndValidate decodes data into a value, sets its defaults and validates it. Faults have code bad-configuration.
func decodeAndValidate(data []byte, into any) error {
	return settings.LoadAs(types.CodeBadConfiguration, data, into)
}

// normalize returns a copy of c with all lists ordered and non-nil, so that an empty list is encoded as [] and not null.
func normalize(c Configuration) Configuration {
	c.DataCentres = sorted(c.DataCentres, func(d DataCentre) string { return string(d.Name) })
	c.Services = sorted(c.Services, func(s Service) string { return string(s.Name) })
	for i, s := range c.Services {
		c.Services[i].Targets = sorted(s.Targets, func(t Target) string { return string(t.Name) })
		c.Services[i].Classes = sorted(s.Classes, func(p ClassPolicy) string { return p.Class })
	}
	return c
}

// sorted returns a copy of list ordered by key. The copy is never nil.
func sorted[T any](list []T, key func(T) string) []T {
	out := append([]T{}, list...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// checkConfiguration reports the faults of v. The paths of the faults start with path.
func checkConfiguration(c *settings.Checks, path string, v Configuration) {
	at := func(name string) string { return settings.Join(path, name) }
	if v.Version == 0 {
		c.Fail(at("version"), "must be at least 1")
	}
	centres := map[types.DataCentre]bool{}
	if len(v.DataCentres) == 0 {
		c.Fail(at("dataCentres"), "needs at least one data centre")
	}
	for i, d := range v.DataCentres {
		checkDataCentre(c, settings.Index(at("dataCentres"), i), d, centres)
	}
	names, addresses := map[types.Service]bool{}, map[string]string{}
	if len(v.Services) == 0 {
		c.Fail(at("services"), "needs at least one service")
	}
	for i, s := range v.Services {
		s.check(c, settings.Index(at("services"), i), centres, names, addresses)
	}
	v.Ownership.check(c, at("ownership"))
}

// checkDataCentre reports the faults of d. seen holds the names of the earlier data centres, and d's name is added.
func checkDataCentre(c *settings.Checks, path string, d DataCentre, seen map[types.DataCentre]bool) {
	checkUniqueName(c, settings.Join(path, "name"), d.Name, seen)
	if !validName(string(d.Region)) {
		c.Fail(settings.Join(path, "region"), nameRule)
	}
	c.Between(settings.Join(path, "oneWayMs"), d.OneWayMs, 0, maxLinkMs, "ms")
}

// checkUniqueName reports a name that is invalid or in seen, and adds a valid name to seen.
func checkUniqueName[N ~string](c *settings.Checks, path string, name N, seen map[N]bool) {
	if !validName(string(name)) {
		c.Fail(path, nameRule)
		return
	}
	if seen[name] {
		c.Fail(path, "%q is given twice; rename or remove one", name)
	}
	seen[name] = true
}

// check reports the faults of s. centres holds the known data centres; names and addresses hold those of the earlier
// services, and s adds its own.
func (s Service) check(
	c *settings.Checks, path string, centres map[types.DataCentre]bool, names map[types.Service]bool,
	addresses map[string]string,
) {
	at := func(name string) string { return settings.Join(path, name) }
	checkUniqueName(c, at("name"), s.Name, names)
	if s.Keyed {
		c.Between(at("slots"), int64(s.Slots), int64(max(len(s.Targets), 1)), maxTableSlots, "")
	} else if s.Slots != 0 {
		c.Fail(at("slots"), "must be left out: only a keyed service has a slot table")
	}
	if s.Scope != ScopeDataCentre && s.Scope != ScopeAll {
		c.Fail(at("scope"), "must be %s or %s, not %q", ScopeDataCentre, ScopeAll, s.Scope)
	}
	if len(s.Targets) == 0 {
		c.Fail(at("targets"), "needs at least one target")
	}
	targets := map[types.Target]bool{}
	for i, t := range s.Targets {
		t.check(c, settings.Index(at("targets"), i), centres, targets, addresses)
	}
	s.checkClasses(c, at)
	s.Limits.check(c, at("limits"))
}

// checkClasses reports the faults of the request classes and of the write class.
func (s Service) checkClasses(c *settings.Checks, at func(string) string) {
	if len(s.Classes) == 0 {
		c.Fail(at("classes"), "needs at least one class")
	}
	seen := map[string]bool{}
	for i, p := range s.Classes {
		p.check(c, settings.Index(at("classes"), i), seen)
	}
	if s.WriteClass != "" && !seen[s.WriteClass] {
		c.Fail(at("writeClass"), "%q is not among the classes", s.WriteClass)
	}
	if s.WriteClass == types.ClassLookup.String() {
		c.Fail(at("writeClass"), "must be order or confirmation: requests other than GET and HEAD may not run twice")
	}
}

// check reports the faults of t. centres holds the known data centres; names and addresses hold those of the earlier
// targets, and t adds its own.
func (t Target) check(
	c *settings.Checks, path string, centres map[types.DataCentre]bool, names map[types.Target]bool,
	addresses map[string]string,
) {
	at := func(name string) string { return settings.Join(path, name) }
	checkUniqueName(c, at("name"), t.Name, names)
	if !centres[t.DataCentre] {
		c.Fail(at("dataCentre"), "%q is none of the data centres", t.DataCentre)
	}
	checkAddress(c, at("address"), t.Address, addresses)
	c.Between(at("slots"), int64(t.Slots), 1, maxTargetSlots, "")
	c.Between(at("connections"), int64(t.Connections), int64(t.Slots)+probeConnections, maxConnections, "")
	if !(t.Weight > 0 && t.Weight <= maxWeight) {
		c.Fail(at("weight"), "must be above 0 and at most %d, not %v", maxWeight, t.Weight)
	}
}

// checkAddress reports an address that is not an IP number and a port, or that another target has. seen maps the
// addresses of the earlier targets to their paths.
func checkAddress(c *settings.Checks, path, address string, seen map[string]string) {
	if why := settings.Address(address).Check(); why != "" {
		c.Fail(path, "%s", why)
		return
	}
	if other, taken := seen[address]; taken {
		c.Fail(path, "%s is also the address at %s; give each target its own", address, other)
		return
	}
	seen[address] = path
}

// check reports the faults of p. seen holds the earlier classes of the service, and p's class is added.
func (p ClassPolicy) check(c *settings.Checks, path string, seen map[string]bool) {
	at := func(name string) string { return settings.Join(path, name) }
	class, err := types.ParseClass(p.Class)
	if err != nil {
		c.Fail(at("class"), "must be lookup, order or confirmation, not %q", p.Class)
	}
	if seen[p.Class] {
		c.Fail(at("class"), "%q is given twice", p.Class)
	}
	seen[p.Class] = true
	c.Between(at("timeoutMs"), p.TimeoutMs, 1, maxDurationMs, "ms")
	c.Between(at("queueLimit"), int64(p.QueueLimit), 1, maxQueueLimit, "")
	low := int64(0)
	if err == nil && !class.Idempotent() {
		low = p.TimeoutMs
	}
	c.Between(at("rememberMs"), p.RememberMs, low, maxRememberMs, "ms")
}

// check reports limits out of range.
func (l Limits) check(c *settings.Checks, path string) {
	at := func(name string) string { return settings.Join(path, name) }
	c.Between(at("maxBodyBytes"), l.MaxBodyBytes, 1, LargestBodyBytes, "bytes")
	c.Between(at("coldStartMs"), l.ColdStartMs, 0, maxColdStartMs, "ms")
	checkShare(c, at("retryShare"), l.RetryShare)
	checkShare(c, at("hedgeShare"), l.HedgeShare)
	checkShare(c, at("ejectShare"), l.EjectShare)
}

// checkShare reports a share that is not between 0 and 1. NaN is reported too.
func checkShare(c *settings.Checks, path string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.Fail(path, "must be from 0 to 1, not %v", v)
	}
}

// check reports timings out of range.
func (o Ownership) check(c *settings.Checks, path string) {
	at := func(name string) string { return settings.Join(path, name) }
	c.Between(at("permitMs"), o.PermitMs, 1, maxTimingMs, "ms")
	c.Between(at("grantMs"), o.GrantMs, 1, maxTimingMs, "ms")
	c.Between(at("marginMs"), o.MarginMs, 1, maxTimingMs, "ms")
	c.Between(at("suspicionMs"), o.SuspicionMs, 1, maxTimingMs, "ms")
}
