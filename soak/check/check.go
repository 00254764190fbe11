// Package check checks what callers and targets observe against the guarantees of the system. A Checker does no I/O: it is
// given events and returns the guarantees that they violate.
//
// Time bounds are checked only for VMs and targets that no fault has affected for SettleTime. Invariants, such as that a
// request that is not idempotent runs at most once, are checked regardless of faults.
package check

import (
	"fmt"
	"slices"
	"time"

	"sequoiasail.example/platform/standin"
	"sequoiasail.example/types"
)

// Bounds that the users require, and spans over which events are counted.
const (
	// SettleTime is how long after the end of a fault a VM or target still counts as affected by it.
	SettleTime = 3 * time.Second
	// DrainTime is how long requests may still reach a target after the store has accepted that it drains.
	DrainTime = 2500 * time.Millisecond
	// ApplyTime is how long an older configuration may stay in use after the store has accepted a new one.
	ApplyTime = 2500 * time.Millisecond
	// OverlapTime is how long two targets may both hold a grant for a key.
	OverlapTime = 500 * time.Millisecond
	// ColdWindow is the span over which the requests to a cold target are counted.
	ColdWindow = time.Second
	// LossSlack is the time after sending a request in which a closed connection is no violation if no target received
	// the request: the VM may have closed it before it read the request. It is also how long after a fault bytes that it
	// delayed may still arrive.
	LossSlack = 200 * time.Millisecond
	// retryWindow is the span over which repeated arrivals are counted.
	retryWindow = 10 * time.Second
)

// Settings holds the limits that the VMs were configured with.
type Settings struct {
	// ColdLimit is the largest number of requests that a cold target may receive within ColdWindow.
	ColdLimit int
	// RetryRatio and RetrySlack bound the repeated arrivals in retryWindow: RetryRatio per request sent, plus RetrySlack.
	RetryRatio, RetrySlack float64
}

// Events of callers, VMs and the operator. Package standin defines those of targets.
type (
	// RequestSent reports that a caller has sent a request to a VM.
	RequestSent struct {
		ID         types.RequestID
		VM         int
		Method     string
		URI        string
		Body       string
		Route      string
		Idempotent bool
		At         time.Time
	}
	// RequestEnded reports how a request ended for its caller. Closed is true if the connection ended before a complete
	// answer.
	RequestEnded struct {
		ID        types.RequestID
		Status    int
		Signature string
		Body      string
		Closed    bool
		At        time.Time
	}
	// TargetDraining reports that the store has accepted that a target drains.
	TargetDraining struct {
		Target types.Target
		At     time.Time
	}
	// TargetStopped reports the end of an incarnation of a target.
	TargetStopped struct {
		Target types.Target
		// Incarnation is the number of the incarnation, as in standin.TargetSettings.
		Incarnation int64
		At          time.Time
	}
	// ConfigProposed reports that a configuration is about to be written to the store. Routes holds the service of each
	// route. VMs may use the configuration from then on.
	ConfigProposed struct{ Routes map[string]types.Service }
	// ConfigAccepted reports that the store has accepted the configuration that was proposed last.
	ConfigAccepted struct{ At time.Time }
	// VMExited reports an unexpected exit: the process was not killed and did not exit with code 0 after a planned stop.
	VMExited struct {
		VM      int
		Planned bool
		Status  string
	}
	// MemoryExceeded reports that a process has taken more memory than its settings allow, in MiB.
	MemoryExceeded struct {
		VM        int
		MB, Limit float64
	}
	// FaultInterval reports an injected fault that may have effects from At until Until.
	FaultInterval struct {
		Scope Scope
		// VM or Target is the affected component, depending on Scope.
		VM     int
		Target types.Target
		// Planned is true for a planned stop of a VM.
		Planned bool
		At      time.Time
		Until   time.Time
	}
)

// Scope is the kind of component that a fault affects.
type Scope uint8

// Scopes of faults.
const (
	ScopeStore Scope = iota
	ScopeVM
	ScopeTarget
)

// Violation is one violated guarantee. Rule is its name in capitals.
type Violation struct {
	Rule string
	Text string
}

func (v Violation) String() string { return v.Rule + ": " + v.Text }

// incarnation identifies one incarnation of a target.
type incarnation struct {
	target types.Target
	number int64
}

// requestRecord holds what was observed of one request.
type requestRecord struct {
	sent  RequestSent
	ended bool
	// runs counts how often targets started the request, arrivals how often they received it.
	runs     int
	arrivals int
	// targets lists the targets that received it.
	targets []types.Target
	// signatures maps the signature of each answer that a target has given to its body.
	signatures map[string]string
	// refused is true once the caller was told that the request was not run.
	refused bool
}

// configuration is a configuration that VMs may use. accepted is zero until the store has accepted it.
type configuration struct {
	routes   map[string]types.Service
	accepted time.Time
}

// Checker checks the events of one run. It is not safe for concurrent use.
type Checker struct {
	settings Settings
	requests map[types.RequestID]*requestRecord
	// issued holds the times at which callers sent requests, repeatTimes those at which targets received a request that
	// had been received before.
	issued      []time.Time
	repeatTimes []time.Time
	// draining holds when the store accepted that a target drains.
	draining map[types.Target]time.Time
	// configs holds the proposed configurations in order.
	configs   []configuration
	faults    []FaultInterval
	ownership ownership
	// coldArrivals are the times in the last ColdWindow at which a cold target received requests.
	coldArrivals map[incarnation][]time.Time
	violations   []Violation
	// ended holds the ends of all requests, from which SuccessShare is computed.
	ended []RequestEnded
}

// New returns a checker for a run with the given limits.
func New(s Settings) *Checker {
	return &Checker{
		settings: s, requests: make(map[types.RequestID]*requestRecord), draining: make(map[types.Target]time.Time),
		ownership: newOwnership(), coldArrivals: make(map[incarnation][]time.Time),
	}
}

// FoundViolations returns the violations found so far.
func (c *Checker) FoundViolations() []Violation { return c.violations }

func (c *Checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// Step applies one event: one of the types above or an event of package standin.
func (c *Checker) Step(event any) {
	switch e := event.(type) {
	case RequestSent:
		c.requests[e.ID] = &requestRecord{sent: e, signatures: make(map[string]string)}
		c.issued = append(c.issued, e.At)
	case RequestEnded:
		c.recordEnd(e)
	case standin.RequestStarted:
		c.recordRun(e)
	case standin.RequestReceived:
		c.recordArrival(e)
	case standin.KeysGranted:
		c.recordGrant(e)
	case standin.KeysReleased:
		c.ownership.release(incarnation{e.Target, e.Incarnation}, e.From, e.To, e.At)
	case TargetDraining:
		c.draining[e.Target] = e.At
	case TargetStopped:
		c.ownership.recordEnd(incarnation{e.Target, e.Incarnation}, e.At)
	case ConfigProposed:
		c.configs = append(c.configs, configuration{routes: e.Routes})
	case ConfigAccepted:
		c.configs[len(c.configs)-1].accepted = e.At
	case VMExited:
		c.addViolation("EXIT", "VM %d ended: %s, planned: %v", e.VM, e.Status, e.Planned)
	case MemoryExceeded:
		c.addViolation("MEMORY", "VM %d used %.1f MB of %.0f", e.VM, e.MB, e.Limit)
	case FaultInterval:
		c.faults = append(c.faults, e)
	}
}

// Finish performs the checks that need the complete run. It is the last call before FoundViolations.
func (c *Checker) Finish(now time.Time) {
	for _, text := range c.ownership.finish(now) {
		c.addViolation("OWNER", "%s", text)
	}
	c.checkRetries()
}

// faultOverlaps reports whether a fault that matches was active between from and to, or ended less than grace before
// from.
func (c *Checker) faultOverlaps(from, to time.Time, grace time.Duration, matches func(FaultInterval) bool) bool {
	return slices.ContainsFunc(c.faults, func(f FaultInterval) bool {
		return matches(f) && f.At.Before(to) && f.Until.Add(grace).After(from)
	})
}

// unaffected reports whether no fault of the store, of the VM or of the target was active between from and to or in
// SettleTime before from.
func (c *Checker) unaffected(vm int, target types.Target, from, to time.Time) bool {
	return !c.faultOverlaps(from, to, SettleTime, func(f FaultInterval) bool {
		return f.Scope == ScopeStore || (f.Scope == ScopeVM && f.VM == vm) || (f.Scope == ScopeTarget && f.Target == target)
	})
}

func (c *Checker) recordRun(e standin.RequestStarted) {
	r := c.requests[e.ID]
	if r == nil {
		c.addViolation("UNASKED", "%s ran %s, which no caller sent", e.Target, e.ID)
		return
	}
	r.runs++
	s := r.sent
	if e.Method != s.Method || e.URI != s.URI || e.Body != s.Body {
		c.addViolation("UNASKED", "%s ran %s with changed content: %s %s %q", e.Target, e.ID, e.Method, e.URI, e.Body)
	}
	if r.runs > 1 && !s.Idempotent {
		c.addViolation("TWICE", "%s ran %s again", e.Target, e.ID)
	}
	if r.refused && !s.Idempotent {
		c.addViolation("REFUSED", "%s ran %s after its caller was told that it was not run", e.Target, e.ID)
	}
	r.signatures[standin.Signature(e.Target, e.Incarnation, e.ID)] = standin.ResponseBody(e.Method, e.URI, e.Body)
	c.ownership.recordRun(incarnation{e.Target, e.Incarnation}, e.Key)
	c.checkService(e, s)
}

// checkService checks that the route of a request went to the service that ran it, in a configuration that may still be
// in use.
func (c *Checker) checkService(e standin.RequestStarted, s RequestSent) {
	everRouted, current := false, false
	for i, config := range c.configs {
		if config.routes[s.Route] != e.Service {
			continue
		}
		everRouted = true
		replaced := slices.ContainsFunc(c.configs[i+1:], func(next configuration) bool {
			return !next.accepted.IsZero() && next.accepted.Add(ApplyTime).Before(s.At)
		})
		current = current || !replaced
	}
	switch {
	case !everRouted:
		c.addViolation("ROUTE", "%s of service %s ran %s, but route %s never went to that service", e.Target, e.Service, e.ID, s.Route)
	case !current && c.unaffected(s.VM, "", s.At, e.At):
		c.addViolation("CONFIG", "%s ran %s because VM %d used an old configuration", e.Target, e.ID, s.VM)
	}
}

func (c *Checker) recordArrival(e standin.RequestReceived) {
	r := c.requests[e.ID]
	if r == nil {
		return
	}
	r.targets = append(r.targets, e.Target)
	if r.arrivals++; r.arrivals > 1 {
		c.repeatTimes = append(c.repeatTimes, e.At)
	}
	if at, ok := c.draining[e.Target]; ok && e.At.Sub(at) > DrainTime && c.unaffected(r.sent.VM, e.Target, at, e.At) {
		c.addViolation("DRAIN", "%s reached %s %v after the target began to drain, through VM %d", e.ID, e.Target, e.At.Sub(at), r.sent.VM)
	}
	if e.Cold {
		c.checkColdRate(e)
	}
}

// checkColdRate checks the number of requests to a cold target within ColdWindow. Requests that a fault delayed may arrive
// in a burst, which is no violation.
func (c *Checker) checkColdRate(e standin.RequestReceived) {
	inc := incarnation{e.Target, e.Incarnation}
	recent := c.coldArrivals[inc][:0]
	for _, at := range c.coldArrivals[inc] {
		if e.At.Sub(at) < ColdWindow {
			recent = append(recent, at)
		}
	}
	c.coldArrivals[inc] = append(recent, e.At)
	if len(c.coldArrivals[inc]) == c.settings.ColdLimit+1 && !c.mayBeDelayed(e.Target, e.At.Add(-ColdWindow), e.At) {
		c.addViolation("FAILBACK", "%s received %d requests within a second while cold", e.Target, len(c.coldArrivals[inc]))
	}
}

// mayBeDelayed reports whether a fault of any VM, or of the target or its link, may have delayed bytes to the target
// between from and to.
func (c *Checker) mayBeDelayed(target types.Target, from, to time.Time) bool {
	return c.faultOverlaps(from, to, LossSlack, func(f FaultInterval) bool {
		return f.Scope == ScopeVM || (f.Scope == ScopeTarget && f.Target == target)
	})
}

func (c *Checker) recordEnd(e RequestEnded) {
	r := c.requests[e.ID]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	c.ended = append(c.ended, e)
	if e.Closed {
		c.checkLoss(r, e)
		return
	}
	switch e.Status {
	case 429, 503, 408, 421:
		r.refused = true
		if r.runs > 0 && !r.sent.Idempotent {
			c.addViolation("REFUSED", "%s was answered %d although it ran", e.ID, e.Status)
		}
	}
	body, signed := r.signatures[e.Signature]
	switch {
	case e.Status/100 == 2 && !signed:
		c.addViolation("MIXED", "%s was answered %d with signature %q, which no target returned for it", e.ID, e.Status, e.Signature)
	case e.Status/100 == 2 && body != e.Body:
		c.addViolation("MIXED", "%s was answered with another body: %q", e.ID, e.Body)
	}
}

// checkLoss checks a connection that closed without an answer. It is a violation unless a fault other than a planned stop
// affected the VM, or a target that received the request.
func (c *Checker) checkLoss(r *requestRecord, e RequestEnded) {
	if r.arrivals == 0 && e.At.Sub(r.sent.At) < LossSlack {
		return
	}
	affected := c.faultOverlaps(r.sent.At, e.At, SettleTime, func(f FaultInterval) bool {
		return (f.Scope == ScopeTarget && slices.Contains(r.targets, f.Target)) || (f.Scope == ScopeVM && f.VM == r.sent.VM && !f.Planned)
	})
	if affected {
		return
	}
	c.addViolation("LOST", "%s got no answer from VM %d after %v, %d arrivals", e.ID, r.sent.VM, e.At.Sub(r.sent.At), r.arrivals)
}

// checkRetries checks the number of arrivals beyond the first of each request, in any span of retryWindow.
func (c *Checker) checkRetries() {
	first, sent := 0, 0
	for i, at := range c.repeatTimes {
		for at.Sub(c.repeatTimes[first]) > retryWindow {
			first++
		}
		for sent < len(c.issued) && c.issued[sent].Before(at) {
			sent++
		}
		issued := 0
		for k := sent - 1; k >= 0 && at.Sub(c.issued[k]) < retryWindow; k-- {
			issued++
		}
		if n := float64(i - first + 1); n > c.settings.RetryRatio*float64(issued)+c.settings.RetrySlack {
			c.addViolation("BUDGET", "%v repeated arrivals for %d requests in %v", n, issued, retryWindow)
			return
		}
	}
}

// SuccessShare returns the share of the requests ended after since that succeeded, and the number of requests ended.
func (c *Checker) SuccessShare(since time.Time) (share float64, n int) {
	succeeded := 0
	for i := len(c.ended) - 1; i >= 0 && c.ended[i].At.After(since); i-- {
		n++
		if e := c.ended[i]; !e.Closed && e.Status/100 == 2 {
			succeeded++
		}
	}
	return float64(succeeded) / float64(max(n, 1)), n
}

// recordGrant records a grant that a target has received.
func (c *Checker) recordGrant(e standin.KeysGranted) {
	inc := incarnation{e.Target, e.Incarnation}
	for _, text := range c.ownership.recordGrant(inc, e, c.mayBeDelayed(e.Target, e.At.Add(-OverlapTime), e.At)) {
		c.addViolation("OWNER", "%s", text)
	}
}
