package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/soak/link"
	"sequoiasail.example/soak/plan"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/types"
)

// Services that the targets provide. The spare service receives the route move after a configuration change.
const (
	mapsService   types.Service = "maps"
	ordersService types.Service = "orders"
	spareService  types.Service = "spare"
)

// Limits in the settings file of each VM, and the warm-up time and rate of the services in the configuration.
const (
	stopGracePeriod = 6 * time.Second
	maxGrantTTL     = 5 * time.Second
	// All VMs together may send retryRatio retries per request in retryWindow, plus retrySlack.
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
	// A cold target may receive warmupOvershoot times its warm-up rate, plus warmupSlack, within a second.
	warmupOvershoot = 1.5
	warmupSlack     = 5
	// A target warms up for warmupTime after its start. Meanwhile it accepts warmupRate requests per second.
	warmupTime = 2 * time.Second
	warmupRate = 6
)

// Parameters of the targets, the store and their clocks.
const (
	targetSlots       = 4
	targetQueue       = 8
	targetServiceTime = 25 * time.Millisecond
	// slowServiceTime is the service time of one request in slowPeriod in runs with planned work alone. It is a large part of
	// the stop grace period, so that requests may outlive a stop.
	slowServiceTime = 2500 * time.Millisecond
	slowPeriod      = 3
	// clockDrift is how much slower the clocks of targets run. It is the largest drift that the users' platform allows.
	clockDrift = 0.02
	// historyLimit is the number of changes that the store keeps for watches.
	historyLimit = 4096
	// mapsShare and ordersShare are cumulative: targets up to the first share serve maps, those up to the second orders,
	// and the remaining ones the spare service.
	mapsShare   = 0.5
	ordersShare = 0.75
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon.
	Binary string
	// Dir is the directory for the settings and logs of the VMs.
	Dir string
	// FaultPeriod is the time during which faults begin, MeanGap the mean time between two of them.
	FaultPeriod, MeanGap  time.Duration
	VMs, Targets, Callers int
	// PlannedWork limits the faults to planned work. Some requests then take slowServiceTime, and callers wait longer for
	// their answers and between two requests.
	PlannedWork bool
	// Crowds adds crowds of clients that keep to no limit to the faults. VMs then have crowdMemoryMB of memory and
	// crowdDescriptors descriptors, and a VM that takes more memory breaks MEMORY.
	Crowds bool
	// Departures adds removals of targets and partial outages of the store to the faults.
	Departures bool
}

// requestTimeout returns how long a caller waits for an answer.
func (o Options) requestTimeout() time.Duration {
	if o.PlannedWork {
		return patientRequestTimeout
	}
	return requestTimeout
}

// maxThinkTime returns the longest pause of caller number i between two requests. In runs with planned work alone every second
// caller pauses for seconds, so that its connection is idle while its VM stops.
func (o Options) maxThinkTime(i int) time.Duration {
	if o.PlannedWork && i%2 == 1 {
		return longThinkTime
	}
	return maxThinkTime
}

// DefaultOptions returns the default size: 6 VMs, 12 targets and 24 callers on one machine.
func DefaultOptions(seed uint64, binary, dir string) Options {
	return Options{
		Seed: seed, Binary: binary, Dir: dir, FaultPeriod: 12 * time.Second, MeanGap: 600 * time.Millisecond, VMs: 6, Targets: 12, Callers: 24,
	}
}

// services returns the services that every configuration contains.
func services() []standin.Service {
	var list []standin.Service
	for _, s := range []types.Service{mapsService, ordersService, spareService} {
		list = append(list, standin.Service{Name: s, Keyed: s == mapsService, ColdTime: warmupTime, ColdRate: warmupRate})
	}
	return list
}

// routes returns the routes of a configuration with the given timeout. The route move goes to the spare service if moved is
// true, else to orders.
func routes(moved bool, timeout time.Duration) []standin.Route {
	to := ordersService
	if moved {
		to = spareService
	}
	route := func(name string, idempotent bool, s types.Service) standin.Route {
		return standin.Route{
			Name: name, Host: "soak.example", Prefix: "/" + name + "/", Idempotent: idempotent, Service: s,
			Timeout: timeout, Attempts: 3,
		}
	}
	return []standin.Route{
		route("maps", true, mapsService), route("orders", false, ordersService), route("move", true, to),
	}
}

// runCount counts the runs of this process, so that each uses its own loopback addresses.
var runCount atomic.Uint32

// Run performs one run and returns its report. An error means that the soak itself failed, not that a guarantee was violated.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.VMs < 1 || o.VMs > 64 || o.Targets < 2*minTargets || o.Callers < 1 {
		return Report{}, types.NewFault(types.CodeBadSettings, "a run needs 1 to 64 VMs, at least %d targets and at least one caller", 2*minTargets)
	}
	tb := &testbed{options: o, group: duty.NewGroup(), events: ring.New[any](eventCapacity), run: runCount.Add(1)}
	logFile, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return Report{}, types.WrapFault(types.CodeInternal, err, "create log file")
	}
	defer logFile.Close()
	tb.logFile = logFile
	if err := tb.setUp(ctx); err != nil {
		return Report{}, err
	}
	if err := tb.group.Start(ctx); err != nil {
		return Report{}, err
	}
	report, err := tb.report(ctx)
	if abort := tb.group.Abort(context.WithoutCancel(ctx)); err == nil {
		err = abort
	}
	return report, err
}

// testbed holds what a run starts in this process: the store, links, targets, callers, the operator, the checker, and the
// duties that run the VM processes.
type testbed struct {
	options Options
	group   *duty.Group
	events  *ring.Ring[any]
	// run is the number of this run in the process.
	run     uint32
	logFile *os.File

	store    *backend.Server
	operator *operator
}

func (tb *testbed) logf(format string, args ...any) {
	fmt.Fprintf(tb.logFile, "%s "+format+"\n", append([]any{time.Now().UTC().Format(time.RFC3339Nano)}, args...)...)
}

func (tb *testbed) setUp(ctx context.Context) error {
	tb.store = backend.New(historyLimit)
	tb.group.Add((&checkerLoop{in: tb.events, checker: check.New(check.Settings{
		ColdLimit: warmupOvershoot*warmupRate + warmupSlack, RetryRatio: retryRatio, RetrySlack: retrySlack,
	})}).duty())
	tb.group.Add(tb.store.Duty())
	tb.operator = &operator{
		faults: plan.Generate(tb.options.Seed, plan.Size{
			VMs: tb.options.VMs, Targets: tb.options.Targets, FaultPeriod: tb.options.FaultPeriod, MeanGap: tb.options.MeanGap,
			PlannedWork: tb.options.PlannedWork, Crowds: tb.options.Crowds, Departures: tb.options.Departures,
		}),
		requestTimeout: tb.options.requestTimeout(),
		store:          tb.store, client: tb.store.Client("operator"), events: tb.events, logf: tb.logf, done: ring.New[outcome](1),
	}
	if err := tb.addVMs(ctx); err != nil {
		return err
	}
	if err := tb.addEndpoints(ctx); err != nil {
		return err
	}
	tb.addCallers()
	tb.group.Add(tb.operator.duty())
	return nil
}

// addLink adds the duties of a link that forwards to the server at an address.
func (tb *testbed) addLink(ctx context.Context, name, server string) (*link.Link, error) {
	l, err := standin.Listen(ctx)
	if err != nil {
		return nil, err
	}
	k := link.New(name, l, server)
	for _, d := range k.Duties() {
		tb.group.Add(d)
	}
	return k, nil
}

var dataCentres = []types.DataCentre{"north", "south"}

// addVMs adds the VMs with their links to the store and from the callers, and the rotation.
func (tb *testbed) addVMs(ctx context.Context) error {
	var urls, seedAddresses []string
	for i := range tb.options.VMs {
		s := standin.VM{
			Name: types.VM("vm-" + strconv.Itoa(i)), DataCentre: dataCentres[i%len(dataCentres)], DataCentres: dataCentres,
			IP: standin.LoopbackIP(tb.run, i), StopGracePeriod: stopGracePeriod, MaxGrantTTL: maxGrantTTL, RetryRatio: retryRatio, RetrySlack: retrySlack,
			RetryWindow: retryWindow, ColdOvershoot: warmupOvershoot, ColdSlack: warmupSlack,
		}
		seedAddresses = append(seedAddresses, s.ControlAddress())
		urls = append(urls, s.ReadyURL())
		s.Seeds = seedAddresses[:min(len(seedAddresses), 3)]
		storeListener, err := standin.Listen(ctx)
		if err != nil {
			return err
		}
		tb.group.Add(standin.StoreDuty(storeListener, tb.store, string(s.Name)))
		storeLink, err := tb.addLink(ctx, "store-"+string(s.Name), storeListener.Addr().String())
		if err != nil {
			return err
		}
		callerLink, err := tb.addLink(ctx, "callers-"+string(s.Name), s.CallerAddress())
		if err != nil {
			return err
		}
		if tb.options.Crowds {
			s.MemoryMB, s.MaxFDs = crowdMemoryMB, crowdDescriptors
			c := newCrowd(i, s.CallerAddress())
			tb.operator.crowds = append(tb.operator.crowds, c)
			tb.group.Add(c.duty())
		}
		s.StoreAddress = storeLink.Address()
		v := newVM(i, s, tb.options.Binary, tb.options.Dir, tb.events)
		tb.group.Add(v.duty())
		tb.operator.vms = append(tb.operator.vms, v)
		tb.operator.storeLinks = append(tb.operator.storeLinks, storeLink)
		tb.operator.callerLinks = append(tb.operator.callerLinks, callerLink)
	}
	tb.operator.rotation = newRotation(urls)
	tb.group.Add(tb.operator.rotation.duty())
	return nil
}

// addEndpoints adds the links at which the operator starts targets, and chooses their services.
func (tb *testbed) addEndpoints(ctx context.Context) error {
	for i := range tb.options.Targets {
		l, err := tb.addLink(ctx, "target-"+strconv.Itoa(i), "")
		if err != nil {
			return err
		}
		s := standin.TargetSettings{
			Service: spareService, DataCentre: dataCentres[i%len(dataCentres)], Slots: targetSlots, QueueLimit: targetQueue,
			ServiceTime: targetServiceTime, ClockDrift: clockDrift, ColdFor: warmupTime,
			StrayRefusals: i%2 == 1,
		}
		if tb.options.PlannedWork {
			s.SlowServiceTime, s.SlowPeriod = slowServiceTime, slowPeriod
		}
		switch share := float64(i) / float64(tb.options.Targets); {
		case share < mapsShare:
			s.Service, s.Keyed = mapsService, true
		case share < ordersShare:
			s.Service = ordersService
		}
		tb.operator.endpoints = append(tb.operator.endpoints, &endpoint{link: l, settings: s, events: tb.events})
	}
	return nil
}

func (tb *testbed) addCallers() {
	var callerLinks []string
	for _, l := range tb.operator.callerLinks {
		callerLinks = append(callerLinks, l.Address())
	}
	for i := range tb.options.Callers {
		c := &caller{
			name: "c" + strconv.Itoa(i), routes: routes(false, tb.options.requestTimeout()), callerLinks: callerLinks, rotation: tb.operator.rotation.inRotation, events: tb.events,
			random:  rand.New(rand.NewPCG(tb.options.Seed, uint64(i)+1)),
			timeout: tb.options.requestTimeout(), maxThinkTime: tb.options.maxThinkTime(i),
		}
		tb.group.Add(c.duty())
	}
}

// report waits for the operator to end the run and returns the report.
func (tb *testbed) report(ctx context.Context) (Report, error) {
	var end outcome
	select {
	case <-tb.operator.done.Ready():
		end, _ = tb.operator.done.TryGet()
	case f := <-tb.group.Failed():
		return Report{}, types.WrapFault(types.CodeInternal, f.Err, "duty %s", f.Duty)
	case <-ctx.Done():
		return Report{}, types.WrapFault(types.CodeCancelled, ctx.Err(), "run")
	}
	if end.err != nil {
		return Report{}, end.err
	}
	query := reportQuery{reply: make(chan Report, 1)}
	if err := tb.events.Put(ctx, query); err != nil {
		return Report{}, err
	}
	r := <-query.reply
	r.Seed, r.Faults, r.Recovery = tb.options.Seed, len(tb.operator.faults), end.recovery
	r.Violations = append(r.Violations, end.violations...)
	for _, v := range r.Violations {
		tb.logf("violation %s", v)
	}
	return r, nil
}
