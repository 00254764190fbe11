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

// testPlan returns a plan with three lookups for each order.
func testPlan(services ...config.Service) Plan {
	return Plan{
		Services: services,
		Gateways: []string{"gateway-1", "gateway-2"},
		Mix:      []Share{{Class: types.ClassLookup, Weight: 3}, {Class: types.ClassOrder, Weight: 1}},
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

// Guards against runs with equal seeds that make different calls, and against classes that do not get their shares.
func TestEqualPlansMakeEqualCallsInTheRequestedShares(t *testing.T) {
	is := is.New(t)
	a, err := newGenerator(testPlan(orders, lookups))
	is.NoErr(err)
	b, err := newGenerator(testPlan(orders, lookups))
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
	is.True(classes[types.ClassOrder] > calls/5 && classes[types.ClassOrder] < calls*3/10) // a quarter is expected
	is.True(keys["bodega-0"] > keys["bodega-1"] && keys["bodega-1"] > keys["bodega-20"])
}

// Guards against a misspelt mix, or one that no service accepts, being run as another mix.
func TestInvalidMixIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := newGenerator(testPlan(lookups))
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
	for _, text := range []string{"", "order", "order=0", "order=-1", "order=NaN", "order=Inf", "orders=1"} {
		_, err := ParseMix(text)
		is.Equal(types.CodeOf(err), types.CodeBadSettings)
	}
	mix, err := ParseMix("lookup=70,confirmation=0.5")
	is.NoErr(err)
	is.Equal(mix, []Share{{Class: types.ClassLookup, Weight: 70}, {Class: types.ClassConfirmation, Weight: 0.5}})
}

// Guards against pairs whose calls have different keys, and against one path always going first.
func TestCompareAlternatesPaths(t *testing.T) {
	is := is.New(t)
	g, err := newGenerator(testPlan(orders))
	is.NoErr(err)
	addresses := map[string]string{}
	for n := range 100 {
		addresses[keyName(orders.Name, uint64(n))] = "target"
	}
	next := alternate(g, addresses)
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

// Guards against latencies that leave out the time between due and sent, and against quick refusals that hide slow
// answers.
func TestStatsSeparateLatencyCallTimeAndRefusals(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(0, 0)
	s := newStats(begin)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	s.add(result{call: call{due: at(0)}, outcome: "done", sent: at(30), ended: at(40)})
	s.add(result{call: call{due: at(0)}, outcome: "not-run", code: "overloaded", sent: at(0), ended: at(1)})
	s.add(result{call: call{due: at(0)}, outcome: "unknown", sent: at(0), ended: at(2)})
	r := s.ByClass()
	all := r.Rows[len(r.Rows)-1]
	is.Equal(all.Calls, uint64(3))
	is.True(all.RefusalTime.Max >= 999 && all.RefusalTime.Max <= 1001) // 1 ms within three digits
	is.Equal(all.Codes["overloaded"], uint64(1))
	is.True(all.Latency.P50 >= 39_900 && all.Latency.P50 <= 40_100)  // 40 ms within three digits
	is.True(all.CallTime.P50 >= 9_990 && all.CallTime.P50 <= 10_010) // 10 ms within three digits
	is.Equal(r.Seconds, 0.04)
	is.Equal(r.Done("all"), uint64(1))
}

// Guards against outages that end too early or never, also when results arrive out of order.
func TestOutageEndsWithNextDoneCall(t *testing.T) {
	is := is.New(t)
	o := newOutageTracker()
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	add := func(key, outcome string, due, ended int) {
		o.add(result{call: call{key: key, due: at(due)}, outcome: outcome, ended: at(ended)})
	}
	add("a", "done", 10, 11)
	add("a", "unknown", 9, 12) // due before a call that was done already
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

// Guards against a skew for which no Zipf distribution exists, and against skewed keys with a skew of 0.
func TestSkewIsCheckedAndZeroIsUniform(t *testing.T) {
	is := is.New(t)
	plan := testPlan(orders)
	plan.Skew = 1
	_, err := newGenerator(plan)
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
	plan.Skew, plan.Keys = 0, 2
	g, err := newGenerator(plan)
	is.NoErr(err)
	first := 0
	for range 1000 {
		if g.call(time.Time{}).key == "bodega-0" {
			first++
		}
	}
	is.True(first > 400 && first < 600) // half are expected
}

// startGateway starts a gateway whose lookups are done by target t1 and whose orders are refused, and returns its
// address.
func startGateway(t *testing.T) string {
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

// fiftyCalls schedules 50 calls at a rate that slow machines keep up with. No assertion depends on their times.
var fiftyCalls = Options{PerSecond: 1000, Duration: 50 * time.Millisecond, Workers: 8, Timeout: time.Minute}

// Guards against calls that are neither reported nor counted as skipped.
func TestRunReportsEveryCall(t *testing.T) {
	is := is.New(t)
	plan := testPlan(orders)
	plan.Gateways = []string{startGateway(t)}
	r, err := Run(t.Context(), plan, fiftyCalls)
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

// Guards against direct calls that do not reach the target that serves the key, and against a comparison with targets
// that check grants.
func TestCompareCallsTargetsDirectly(t *testing.T) {
	is := is.New(t)
	direct := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(target.HeaderKey) == "" {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer direct.Close()
	service := orders
	service.Targets = []config.Target{{Name: "t1", Address: strings.TrimPrefix(direct.URL, "http://")}}
	plan := testPlan(service)
	plan.Gateways = []string{startGateway(t)}
	r, err := Compare(t.Context(), plan, fiftyCalls)
	is.NoErr(err)
	is.Equal(r.Done("gateway")+r.Done("direct")+r.Skipped, uint64(50))
	is.True(r.Added != nil)
	service.ChecksGrants = true
	_, err = Compare(t.Context(), testPlan(service), fiftyCalls)
	is.Equal(types.CodeOf(err), types.CodeBadSettings)
}

// Guards against calls without an answer that are missing from the report.
func TestUnansweredCallIsReported(t *testing.T) {
	is := is.New(t)
	plan := testPlan(orders)
	plan.Gateways = []string{"127.0.0.1:1"}
	r, err := Run(t.Context(), plan, fiftyCalls)
	is.NoErr(err)
	all := r.Rows[len(r.Rows)-1]
	is.Equal(all.Outcomes["unknown"], all.Calls)
	is.Equal(all.Codes[codeNoAnswer], all.Calls)
}

// Guards against panics on malformed configurations, and against names that select other services.
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
			if err == nil && !(s.Weight > 0) {
				t.Fatalf("%q gave %+v", text, mix)
			}
		}
	})
}
