package load

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func planOf(services ...config.Service) Plan {
	return Plan{
		Services: services,
		Gateways: []string{"gateway-1", "gateway-2"},
		Mix:      []Share{{Class: types.ClassLookup, Part: 3}, {Class: types.ClassOrder, Part: 1}},
		Keys:     100,
		Skew:     DefaultSkew,
		Seed:     7,
		Name:     "run",
	}
}

var (
	orders  = config.Service{Name: "bodega", WriteClass: "order"}
	lookups = config.Service{Name: "catalogo", WriteClass: "lookup"}
)

// Guards against runs with one seed that differ, and against shares of classes that are not kept.
func TestPlanIsRepeatableAndKeepsItsShares(t *testing.T) {
	is := is.New(t)
	a, err := newPlanner(planOf(orders, lookups))
	is.NoErr(err)
	b, err := newPlanner(planOf(orders, lookups))
	is.NoErr(err)
	classes := map[types.Class]int{}
	keys := map[string]int{}
	const calls = 10_000
	for range calls {
		x := a.call(time.Time{})
		is.Equal(x, b.call(time.Time{}))
		classes[x.class]++
		keys[x.key]++
		is.True(x.class == types.ClassLookup || x.service == orders.Name)
	}
	is.True(classes[types.ClassOrder] > calls/5 && classes[types.ClassOrder] < calls*3/10) // a quarter is asked for
	is.True(keys["bodega-0"] > keys["bodega-1"] && keys["bodega-1"] > keys["bodega-20"])
}

// Guards against a mix that no service can serve, or that is misspelt, being run as something else.
func TestMixIsChecked(t *testing.T) {
	is := is.New(t)
	_, err := newPlanner(planOf(lookups))
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
	for _, text := range []string{"", "order", "order=0", "order=-1", "order=NaN", "order=Inf", "orders=1"} {
		_, err := ParseMix(text)
		is.Equal(types.CodeOf(err), types.CodeBadSettings)
	}
	mix, err := ParseMix("lookup=70,confirmation=0.5")
	is.NoErr(err)
	is.Equal(mix, []Share{{Class: types.ClassLookup, Part: 70}, {Class: types.ClassConfirmation, Part: 0.5}})
}

// Guards against a comparison of different keys, and against one path always going first.
func TestComparisonAlternates(t *testing.T) {
	is := is.New(t)
	p, err := newPlanner(planOf(orders))
	is.NoErr(err)
	targets := map[string]string{}
	for n := range 100 {
		targets[keyOf(orders.Name, uint64(n))] = "target"
	}
	next := alternate(p, targets)
	var first []Path
	for range 4 {
		a, b := next(time.Unix(1, 0)), next(time.Unix(2, 0))
		is.True(a.path != b.path)
		is.Equal(a.key, b.key)
		is.Equal(b.due, time.Unix(2, 0))
		is.True((a.path == PathDirect) == (a.address == "target"))
		first = append(first, a.path)
	}
	is.Equal(first, []Path{PathGateway, PathDirect, PathGateway, PathDirect})
}

// Guards against latencies that leave out the wait before the sending, and against quick refusals hiding slow answers.
func TestFigures(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(0, 0)
	f := newFigures(begin)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	f.add(result{call: call{due: at(0)}, outcome: "done", sent: at(30), ended: at(40)})
	f.add(result{call: call{due: at(0)}, outcome: "not-run", code: "overloaded", sent: at(0), ended: at(1)})
	f.add(result{call: call{due: at(0)}, outcome: "unknown", sent: at(0), ended: at(2)})
	r := f.ByClass()
	all := r.Rows[len(r.Rows)-1]
	is.Equal(all.Calls, uint64(3))
	is.True(all.RefusalTime.Max >= 999 && all.RefusalTime.Max <= 1001) // 1 ms within three digits
	is.Equal(all.Codes["overloaded"], uint64(1))
	is.True(all.Latency.P50 >= 39_900 && all.Latency.P50 <= 40_100)  // 40 ms within three digits
	is.True(all.CallTime.P50 >= 9_990 && all.CallTime.P50 <= 10_010) // 10 ms within three digits
	is.Equal(r.Seconds, 0.04)
	is.Equal(r.Done("all"), uint64(1))
}

// Guards against outages that end too early or never, and against results that arrive out of order.
func TestOutages(t *testing.T) {
	is := is.New(t)
	o := newOutages()
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	add := func(key, outcome string, due, ended int) {
		o.add(result{call: call{key: key, due: at(due)}, outcome: outcome, ended: at(ended)})
	}
	add("a", "done", 10, 11)
	add("a", "unknown", 9, 12) // overtaken by the call that was done
	is.Equal(o.report(), Outages{})
	add("a", "not-run", 14, 14)
	add("a", "not-run", 13, 15)
	add("a", "done", 12, 16) // was due before the outage
	is.Equal(o.report().Open, 1)
	add("b", "not-run", 13, 13)
	add("a", "done", 15, 17)
	r := o.report()
	is.Equal(r.Ended, int64(1))
	is.Equal(r.Open, 1)
	is.True(r.Time.Max >= 3.99e6 && r.Time.Max <= 4.01e6) // 4 s from 13 to 17, within three digits
}

// Guards against a skew that is no distribution, and against skewed choices when none are wanted.
func TestSkew(t *testing.T) {
	is := is.New(t)
	plan := planOf(orders)
	plan.Skew = 1
	_, err := newPlanner(plan)
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
	plan.Skew, plan.Keys = 0, 2
	p, err := newPlanner(plan)
	is.NoErr(err)
	first := 0
	for range 1000 {
		if p.call(time.Time{}).key == "bodega-0" {
			first++
		}
	}
	is.True(first > 400 && first < 600) // half are expected
}

// gateway answers like a gateway whose lookups are done by target t1 and whose orders are refused.
func gateway(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outcome, status, body := "done", http.StatusOK, "{}"
		if r.Method == http.MethodPost {
			outcome, status, body = "not-run", http.StatusServiceUnavailable, `{"code":"overloaded"}`
		}
		w.Header().Set(headerOutcome, outcome)
		w.Header().Set(headerServedBy, "t1")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// someCalls is 50 calls at a rate that any machine keeps up with; no verdict depends on their times.
var someCalls = Pace{PerSecond: 1000, Duration: 50 * time.Millisecond, Workers: 8, Timeout: time.Minute}

// Guards against calls that are neither reported nor counted as skipped.
func TestRunReportsEveryCall(t *testing.T) {
	is := is.New(t)
	plan := planOf(orders)
	plan.Gateways = []string{gateway(t)}
	r, err := Run(t.Context(), plan, someCalls)
	is.NoErr(err)
	all := r.Rows[len(r.Rows)-1]
	is.Equal(all.Calls+r.Skipped, uint64(50))
	is.Equal(all.Outcomes["done"]+all.Outcomes["not-run"], all.Calls)
	is.Equal(all.Codes["overloaded"], all.Outcomes["not-run"])
	var table, line bytes.Buffer
	is.NoErr(r.PrintTable(&table))
	is.NoErr(r.PrintJSON(&line))
	is.True(strings.Contains(table.String(), "overloaded"))
}

// Guards against a comparison whose direct calls do not reach the target that serves the key.
func TestCompare(t *testing.T) {
	is := is.New(t)
	direct := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(target.HeaderKey) == "" {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer direct.Close()
	service := orders
	service.Targets = []config.Target{{Name: "t1", Address: strings.TrimPrefix(direct.URL, "http://")}}
	plan := planOf(service)
	plan.Gateways = []string{gateway(t)}
	r, err := Compare(t.Context(), plan, someCalls)
	is.NoErr(err)
	is.Equal(r.Done("gateway")+r.Done("direct")+r.Skipped, uint64(50))
	is.True(r.Added != nil)
	service.ChecksGrants = true
	_, err = Compare(t.Context(), planOf(service), someCalls)
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
}

// Guards against a call without an answer being left out of the report.
func TestNoAnswer(t *testing.T) {
	is := is.New(t)
	plan := planOf(orders)
	plan.Gateways = []string{"127.0.0.1:1"}
	r, err := Run(t.Context(), plan, someCalls)
	is.NoErr(err)
	all := r.Rows[len(r.Rows)-1]
	is.Equal(all.Outcomes["unknown"], all.Calls)
	is.Equal(all.Codes[codeNoAnswer], all.Calls)
}

// Guards against panics on malformed configurations, and against names that choose other services.
func FuzzDecodeServices(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"bodega"}]}`), "bodega")
	f.Add([]byte(`{`), "")
	f.Fuzz(func(t *testing.T, data []byte, names string) {
		services, err := decodeServices(data, names)
		if err == nil && names != "" && len(services) != strings.Count(names, ",")+1 {
			t.Fatalf("%q chose %d services", names, len(services))
		}
	})
}

// Guards against shares that are not positive numbers.
func FuzzParseMix(f *testing.F) {
	f.Add("lookup=70,order=25,confirmation=5")
	f.Fuzz(func(t *testing.T, text string) {
		mix, err := ParseMix(text)
		for _, s := range mix {
			if err == nil && !(s.Part > 0) {
				t.Fatalf("%q gave %+v", text, mix)
			}
		}
	})
}
