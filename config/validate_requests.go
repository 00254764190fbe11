package config

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// millisPerSecond converts the product of a rate per second and a duration in milliseconds into the number of concurrent
// requests.
const millisPerSecond = 1000

// checkTolerance checks the answers about staleness, extra load, cold starts, body size and spare targets.
func (v *serviceValidator) checkTolerance() {
	s := v.s
	v.Between(v.at("staleMs"), s.StaleMs, 0, maxDurationMs, "ms")
	v.Between(v.at("extraLoadPercent"), int64(*s.ExtraLoadPercent), 0, maxExtraPercent, "percent")
	v.Between(v.at("coldStartMs"), *s.ColdStartMs, 0, maxColdStartMs, "ms")
	v.Between(v.at("maxBodyBytes"), s.MaxBodyBytes, 1, LargestBodyBytes, "bytes")
	if s.ReadOwnWrites && s.StaleMs > 0 && !s.Keyed {
		v.Fail(v.at("staleMs"), "callers that must read their own writes cannot tolerate answers %d ms old from another target; "+
			"set staleMs to 0 or readOwnWrites to false", s.StaleMs)
	}
	if spare := *s.SpareTargets; spare < 0 || spare > 0 && spare >= len(s.Targets) {
		v.Fail(v.at("spareTargets"), "%d of %d targets cannot be missing; at least one must stay", spare, len(s.Targets))
	}
}

// checkRequests checks the request classes: each is described once, and at most one of them is not idempotent.
func (v *serviceValidator) checkRequests() {
	if len(v.s.Requests) == 0 {
		v.Fail(v.at("requests"), "needs at least one class of requests")
	}
	first := map[string]string{}
	write := ""
	for i, r := range v.s.Requests {
		path := settings.Index(v.at("requests"), i)
		class, err := types.ParseClass(r.Class)
		if err != nil {
			v.Fail(path+".class", "must be lookup, order or confirmation, not %q", r.Class)
			continue
		}
		if other, twice := first[r.Class]; twice {
			v.Fail(path+".class", "%s is described at %s already; remove one", r.Class, other)
			continue
		}
		first[r.Class] = path
		if !class.Idempotent() && write != "" {
			v.Fail(path+".class", "a service takes orders or confirmations, not both: a request other than GET must belong to "+
				"one class; put the confirmations into a service of their own")
		}
		if !class.Idempotent() {
			write = r.Class
		}
		v.checkRequest(path, class, r)
	}
}

// checkRequest checks the answers about one request class.
func (v *serviceValidator) checkRequest(path string, class types.Class, r RequestAnswer) {
	v.Between(path+".typicalMs", r.TypicalMs, 1, maxDurationMs, "ms")
	v.Between(path+".peakPerSecond", r.PeakPerSecond, 0, maxRate, "requests/s")
	v.checkDeadline(path, r)
	v.checkRepetition(path, class, r)
}

// checkDeadline checks that the deadline leaves time for network delays, the target's work and the wait in the queue.
func (v *serviceValidator) checkDeadline(path string, r RequestAnswer) {
	if r.LateAfterMs < 1 || r.LateAfterMs > maxDurationMs {
		v.Between(path+".lateAfterMs", r.LateAfterMs, 1, maxDurationMs, "ms")
		return
	}
	least := v.transitMs + r.TypicalMs
	if r.LateAfterMs < least {
		v.Fail(path+".lateAfterMs", "no answer can arrive within %d ms: links take %d ms there and back and the target %d ms; "+
			"raise it to %d or more", r.LateAfterMs, v.transitMs, r.TypicalMs, least)
		return
	}
	if r.WaitMs == nil {
		return
	}
	if left := r.LateAfterMs - least; *r.WaitMs < 0 || *r.WaitMs > left {
		v.Fail(path+".waitMs", "a request that waits %d ms is late: of %d ms, links and target leave %d ms; lower waitMs or "+
			"raise lateAfterMs", *r.WaitMs, r.LateAfterMs, left)
	}
}

// checkRepetition checks that the answers about repeated requests agree with the class.
func (v *serviceValidator) checkRepetition(path string, class types.Class, r RequestAnswer) {
	resend := valueOrZero(r.ResendWithinMs)
	switch {
	case class.Idempotent() && !r.MayRunTwice:
		v.Fail(path+".mayRunTwice", "a lookup may be sent to a second target; set it to true, or use the class order")
	case !class.Idempotent() && r.MayRunTwice:
		v.Fail(path+".mayRunTwice", "the class %s runs at most once; set it to false, or use the class lookup", class)
	case class.Idempotent() && r.ResendWithinMs != nil:
		v.Fail(path+".resendWithinMs", "lookups are not remembered; leave it out")
	case !class.Idempotent() && resend > maxRememberMs:
		v.Between(path+".resendWithinMs", resend, 1, maxRememberMs, "ms")
	case !class.Idempotent() && resend < r.LateAfterMs:
		v.Fail(path+".resendWithinMs", "identifiers would be forgotten after %d ms while a request may still run for %d ms; "+
			"raise it to at least lateAfterMs", resend, r.LateAfterMs)
	}
}

// checkPeakCapacity checks that the slots suffice for the peak load while the spare targets, or a data centre that may
// be taken out, are unavailable.
func (v *serviceValidator) checkPeakCapacity() {
	if !v.capacityAnswersValid() {
		return
	}
	var slotMillis int64 // work that arrives per second, in milliseconds of one slot
	for _, r := range v.s.Requests {
		slotMillis += r.PeakPerSecond * r.TypicalMs
	}
	needed := (slotMillis + millisPerSecond - 1) / millisPerSecond
	spare, total := v.slotsWithoutSpare()
	if needed > spare {
		v.Fail(v.at("spareTargets"), "the peak load fills %d slots, but only %d of %d are left without %d targets; lower "+
			"spareTargets or peakPerSecond, or add targets", needed, spare, total, *v.s.SpareTargets)
	}
	if !v.s.DataCentreOutAtPeak {
		return
	}
	if name, left := v.slotsWithoutLargestCentre(); needed > left || left == 0 {
		v.Fail(v.at("dataCentreOutAtPeak"), "the peak load fills %d slots, but only %d of %d are left while %s is out; set it "+
			"to false, lower peakPerSecond or add targets elsewhere", needed, left, total, name)
	}
}

// capacityAnswersValid reports whether the answers that checkPeakCapacity compares are in range.
func (v *serviceValidator) capacityAnswersValid() bool {
	for _, t := range v.s.Targets {
		if *t.Slots < 1 || *t.Slots > maxTargetSlots {
			return false
		}
	}
	for _, r := range v.s.Requests {
		if r.PeakPerSecond < 0 || r.PeakPerSecond > maxRate || r.TypicalMs < 1 || r.TypicalMs > maxDurationMs {
			return false
		}
	}
	spare := *v.s.SpareTargets
	return spare == 0 || spare > 0 && spare < len(v.s.Targets)
}

// slotsWithoutSpare returns the slots that are left while the largest targets, as many as may be spare, are unavailable,
// and the number of all slots.
func (v *serviceValidator) slotsWithoutSpare() (left, total int64) {
	sizes := make([]int64, 0, len(v.s.Targets))
	for _, t := range v.s.Targets {
		sizes = append(sizes, int64(*t.Slots))
		total += int64(*t.Slots)
	}
	left = total
	for _, s := range largestSizes(sizes, *v.s.SpareTargets) {
		left -= s
	}
	return left, total
}

// slotsWithoutLargestCentre returns the data centre with the most slots of the service and the slots in the others.
func (v *serviceValidator) slotsWithoutLargestCentre() (types.DataCentre, int64) {
	perCentre := map[types.DataCentre]int64{}
	var total int64
	for _, t := range v.s.Targets {
		perCentre[t.DataCentre] += int64(*t.Slots)
		total += int64(*t.Slots)
	}
	var name types.DataCentre
	for _, d := range v.a.DataCentres {
		if name == "" || perCentre[d.Name] > perCentre[name] {
			name = d.Name
		}
	}
	return name, total - perCentre[name]
}
