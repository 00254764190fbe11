package config

import (
	"math"
	"slices"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

const (
	// maxQueueLimit bounds the queue of one class at one target. A dispatcher's request ring holds 4096 requests, so one
	// queue holds at most a quarter of a full ring.
	maxQueueLimit = 1024
	// queueBytes bounds the total size of the request bodies in one queue, so that a dispatcher with several full
	// queues stays within the 64 MB that control work may use.
	queueBytes = 16 << 20
	// hedgeFraction is the fraction of the tolerated extra load that hedged requests may use; retries use the rest.
	hedgeFraction = 0.5
	// minEjectTargets is the smallest number of targets that a service must have for one to be ejected as an outlier.
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

// service converts the answers about a service, which are at answerPath.
func (b *builder) service(answerPath string, s ServiceAnswer) Service {
	configPath := "services." + string(s.Name) + "."
	out := Service{Name: s.Name, Keyed: s.Keyed, Slots: valueOrZero(s.TableSlots), ChecksGrants: s.ChecksGrants, Scope: scopeOf(s)}
	b.origin(configPath+"name", answerPath+".name", "as answered")
	b.origin(configPath+"keyed", answerPath+".keyed", "as answered")
	b.origin(configPath+"slots", answerPath+".tableSlots", "as answered")
	b.origin(configPath+"checksGrants", answerPath+".checksGrants", "as answered")
	b.origin(configPath+"scope", answerPath+".cutOff", "keep: the VMs of the data centre confirm permits; move: VMs of all data centres do")
	for i, t := range s.Targets {
		out.Targets = append(out.Targets, b.target(configPath, answerPath, i, t, s.Target))
	}
	for i, r := range s.Requests {
		out.Classes = append(out.Classes, b.classPolicy(configPath, answerPath, settings.Index(answerPath+".requests", i), s, r))
		if !r.MayRunTwice {
			out.WriteClass = r.Class
			b.origin(configPath+"writeClass", settings.Index(answerPath+".requests", i)+".class", "the class that may not run twice")
		}
	}
	if out.WriteClass == "" {
		b.origin(configPath+"writeClass", answerPath+".requests", "only lookups are answered: other methods than GET and HEAD are refused")
	}
	out.Limits = b.limits(configPath+"limits.", answerPath, s)
	return out
}

// scopeOf returns the scope of the quorum group that the cut-off policy of s requires.
func scopeOf(s ServiceAnswer) GroupScope {
	if s.CutOff == CutOffMove {
		return ScopeAll
	}
	return ScopeDataCentre
}

// target converts the answers about the target with index i. configPath and answerPath are the paths of its service in
// the configuration and in the answers. configPath ends in a dot.
func (b *builder) target(configPath, answerPath string, i int, t TargetAnswer, common TargetDefaults) Target {
	configPath += "targets." + string(t.Name) + "."
	targetPath := settings.Index(answerPath+".targets", i)
	b.origin(configPath, targetPath, "as answered")
	if *t.Slots == common.Slots {
		b.origin(configPath+"slots", answerPath+".target.slots", "common to all targets")
	}
	if *t.Connections == common.Connections {
		b.origin(configPath+"connections", answerPath+".target.connections", "common to all targets")
	}
	return Target{
		Name: t.Name, DataCentre: t.DataCentre, Address: t.Address, Slots: *t.Slots, Connections: *t.Connections,
		Weight: t.Weight,
	}
}

// classPolicy converts the answers about a request class. configPath and answerPath are the paths of its service in the
// configuration and in the answers, and classPath is the path of the class in the answers. configPath ends in a dot.
func (b *builder) classPolicy(configPath, answerPath, classPath string, s ServiceAnswer, r RequestAnswer) ClassPolicy {
	configPath += "classes." + r.Class + "."
	timeout := r.LateAfterMs - 2*b.a.longestCallerMs()
	q := b.queueLimit(answerPath, classPath, s, r, timeout)
	b.origin(configPath+"class", classPath+".class", "as answered")
	b.origin(configPath+"timeoutMs", classPath+".lateAfterMs", "less the way from and to the caller (dataCentres[].callerMs)")
	b.origin(configPath+"queueLimit", q.answer, q.why)
	if r.MayRunTwice {
		b.origin(configPath+"rememberMs", classPath+".mayRunTwice", "requests that may run twice are not remembered")
	} else {
		b.origin(configPath+"rememberMs", classPath+".resendWithinMs", "as answered")
	}
	return ClassPolicy{Class: r.Class, TimeoutMs: timeout, QueueLimit: q.limit, RememberMs: valueOrZero(r.ResendWithinMs)}
}

// queueBound is the limit of a queue's length, the path of the answer that determines it, and how.
type queueBound struct {
	limit       int
	answer, why string
}

// queueLimit returns the number of requests that the target with the fewest slots completes within the time that a
// request may wait. answerPath and classPath are the paths of the service and of the class in the answers. The memory
// for request bodies and maxQueueLimit bound it from above, and it is at least 1.
func (b *builder) queueLimit(answerPath, classPath string, s ServiceAnswer, r RequestAnswer, timeout int64) queueBound {
	wait := timeout - 2*b.a.longestLinkMs() - connectMs - r.TypicalMs
	q := queueBound{answer: classPath + ".lateAfterMs", why: "what the smallest target works off until the answer would be late"}
	if r.WaitMs != nil {
		wait = *r.WaitMs
		q = queueBound{answer: classPath + ".waitMs", why: "what the smallest target works off within waitMs"}
	}
	limit := wait * int64(smallestSlots(s)) / r.TypicalMs
	if bodies := queueBytes / s.MaxBodyBytes; limit > bodies {
		limit = bodies
		q = queueBound{answer: answerPath + ".maxBodyBytes", why: "the bodies that 16 MiB hold; " + q.answer + " allows more"}
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

// limits converts the answers that bound the load on targets. configPath is the path of the limits in the configuration,
// answerPath the path of the service in the answers.
func (b *builder) limits(configPath, answerPath string, s ServiceAnswer) Limits {
	retry, hedge, why := splitExtraLoad(s)
	b.origin(configPath+"maxBodyBytes", answerPath+".maxBodyBytes", "as answered")
	b.origin(configPath+"coldStartMs", answerPath+".coldStartMs", "as answered")
	b.origin(configPath+"retryShare", answerPath+".extraLoadPercent", "the extra load that hedged requests leave")
	b.origin(configPath+"hedgeShare", answerPath+".staleMs", why)
	b.origin(configPath+"ejectShare", answerPath+".spareTargets", "spareTargets of all targets")
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
