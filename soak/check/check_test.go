package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/platform/standin"
	"sequoiasail.example/types"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// violatedRules returns the rules that the events violate, in the order of the violations.
func violatedRules(events ...any) []string {
	c := New(Settings{ColdLimit: 3, RetryRatio: 0.2, RetrySlack: 2})
	c.Step(ConfigProposed{Routes: map[string]types.Service{"maps": "maps", "orders": "orders"}})
	c.Step(ConfigAccepted{At: at(0)})
	for _, e := range events {
		c.Step(e)
	}
	c.Finish(at(60000))
	rules := []string{}
	for _, v := range c.FoundViolations() {
		rules = append(rules, v.Rule)
	}
	return rules
}

func sent(id types.RequestID, route string, ms int) RequestSent {
	return RequestSent{ID: id, Method: "GET", URI: "/", Route: route, Idempotent: route == "maps", At: at(ms)}
}

func ran(id types.RequestID, target types.Target, service types.Service, key uint16, ms int) standin.RequestStarted {
	return standin.RequestStarted{ID: id, Target: target, Incarnation: 1, Service: service, Method: "GET", URI: "/", Key: key, At: at(ms)}
}

func arrived(id types.RequestID, target types.Target, ms int) standin.RequestReceived {
	return standin.RequestReceived{ID: id, Target: target, Incarnation: 1, At: at(ms)}
}

func granted(target types.Target, from, to uint16, fence types.Epoch, ms, untilMs int) standin.KeysGranted {
	return standin.KeysGranted{Target: target, Incarnation: 1, From: from, To: to, Fence: fence, At: at(ms), Until: at(untilMs)}
}

// Guards against a checker that misses a violated guarantee, and against one that reports allowed behaviour.
func TestChecker(t *testing.T) {
	answer := standin.ResponseBody("GET", "/", "")
	signature := standin.Signature("t1", 1, "r1")
	vmFault := FaultInterval{Scope: ScopeVM, At: at(0), Until: at(2000)}
	for name, test := range map[string]struct {
		events []any
		want   []string
	}{
		"served":                {[]any{sent("r1", "orders", 1), ran("r1", "t1", "orders", 0, 2), RequestEnded{ID: "r1", Status: 200, Signature: signature, Body: answer, At: at(3)}}, nil},
		"memory over the limit": {[]any{MemoryExceeded{VM: 1, MB: 97, Limit: 96}}, []string{"MEMORY"}},
		"no signature":          {[]any{sent("r1", "orders", 1), ran("r1", "t1", "orders", 0, 2), RequestEnded{ID: "r1", Status: 200, Body: answer, At: at(3)}}, []string{"MIXED"}},
		"other body":            {[]any{sent("r1", "orders", 1), ran("r1", "t1", "orders", 0, 2), RequestEnded{ID: "r1", Status: 200, Signature: signature, Body: "x", At: at(3)}}, []string{"MIXED"}},
		"twice":                 {[]any{sent("r1", "orders", 1), ran("r1", "t1", "orders", 0, 2), ran("r1", "t2", "orders", 0, 4)}, []string{"TWICE"}},
		"repeated read":         {[]any{sent("r1", "maps", 1), ran("r1", "t1", "maps", 0, 2), ran("r1", "t2", "maps", 0, 4)}, nil},
		"refused and run":       {[]any{sent("r1", "orders", 1), ran("r1", "t1", "orders", 0, 2), RequestEnded{ID: "r1", Status: 503, At: at(3)}}, []string{"REFUSED"}},
		"refused, run later":    {[]any{sent("r1", "orders", 1), RequestEnded{ID: "r1", Status: 503, At: at(3)}, ran("r1", "t1", "orders", 0, 9)}, []string{"REFUSED"}},
		"never sent":            {[]any{ran("r1", "t1", "orders", 0, 2)}, []string{"UNASKED"}},
		"other service":         {[]any{sent("r1", "orders", 1), ran("r1", "t1", "maps", 0, 2)}, []string{"ROUTE"}},
		"old configuration":     {[]any{ConfigProposed{Routes: map[string]types.Service{"orders": "spare"}}, ConfigAccepted{At: at(100)}, sent("r1", "orders", 2700), ran("r1", "t1", "orders", 0, 2701)}, []string{"CONFIG"}},
		"not yet accepted":      {[]any{ConfigProposed{Routes: map[string]types.Service{"orders": "spare"}}, sent("r1", "orders", 2700), ran("r1", "t1", "spare", 0, 2701)}, nil},
		"old, VM affected":      {[]any{vmFault, ConfigProposed{Routes: map[string]types.Service{"orders": "spare"}}, ConfigAccepted{At: at(100)}, sent("r1", "orders", 2700), ran("r1", "t1", "orders", 0, 2701)}, nil},
		"drained":               {[]any{TargetDraining{Target: "t1", At: at(0)}, sent("r1", "maps", 2400), arrived("r1", "t1", 2600)}, []string{"DRAIN"}},
		"drained, in time":      {[]any{TargetDraining{Target: "t1", At: at(0)}, sent("r1", "maps", 2400), arrived("r1", "t1", 2450)}, nil},
		"closed":                {[]any{sent("r1", "orders", 1), RequestEnded{ID: "r1", Closed: true, At: at(300)}}, []string{"LOST"}},
		"closed when sent":      {[]any{sent("r1", "orders", 1), RequestEnded{ID: "r1", Closed: true, At: at(100)}}, nil},
		"closed, VM affected":   {[]any{vmFault, sent("r1", "orders", 2500), RequestEnded{ID: "r1", Closed: true, At: at(2900)}}, nil},
		"two owners":            {[]any{granted("t1", 0, 9, 1, 0, 5000), granted("t2", 5, 20, 2, 100, 5000)}, []string{"OWNER"}},
		"two owners run":        {[]any{sent("r1", "maps", 1), sent("r2", "maps", 1), granted("t1", 0, 9, 1, 0, 400), granted("t2", 5, 20, 2, 100, 5000), ran("r1", "t1", "maps", 6, 120), ran("r2", "t2", "maps", 7, 130), granted("t2", 5, 20, 2, 300, 5000)}, []string{"OWNER"}},
		"handed over":           {[]any{granted("t1", 0, 9, 1, 0, 5000), standin.KeysReleased{Target: "t1", Incarnation: 1, To: 9, At: at(90)}, granted("t2", 5, 9, 2, 100, 5000)}, nil},
		"stopped owner":         {[]any{granted("t1", 0, 9, 1, 0, 5000), TargetStopped{Target: "t1", Incarnation: 1, At: at(90)}, granted("t2", 5, 9, 2, 100, 5000)}, nil},
		"expired":               {[]any{granted("t1", 0, 9, 1, 0, 5000), granted("t2", 5, 9, 2, 5001, 9000)}, nil},
		"fence too low":         {[]any{granted("t1", 0, 9, 3, 0, 50), granted("t2", 5, 9, 3, 5000, 9000)}, []string{"OWNER"}},
		"too many while cold":   {[]any{sent("r1", "maps", 1), cold("r1", 1), cold("r1", 2), cold("r1", 3), cold("r1", 4)}, []string{"FAILBACK", "BUDGET"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := violatedRules(test.events...)
			is.Equal(len(got), len(test.want))
			for i := range got {
				is.Equal(got[i], test.want[i])
			}
		})
	}
}

func cold(id types.RequestID, ms int) standin.RequestReceived {
	return standin.RequestReceived{ID: id, Target: "t1", Incarnation: 1, At: at(ms), Cold: true}
}
