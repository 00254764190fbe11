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

// Services of the soak.
const (
	mapsService   types.Service = "maps"
	ordersService types.Service = "orders"
	spareService  types.Service = "spare"
)

// Bounds that the VMs are given.
const (
	stopTime    = 6 * time.Second
	longestHold = 5 * time.Second
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
	coldFactor  = 1.5
	coldSlack   = 5
	coldTime    = 2 * time.Second
	coldRate    = 6
)

// Sizes and times of targets.
const (
	targetSlots = 4
	targetQueue = 8
	targetWork  = 25 * time.Millisecond
	// clockDrift is how much slower the clocks of targets run, the most that the users' platform allows.
	clockDrift = 0.02
	// history is the number of changes that the store keeps.
	history = 4096
	// mapsShare and ordersShare are the shares of the targets.
	mapsShare   = 0.5
	ordersShare = 0.75
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Binary is the daemon.
	Binary string
	// Dir gets the settings and logs of the VMs.
	Dir string
	// Length is the time in which faults begin, Gap the mean time between two.
	Length, Gap           time.Duration
	VMs, Targets, Callers int
}

// Defaults returns the usual size: about two dozen endpoints on one machine.
func Defaults(seed uint64, binary, dir string) Options {
	return Options{
		Seed: seed, Binary: binary, Dir: dir, Length: 12 * time.Second, Gap: 600 * time.Millisecond, VMs: 6, Targets: 12, Callers: 24,
	}
}

func services() []standin.Service {
	var list []standin.Service
	for _, s := range []types.Service{mapsService, ordersService, spareService} {
		list = append(list, standin.Service{Name: s, Keyed: s == mapsService, ColdTime: coldTime, ColdRate: coldRate})
	}
	return list
}

// routes returns the routes of a configuration; the route move leads to the spare service when moved is true.
func routes(moved bool) []standin.Route {
	to := ordersService
	if moved {
		to = spareService
	}
	route := func(name string, idempotent bool, s types.Service) standin.Route {
		return standin.Route{
			Name: name, Host: "soak.example", Prefix: "/" + name + "/", Idempotent: idempotent, Service: s,
			Timeout: patience, Attempts: 3,
		}
	}
	return []standin.Route{
		route("maps", true, mapsService), route("orders", false, ordersService), route("move", true, to),
	}
}

// runs counts the runs of this process, so that each has addresses of its own.
var runs atomic.Uint32

// Run performs one run and returns what it found. Its error is a fault of the soak itself.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.VMs < 1 || o.VMs > 64 || o.Targets < 2*fewestTargets || o.Callers < 1 {
		return Report{}, types.NewFault(types.CodeBadSettings, "a run takes 1 to 64 VMs, %d targets or more, and callers", 2*fewestTargets)
	}
	w := &world{options: o, group: duty.NewGroup(), events: ring.New[any](eventCapacity), run: runs.Add(1)}
	output, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return Report{}, types.WrapFault(types.CodeInternal, err, "create log")
	}
	defer output.Close()
	w.output = output
	if err := w.provision(ctx); err != nil {
		return Report{}, err
	}
	if err := w.group.Start(ctx); err != nil {
		return Report{}, err
	}
	result, err := w.result(ctx)
	if abort := w.group.Abort(context.WithoutCancel(ctx)); err == nil {
		err = abort
	}
	return result, err
}

// world is all that runs beside the VMs.
type world struct {
	options Options
	group   *duty.Group
	events  *ring.Ring[any]
	// run is the number of this run in the process.
	run    uint32
	output *os.File

	store    *backend.Server
	operator *operator
}

func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.output, "%s "+format+"\n", append([]any{time.Now().UTC().Format(time.RFC3339Nano)}, args...)...)
}

func (w *world) provision(ctx context.Context) error {
	w.store = backend.New(history)
	w.group.Add((&judge{in: w.events, checker: check.New(check.Settings{
		ColdLimit: coldFactor*coldRate + coldSlack, RetryRatio: retryRatio, RetrySlack: retrySlack,
	})}).duty())
	w.group.Add(w.store.Duty())
	w.operator = &operator{
		faults: plan.Draw(w.options.Seed, plan.Size{
			VMs: w.options.VMs, Targets: w.options.Targets, Length: w.options.Length, Gap: w.options.Gap,
		}),
		store: w.store, client: w.store.Client("operator"), events: w.events, note: w.note, done: ring.New[outcome](1),
	}
	if err := w.addVMs(ctx); err != nil {
		return err
	}
	if err := w.addPlaces(ctx); err != nil {
		return err
	}
	w.addCallers()
	w.group.Add(w.operator.duty())
	return nil
}

// addLink adds a link that leads to a server.
func (w *world) addLink(ctx context.Context, name, server string) (*link.Link, error) {
	l, err := standin.Listen(ctx)
	if err != nil {
		return nil, err
	}
	k := link.New(name, l, server)
	for _, d := range k.Duties() {
		w.group.Add(d)
	}
	return k, nil
}

var dataCentres = []types.DataCentre{"north", "south"}

func (w *world) addVMs(ctx context.Context) error {
	var urls, seeds []string
	for i := range w.options.VMs {
		s := standin.VM{
			Name: types.VM("vm-" + strconv.Itoa(i)), DataCentre: dataCentres[i%len(dataCentres)], DataCentres: dataCentres,
			IP: standin.LoopbackIP(w.run, i), StopGracePeriod: stopTime, MaxGrantTTL: longestHold, RetryRatio: retryRatio, RetrySlack: retrySlack,
			RetryWindow: retryWindow, ColdOvershoot: coldFactor, ColdSlack: coldSlack,
		}
		seeds = append(seeds, s.ControlAddress())
		urls = append(urls, s.ReadyURL())
		s.Seeds = seeds[:min(len(seeds), 3)]
		front, err := standin.Listen(ctx)
		if err != nil {
			return err
		}
		w.group.Add(standin.StoreDuty(front, w.store, string(s.Name)))
		toStore, err := w.addLink(ctx, "store-"+string(s.Name), front.Addr().String())
		if err != nil {
			return err
		}
		door, err := w.addLink(ctx, "door-"+string(s.Name), s.CallerAddress())
		if err != nil {
			return err
		}
		s.StoreAddress = toStore.Address()
		v := newVM(i, s, w.options.Binary, w.options.Dir, w.events)
		w.group.Add(v.duty())
		w.operator.vms = append(w.operator.vms, v)
		w.operator.storeLinks = append(w.operator.storeLinks, toStore)
		w.operator.doors = append(w.operator.doors, door)
	}
	w.operator.rotation = newRotation(urls)
	w.group.Add(w.operator.rotation.duty())
	return nil
}

func (w *world) addPlaces(ctx context.Context) error {
	for i := range w.options.Targets {
		l, err := w.addLink(ctx, "target-"+strconv.Itoa(i), "")
		if err != nil {
			return err
		}
		s := standin.TargetSettings{
			Service: spareService, DataCentre: dataCentres[i%len(dataCentres)], Slots: targetSlots, QueueLimit: targetQueue,
			ServiceTime: targetWork, ClockDrift: clockDrift, ColdFor: coldTime,
		}
		switch share := float64(i) / float64(w.options.Targets); {
		case share < mapsShare:
			s.Service, s.Keyed = mapsService, true
		case share < ordersShare:
			s.Service = ordersService
		}
		w.operator.places = append(w.operator.places, &place{link: l, settings: s, events: w.events})
	}
	return nil
}

func (w *world) addCallers() {
	var doors []string
	for _, d := range w.operator.doors {
		doors = append(doors, d.Address())
	}
	for i := range w.options.Callers {
		c := &caller{
			name: "c" + strconv.Itoa(i), routes: routes(false), doors: doors, rotation: w.operator.rotation.open, events: w.events,
			random: rand.New(rand.NewPCG(w.options.Seed, uint64(i)+1)),
		}
		w.group.Add(c.duty())
	}
}

// result waits for the end of the run and returns the verdict.
func (w *world) result(ctx context.Context) (Report, error) {
	var end outcome
	select {
	case <-w.operator.done.Ready():
		end, _ = w.operator.done.TryGet()
	case f := <-w.group.Failed():
		return Report{}, types.WrapFault(types.CodeInternal, f.Err, "duty %s", f.Duty)
	case <-ctx.Done():
		return Report{}, types.WrapFault(types.CodeCancelled, ctx.Err(), "run")
	}
	if end.err != nil {
		return Report{}, end.err
	}
	ask := verdict{reply: make(chan Report, 1)}
	if err := w.events.Put(ctx, ask); err != nil {
		return Report{}, err
	}
	r := <-ask.reply
	r.Seed, r.Faults, r.Recovery = w.options.Seed, len(w.operator.faults), end.recovery
	r.Broken = append(r.Broken, end.broken...)
	for _, v := range r.Broken {
		w.note("broken %s", v)
	}
	return r, nil
}
