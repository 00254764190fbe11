// Package check judges what callers and targets see. A Checker is a core without I/O: it is given events and returns the
// promises that they break.
//
// Bounds hold for VMs and targets in touch: those that no fault has harmed for ContactTime. What must hold at any time,
// such as that a request that may run once does not run twice, is checked regardless of faults.
package check

import (
	"fmt"
	"slices"
	"time"

	"sequoiasail.example/platform/standin"
	"sequoiasail.example/types"
)

// Bounds of the users' rules.
const (
	// ContactTime is how long after a fault a VM counts as harmed.
	ContactTime = 3 * time.Second
	// DrainTime is how long after the store has accepted a target's leaving requests may reach it.
	DrainTime = 2500 * time.Millisecond
	// ApplyTime is how long after the store has accepted a configuration an older one may be obeyed.
	ApplyTime = 2500 * time.Millisecond
	// SharedTime is how long two targets may both hold a key.
	SharedTime = 500 * time.Millisecond
	// ColdWindow is the span over which the requests to a cold target are counted.
	ColdWindow = time.Second
	// LossSlack is how long after a request was sent its connection may close with it unread.
	LossSlack = 200 * time.Millisecond
	// retryWindow is the span over which repeated requests are counted.
	retryWindow = 10 * time.Second
)

// Settings are the figures that the VMs were given.
type Settings struct {
	// ColdLimit is the most requests that a cold target may get in ColdWindow.
	ColdLimit int
	// RetryRatio and RetrySlack bound repeated arrivals.
	RetryRatio, RetrySlack float64
}

// Events besides those of targets.
type (
	// Sent reports that a caller has sent a request to a VM.
	Sent struct {
		ID         types.RequestID
		VM         int
		Method     string
		URI        string
		Body       string
		Route      string
		Idempotent bool
		At         time.Time
	}
	// Got reports how it ended for the caller. Closed is true when the connection ended without a whole answer.
	Got struct {
		ID        types.RequestID
		Status    int
		Signature string
		Body      string
		Closed    bool
		At        time.Time
	}
	// Left reports that the store has accepted that a target leaves.
	Left struct {
		Target types.Target
		At     time.Time
	}
	// Down reports the end of a life of a target.
	Down struct {
		Target      types.Target
		Incarnation int64
		At          time.Time
	}
	// Proposed reports that a configuration is sent to the store, as the service of each route. From then on it may be in
	// force.
	Proposed struct{ Routes map[string]types.Service }
	// Configured reports that the store has accepted the configuration that was proposed last.
	Configured struct{ At time.Time }
	// Exited reports a process that ended although it was not killed, other than by a planned stop with exit code 0.
	Exited struct {
		VM      int
		Planned bool
		How     string
	}
	// Trouble reports a fault that may last until Until.
	Trouble struct {
		Scope Scope
		// VM or Target name what is harmed, by Scope.
		VM     int
		Target types.Target
		// Planned is true for a planned stop.
		Planned bool
		At      time.Time
		Until   time.Time
	}
)

// Scope says what a fault harms.
type Scope uint8

// Scopes of faults.
const (
	OfStore Scope = iota
	OfVM
	OfTarget
)

// Violation is a promise that was broken.
type Violation struct {
	Rule string
	Text string
}

func (v Violation) String() string { return v.Rule + ": " + v.Text }

// life identifies one life of a target.
type life struct {
	target types.Target
	number int64
}

// journey is what is known of one request.
type journey struct {
	sent     Sent
	ended    bool
	runs     int
	arrivals int
	// signatures holds the body of each answer that a target has given, by its signature.
	signatures map[string]string
	// refused is true once its caller was told that it has not run.
	refused bool
}

// configuration is one that may be in force. accepted is zero while the store has not said so.
type configuration struct {
	routes   map[string]types.Service
	accepted time.Time
}

// Checker judges a run. It is owned by one goroutine.
type Checker struct {
	settings Settings
	requests map[types.RequestID]*journey
	asked    []time.Time
	repeats  []time.Time
	left     map[types.Target]time.Time
	configs  []configuration
	troubles []Trouble
	owners   owners
	cold     map[life][]time.Time
	found    []Violation
	// ended holds the ends of all requests, for the check of the recovery.
	ended []Got
}

// New returns a checker that has seen nothing.
func New(s Settings) *Checker {
	return &Checker{
		settings: s, requests: make(map[types.RequestID]*journey), left: make(map[types.Target]time.Time),
		owners: newOwners(), cold: make(map[life][]time.Time),
	}
}

// Found returns the broken promises so far.
func (c *Checker) Found() []Violation { return c.found }

func (c *Checker) fail(rule, format string, args ...any) {
	c.found = append(c.found, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// Step applies an event.
func (c *Checker) Step(event any) {
	switch e := event.(type) {
	case Sent:
		c.requests[e.ID] = &journey{sent: e, signatures: make(map[string]string)}
		c.asked = append(c.asked, e.At)
	case Got:
		c.end(e)
	case standin.RequestStarted:
		c.run(e)
	case standin.RequestReceived:
		c.arrive(e)
	case standin.KeysGranted:
		c.hold(e)
	case standin.KeysReleased:
		c.owners.release(life{e.Target, e.Incarnation}, e.From, e.To, e.At)
	case Left:
		c.left[e.Target] = e.At
	case Down:
		c.owners.end(life{e.Target, e.Incarnation}, e.At)
	case Proposed:
		c.configs = append(c.configs, configuration{routes: e.Routes})
	case Configured:
		c.configs[len(c.configs)-1].accepted = e.At
	case Exited:
		c.fail("EXIT", "VM %d ended: %s, planned: %v", e.VM, e.How, e.Planned)
	case Trouble:
		c.troubles = append(c.troubles, e)
	}
}

// Finish judges what shows only at the end.
func (c *Checker) Finish(now time.Time) {
	for _, o := range c.owners.finish(now) {
		c.fail("OWNER", "%s", o)
	}
	c.checkRetries()
}

// troubled reports whether a fault that concerns the question lay in a span, or ended less than a time before it.
func (c *Checker) troubled(from, to time.Time, after time.Duration, concerns func(Trouble) bool) bool {
	return slices.ContainsFunc(c.troubles, func(t Trouble) bool {
		return concerns(t) && t.At.Before(to) && t.Until.Add(after).After(from)
	})
}

// calm reports whether no fault of the store, of the VM or of the target lay in a span or in ContactTime before it.
func (c *Checker) calm(vm int, target types.Target, from, to time.Time) bool {
	return !c.troubled(from, to, ContactTime, func(t Trouble) bool {
		return t.Scope == OfStore || (t.Scope == OfVM && t.VM == vm) || (t.Scope == OfTarget && t.Target == target)
	})
}

func (c *Checker) run(e standin.RequestStarted) {
	j := c.requests[e.ID]
	if j == nil {
		c.fail("UNASKED", "%s ran %s, which no caller has sent", e.Target, e.ID)
		return
	}
	j.runs++
	s := j.sent
	if e.Method != s.Method || e.URI != s.URI || e.Body != s.Body {
		c.fail("UNASKED", "%s ran %s changed: %s %s %q", e.Target, e.ID, e.Method, e.URI, e.Body)
	}
	if j.runs > 1 && !s.Idempotent {
		c.fail("TWICE", "%s ran %s again", e.Target, e.ID)
	}
	if j.refused && !s.Idempotent {
		c.fail("REFUSED", "%s ran %s after its caller was told that it has not run", e.Target, e.ID)
	}
	j.signatures[standin.Signature(e.Target, e.Incarnation, e.ID)] = standin.ResponseBody(e.Method, e.URI, e.Body)
	c.owners.run(life{e.Target, e.Incarnation}, e.Key)
	c.checkService(e, s)
}

func (c *Checker) checkService(e standin.RequestStarted, s Sent) {
	ever, now := false, false
	for i, config := range c.configs {
		if config.routes[s.Route] != e.Service {
			continue
		}
		ever = true
		replaced := slices.ContainsFunc(c.configs[i+1:], func(next configuration) bool {
			return !next.accepted.IsZero() && next.accepted.Add(ApplyTime).Before(s.At)
		})
		now = now || !replaced
	}
	switch {
	case !ever:
		c.fail("ROUTE", "%s of %s ran %s, to which route %s never led", e.Target, e.Service, e.ID, s.Route)
	case !now && c.calm(s.VM, "", s.At, e.At):
		c.fail("CONFIG", "%s ran %s by an old configuration at VM %d", e.Target, e.ID, s.VM)
	}
}

func (c *Checker) arrive(e standin.RequestReceived) {
	j := c.requests[e.ID]
	if j == nil {
		return
	}
	if j.arrivals++; j.arrivals > 1 {
		c.repeats = append(c.repeats, e.At)
	}
	if at, ok := c.left[e.Target]; ok && e.At.Sub(at) > DrainTime && c.calm(j.sent.VM, e.Target, at, e.At) {
		c.fail("DRAIN", "%s reached %s %v after it had said that it leaves, by VM %d", e.ID, e.Target, e.At.Sub(at), j.sent.VM)
	}
	if e.Cold {
		c.countCold(e)
	}
}

// countCold bounds the requests to a cold target in ColdWindow. Requests that were held up on their way come together.
func (c *Checker) countCold(e standin.RequestReceived) {
	l := life{e.Target, e.Incarnation}
	recent := c.cold[l][:0]
	for _, at := range c.cold[l] {
		if e.At.Sub(at) < ColdWindow {
			recent = append(recent, at)
		}
	}
	c.cold[l] = append(recent, e.At)
	if len(c.cold[l]) == c.settings.ColdLimit+1 && !c.late(e.Target, e.At.Add(-ColdWindow), e.At) {
		c.fail("FAILBACK", "%s got %d requests within a second while cold", e.Target, len(c.cold[l]))
	}
}

// late reports whether bytes to a target may have been held up in a span, by a fault of its link or of any VM.
func (c *Checker) late(target types.Target, from, to time.Time) bool {
	return c.troubled(from, to, LossSlack, func(t Trouble) bool {
		return t.Scope == OfVM || (t.Scope == OfTarget && t.Target == target)
	})
}

func (c *Checker) end(g Got) {
	j := c.requests[g.ID]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	c.ended = append(c.ended, g)
	if g.Closed {
		c.checkLoss(j, g)
		return
	}
	switch g.Status {
	case 429, 503, 408, 421:
		j.refused = true
		if j.runs > 0 && !j.sent.Idempotent {
			c.fail("REFUSED", "%s was answered %d and has run", g.ID, g.Status)
		}
	}
	body, signed := j.signatures[g.Signature]
	switch {
	case g.Status/100 == 2 && !signed:
		c.fail("MIXED", "%s was answered %d with signature %q, which no target gave", g.ID, g.Status, g.Signature)
	case g.Status/100 == 2 && body != g.Body:
		c.fail("MIXED", "%s was answered with another body: %q", g.ID, g.Body)
	}
}

// checkLoss judges a connection that ended without an answer: nothing but planned work may have harmed the VM.
func (c *Checker) checkLoss(j *journey, g Got) {
	if j.arrivals == 0 && g.At.Sub(j.sent.At) < LossSlack {
		return
	}
	harmed := c.troubled(j.sent.At, g.At, ContactTime, func(t Trouble) bool {
		return t.Scope == OfTarget || (t.Scope == OfVM && t.VM == j.sent.VM && !t.Planned)
	})
	if harmed {
		return
	}
	c.fail("LOST", "%s got no answer from VM %d after %v, %d arrivals", g.ID, j.sent.VM, g.At.Sub(j.sent.At), j.arrivals)
}

// checkRetries bounds the arrivals beyond the first of each request in any retryWindow.
func (c *Checker) checkRetries() {
	first, sent := 0, 0
	for i, at := range c.repeats {
		for at.Sub(c.repeats[first]) > retryWindow {
			first++
		}
		for sent < len(c.asked) && c.asked[sent].Before(at) {
			sent++
		}
		asked := 0
		for k := sent - 1; k >= 0 && at.Sub(c.asked[k]) < retryWindow; k-- {
			asked++
		}
		if n := float64(i - first + 1); n > c.settings.RetryRatio*float64(asked)+c.settings.RetrySlack {
			c.fail("BUDGET", "%v repeated arrivals beside %d requests in %v", n, asked, retryWindow)
			return
		}
	}
}

// Served returns the shares of the requests that ended with a success since a time, and their number.
func (c *Checker) Served(since time.Time) (share float64, n int) {
	good := 0
	for i := len(c.ended) - 1; i >= 0 && c.ended[i].At.After(since); i-- {
		n++
		if g := c.ended[i]; !g.Closed && g.Status/100 == 2 {
			good++
		}
	}
	return float64(good) / float64(max(n, 1)), n
}

func (c *Checker) hold(e standin.KeysGranted) {
	l := life{e.Target, e.Incarnation}
	for _, text := range c.owners.hold(l, e, c.late(e.Target, e.At.Add(-SharedTime), e.At)) {
		c.fail("OWNER", "%s", text)
	}
}
