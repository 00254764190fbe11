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
	// queueBytes bounds the bodies that wait in one queue, so that a dispatcher with several full queues stays within
	// the 64 MB that control work may use.
	queueBytes = 16 << 20
	// hedgePart is the part of the extra load that hedged requests may use; the rest is left to retries.
	hedgePart = 0.5
	// minEjectTargets is the number of targets from which one may be ejected.
	minEjectTargets = 2
)

// defaultOwnership returns the timings of docs/design.md, section 4.
func defaultOwnership() Ownership {
	return Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600}
}

// Generate returns the configuration that follows from a, with version 0: Accept gives it a version. It returns the
// faults of Validate, or a bad-configuration fault when the configuration is too large for the store.
func Generate(a Answers) (Configuration, error) {
	c, _, err := build(a)
	return c, err
}

// Accept returns c with version v.
func (c Configuration) Accept(v types.Version) Configuration {
	c = normalize(c)
	c.Version = v
	return c
}

func build(a Answers) (Configuration, []Reason, error) {
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
	return c, b.reasons(c), nil
}

// builder generates a configuration and notes the answers behind each value.
type builder struct {
	a     Answers
	notes []note
}

func (b *builder) configuration() Configuration {
	c := Configuration{Ownership: defaultOwnership()}
	b.note("ownership.", "recoverWithinMs", "fixed timings; a takeover must fit into the answer")
	for i, d := range b.a.DataCentres {
		c.DataCentres = append(c.DataCentres, DataCentre{Name: d.Name, Region: d.Region, OneWayMs: d.OneWayMs})
		b.note("dataCentres."+string(d.Name)+".", settings.Index("dataCentres", i), "as answered")
	}
	for i, s := range b.a.Services {
		c.Services = append(c.Services, b.service(settings.Index("services", i), s))
	}
	return c
}

func (b *builder) service(from string, s ServiceAnswer) Service {
	at := "services." + string(s.Name) + "."
	out := Service{Name: s.Name, Keyed: s.Keyed, Slots: value(s.TableSlots), ChecksGrants: s.ChecksGrants, Scope: scopeOf(s)}
	b.note(at+"name", from+".name", "as answered")
	b.note(at+"keyed", from+".keyed", "as answered")
	b.note(at+"slots", from+".tableSlots", "as answered")
	b.note(at+"checksGrants", from+".checksGrants", "as answered")
	b.note(at+"scope", from+".cutOff", "keep: the VMs of the data centre confirm permits; move: VMs of all data centres do")
	for i, t := range s.Targets {
		out.Targets = append(out.Targets, b.target(at, from, i, t, s.Target))
	}
	for i, r := range s.Requests {
		out.Classes = append(out.Classes, b.class(at, from, settings.Index(from+".requests", i), s, r))
		if !r.MayRunTwice {
			out.WriteClass = r.Class
			b.note(at+"writeClass", settings.Index(from+".requests", i)+".class", "the class that may not run twice")
		}
	}
	if out.WriteClass == "" {
		b.note(at+"writeClass", from+".requests", "only lookups are answered: other methods than GET and HEAD are refused")
	}
	out.Limits = b.limits(at+"limits.", from, s)
	return out
}

func scopeOf(s ServiceAnswer) GroupScope {
	if s.CutOff == CutOffMove {
		return ScopeAll
	}
	return ScopeDataCentre
}

func (b *builder) target(at, from string, i int, t TargetAnswer, common TargetDefaults) Target {
	at += "targets." + string(t.Name) + "."
	path := settings.Index(from+".targets", i)
	b.note(at, path, "as answered")
	if *t.Slots == common.Slots {
		b.note(at+"slots", from+".target.slots", "common to all targets")
	}
	if *t.Connections == common.Connections {
		b.note(at+"connections", from+".target.connections", "common to all targets")
	}
	return Target{
		Name: t.Name, DataCentre: t.DataCentre, Address: t.Address, Slots: *t.Slots, Connections: *t.Connections,
		Weight: t.Weight,
	}
}

func (b *builder) class(at, from, path string, s ServiceAnswer, r RequestAnswer) ClassPolicy {
	at += "classes." + r.Class + "."
	timeout := r.LateAfterMs - 2*b.a.callerMs()
	q := b.queue(from, path, s, r, timeout)
	b.note(at+"class", path+".class", "as answered")
	b.note(at+"timeoutMs", path+".lateAfterMs", "less the way from and to the caller (dataCentres[].callerMs)")
	b.note(at+"queueLimit", q.answer, q.why)
	if r.MayRunTwice {
		b.note(at+"rememberMs", path+".mayRunTwice", "requests that may run twice are not remembered")
	} else {
		b.note(at+"rememberMs", path+".resendWithinMs", "as answered")
	}
	return ClassPolicy{Class: r.Class, TimeoutMs: timeout, QueueLimit: q.limit, RememberMs: value(r.ResendWithinMs)}
}

// queueBound is the length of a queue and the answer that bounds it.
type queueBound struct {
	limit       int
	answer, why string
}

// queue returns how many requests the smallest target works off within the time that a request may wait, unless the
// memory for their bodies or the largest queue is the tighter bound.
func (b *builder) queue(from, path string, s ServiceAnswer, r RequestAnswer, timeout int64) queueBound {
	wait := timeout - 2*b.a.linkMs() - connectMs - r.TypicalMs
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

func (b *builder) limits(at, from string, s ServiceAnswer) Limits {
	retry, hedge, why := shares(s)
	b.note(at+"maxBodyBytes", from+".maxBodyBytes", "as answered")
	b.note(at+"coldStartMs", from+".coldStartMs", "as answered")
	b.note(at+"retryShare", from+".extraLoadPercent", "the extra load that hedged requests leave")
	b.note(at+"hedgeShare", from+".staleMs", why)
	b.note(at+"ejectShare", from+".spareTargets", "spareTargets of all targets")
	return Limits{
		MaxBodyBytes: s.MaxBodyBytes, ColdStartMs: *s.ColdStartMs,
		RetryShare: retry, HedgeShare: hedge, EjectShare: ejectShare(*s.SpareTargets, len(s.Targets)),
	}
}

// shares divides the extra load between retries and hedged requests.
func shares(s ServiceAnswer) (retry, hedge float64, why string) {
	extra := float64(*s.ExtraLoadPercent) / 100
	switch {
	case s.Keyed:
		return extra, 0, "0: a key has one owner, so no second target can answer"
	case s.StaleMs == 0:
		return extra, 0, "0: callers tolerate no answer from a target that may lag behind"
	}
	hedge = round2(extra * hedgePart)
	return round2(extra - hedge), hedge, "half of extraLoadPercent: callers tolerate an answer from a target that lags"
}

// ejectShare returns spare of targets, rounded up in the fourth digit: a target more would take 10,000 targets, while
// rounding down would lose one at any size.
func ejectShare(spare, targets int) float64 {
	if targets < minEjectTargets {
		return 0
	}
	return math.Ceil(float64(spare)/float64(targets)*10000) / 10000
}

func round2(v float64) float64 { return math.Round(v*100) / 100 }

func smallestSlots(s ServiceAnswer) int {
	slots := *s.Targets[0].Slots
	for _, t := range s.Targets {
		slots = min(slots, *t.Slots)
	}
	return slots
}

// largest returns the n largest sizes.
func largest(sizes []int64, n int) []int64 {
	sizes = append([]int64(nil), sizes...)
	slices.Sort(sizes)
	return sizes[len(sizes)-n:]
}
