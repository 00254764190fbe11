package config

import (
	"math"
	"slices"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

const (
	// maxQueueLimit bounds the queue of one class at one target. A dispatcher's request ring holds 4096 requests, so one
	// queue can take at most a quarter of what a ring delivers.
	maxQueueLimit = 1024
	// queueBytes bounds the total size of the request bodies in one queue, so that a dispatcher with several full
	// queues stays within the 64 MB that control work may use.
	queueBytes = 16 << 20
	// hedgeFraction is the fraction of the tolerated extra load that hedged requests may use; retries use the rest.
	hedgeFraction = 0.5
	// minEjectTargets is the smallest number of targets of which one may be ejected as an outlier.
	minEjectTargets = 2
)

// defaultOwnership returns the lease timings of docs/design.md, section 4.
func defaultOwnership() Ownership {
	return Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600}
}

// Generate returns the configuration for the answers a. Its version is 0, WithVersion sets it. It returns the
// faults of Validate, or a bad-configuration fault when the configuration is too large for the store.
func Generate(a Answers) (Configuration, error) {
	c, _, err := build(a)
	return c, err
}

// WithVersion returns a normalized copy of c with version v.
func (c Configuration) WithVersion(v types.Version) Configuration {
	c = normalize(c)
	c.Version = v
	return c
}

// build generates the configuration for a and the explanation of each of its values.
func build(a Answers) (Configuration, []Explanation, error) {
	if err := a.Validate(); err != nil {
		return Configuration{}, nil, err
	}
	a = a.clone()
	a.Provision()
	b := &builder{a: a}
	c := normalize(b.configuration())
	if size := len(Canonical(c)); size > MaxConfigurationBytes {
		var p settings.Problems
		p.Add(types.CodeBadConfiguration, "", "the configuration would take %d bytes, the store accepts %d; split the services "+
			"between installations", size, MaxConfigurationBytes)
		return Configuration{}, nil, p
	}
	return c, b.explanations(c), nil
}

// builder generates a configuration and records the answer from which each value is derived.
type builder struct {
	a       Answers
	origins []origin
}

// configuration converts all answers.
func (b *builder) configuration() Configuration {
	c := Configuration{Ownership: defaultOwnership()}
	b.origin("ownership.", "recoverWithinMs", "fixed timings; a takeover must fit into the answer")
	for i, d := range b.a.DataCentres {
		c.DataCentres = append(c.DataCentres, DataCentre{Name: d.Name, Region: d.Region, OneWayMs: d.OneWayMs})
		b.origin("dataCentres."+string(d.Name)+".", settings.Index("dataCentres", i), "as answered")
	}
	for i, s := range b.a.Services {
		c.Services = append(c.Services, b.service(settings.Index("services", i), s))
	}
	return c
}

// service converts the answers about a service, which are at path from.
func (b *builder) service(from string, s ServiceAnswer) Service {
	at := "services." + string(s.Name) + "."
	out := Service{Name: s.Name, Keyed: s.Keyed, Slots: valueOrZero(s.TableSlots), ChecksGrants: s.ChecksGrants, Scope: scopeOf(s)}
	b.origin(at+"name", from+".name", "as answered")
	b.origin(at+"keyed", from+".keyed", "as answered")
	b.origin(at+"slots", from+".tableSlots", "as answered")
	b.origin(at+"checksGrants", from+".checksGrants", "as answered")
	b.origin(at+"scope", from+".cutOff", "keep: the VMs of the data centre confirm permits; move: VMs of all data centres do")
	for i, t := range s.Targets {
		out.Targets = append(out.Targets, b.target(at, from, i, t, s.Target))
	}
	for i, r := range s.Requests {
		out.Classes = append(out.Classes, b.classPolicy(at, from, settings.Index(from+".requests", i), s, r))
		if !r.MayRunTwice {
			out.WriteClass = r.Class
			b.origin(at+"writeClass", settings.Index(from+".requests", i)+".class", "the class that may not run twice")
		}
	}
	if out.WriteClass == "" {
		b.origin(at+"writeClass", from+".requests", "only lookups are answered: other methods than GET and HEAD are refused")
	}
	out.Limits = b.limits(at+"limits.", from, s)
	return out
}

// scopeOf returns the scope of the quorum group that the cut-off policy of s requires.
func scopeOf(s ServiceAnswer) GroupScope {
	if s.CutOff == CutOffMove {
		return ScopeAll
	}
	return ScopeDataCentre
}

// target converts the answers about the target with index i. at is the path of its service in the configuration, from
// the one in the answers.
func (b *builder) target(at, from string, i int, t TargetAnswer, common TargetDefaults) Target {
	at += "targets." + string(t.Name) + "."
	path := settings.Index(from+".targets", i)
	b.origin(at, path, "as answered")
	if *t.Slots == common.Slots {
		b.origin(at+"slots", from+".target.slots", "common to all targets")
	}
	if *t.Connections == common.Connections {
		b.origin(at+"connections", from+".target.connections", "common to all targets")
	}
	return Target{
		Name: t.Name, DataCentre: t.DataCentre, Address: t.Address, Slots: *t.Slots, Connections: *t.Connections,
		Weight: t.Weight,
	}
}

// classPolicy converts the answers about a request class. at is the path of its service in the configuration, from the
// one in the answers, and path is the one of the class in the answers.
func (b *builder) classPolicy(at, from, path string, s ServiceAnswer, r RequestAnswer) ClassPolicy {
	at += "classes." + r.Class + "."
	timeout := r.LateAfterMs - 2*b.a.longestCallerMs()
	q := b.queueLimit(from, path, s, r, timeout)
	b.origin(at+"class", path+".class", "as answered")
	b.origin(at+"timeoutMs", path+".lateAfterMs", "less the way from and to the caller (dataCentres[].callerMs)")
	b.origin(at+"queueLimit", q.answer, q.why)
	if r.MayRunTwice {
		b.origin(at+"rememberMs", path+".mayRunTwice", "requests that may run twice are not remembered")
	} else {
		b.origin(at+"rememberMs", path+".resendWithinMs", "as answered")
	}
	return ClassPolicy{Class: r.Class, TimeoutMs: timeout, QueueLimit: q.limit, RememberMs: valueOrZero(r.ResendWithinMs)}
}

// queueBound is the limit of a queue's length, the path of the answer that determines it, and how.
type queueBound struct {
	limit       int
	answer, why string
}

// queueLimit returns the number of requests that the target with the fewest slots completes within the time that a
// request may wait. The memory for request bodies and maxQueueLimit bound it from above, and it is at least 1.
func (b *builder) queueLimit(from, path string, s ServiceAnswer, r RequestAnswer, timeout int64) queueBound {
	wait := timeout - 2*b.a.longestLinkMs() - connectMs - r.TypicalMs
	q := queueBound{answer: path + ".lateAfterMs", why: "what the smallest target works off until the answer would be late"}
	if r.WaitMs != nil {
		wait = *r.WaitMs
		q = queueBound{answer: path + ".waitMs", why: "what the smallest target works off within waitMs"}
	}
	limit := wait * int64(smallestSlots(s)) / r.TypicalMs
	if bodies := queueBytes / s.MaxBodyBytes; limit > bodies {
		limit = bodies
		q = queueBound{answer: from + ".maxBodyBytes", why: "the bodies that 16 MiB hold; " + q.answer + " allows more"}
	}
	if limit > maxQueueLimit {
		limit = maxQueueLimit
		q.why = "the largest queue of one target; the answer allows more"
	}
	if limit < 1 {
		limit = 1
		q.why = "the smallest queue; the answer allows less than one request"
	}
	q.limit = int(limit)
	return q
}

// limits converts the answers that bound the load on targets.
func (b *builder) limits(at, from string, s ServiceAnswer) Limits {
	retry, hedge, why := splitExtraLoad(s)
	b.origin(at+"maxBodyBytes", from+".maxBodyBytes", "as answered")
	b.origin(at+"coldStartMs", from+".coldStartMs", "as answered")
	b.origin(at+"retryShare", from+".extraLoadPercent", "the extra load that hedged requests leave")
	b.origin(at+"hedgeShare", from+".staleMs", why)
	b.origin(at+"ejectShare", from+".spareTargets", "spareTargets of all targets")
	return Limits{
		MaxBodyBytes: s.MaxBodyBytes, ColdStartMs: *s.ColdStartMs,
		RetryShare: retry, HedgeShare: hedge, EjectShare: ejectShare(*s.SpareTargets, len(s.Targets)),
	}
}

// splitExtraLoad divides the extra load that targets tolerate between retries and hedged requests. why explains the
// share of hedged requests.
func splitExtraLoad(s ServiceAnswer) (retry, hedge float64, why string) {
	extra := float64(*s.ExtraLoadPercent) / 100
	switch {
	case s.Keyed:
		return extra, 0, "0: a key has one owner, so no second target can answer"
	case s.StaleMs == 0:
		return extra, 0, "0: callers tolerate no answer from a target that may lag behind"
	}
	hedge = round2(extra * hedgeFraction)
	return round2(extra - hedge), hedge, "half of extraLoadPercent: callers tolerate an answer from a target that lags"
}

// ejectShare returns spare divided by targets, rounded up to four decimal places. Rounding up allows one target too many
// only from 10,000 targets on, while rounding down could allow one too few at any size.
func ejectShare(spare, targets int) float64 {
	if targets < minEjectTargets {
		return 0
	}
	return math.Ceil(float64(spare)/float64(targets)*10000) / 10000
}

// round2 rounds v to two decimal places.
func round2(v float64) float64 { return math.Round(v*100) / 100 }

// smallestSlots returns the smallest number of slots of any target.
func smallestSlots(s ServiceAnswer) int {
	slots := *s.Targets[0].Slots
	for _, t := range s.Targets {
		slots = min(slots, *t.Slots)
	}
	return slots
}

// largestSizes returns the n largest of sizes.
func largestSizes(sizes []int64, n int) []int64 {
	sizes = append([]int64(nil), sizes...)
	slices.Sort(sizes)
	return sizes[len(sizes)-n:]
}
