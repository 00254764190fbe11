package gateway

import (
	"context"
	"strconv"
	"sync/atomic"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/httpserver"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/routing"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// largestBody is the memory of the largest body that a configuration allows, in bytes: as it is read, and in one piece.
const largestBody = 2 * config.LargestBodyBytes

// Gateway is the caller-facing process.
type Gateway struct {
	settings   *Settings
	base       *process.Base
	stats      *stats
	router     *router
	links      *process.Links
	member     process.Member // registration of this process in the store
	statusPage *telemetry.StatusPage
	view       atomic.Pointer[configView]
	lastHandle atomic.Uint64 // last handle, or number in a generated identifier
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	// status is the status last published. It is used by the watch duty only.
	status telemetry.Status
}

// New returns a gateway with validated settings. Its duties start in Run.
func New(s *Settings, o process.Options) *Gateway {
	g := &Gateway{settings: s, base: process.NewBase(s.Settings, process.RoleGateway, o)}
	g.member = process.Member{
		VM:          s.VM,
		Role:        process.RoleGateway,
		DataCentre:  s.DataCentre,
		Incarnation: process.NewIncarnation(),
		OpsAddress:  string(s.OpsAddress),
	}
	g.status = telemetry.Status{
		VM:          string(s.VM),
		Role:        process.RoleGateway,
		DataCentre:  string(s.DataCentre),
		Incarnation: uint64(g.member.Incarnation),
	}
	g.statusPage = telemetry.NewStatusPage(g.status)
	g.stats = newStats(g.base.Metrics)
	g.router = newRouter(s.DataCentre, g.base.Log, g.stats)
	g.links = process.NewLinks(g.base, g.publishLinks)
	g.addDuties()
	return g
}

// addDuties adds the duties in the order of their start. They stop in reverse order, the callers' listener before the
// router, so that no request reaches a router that has stopped.
func (g *Gateway) addDuties() {
	s := g.settings
	storeClient := store.Connect(string(s.StoreAddress), string(s.VM), s.StoreTimeoutMs.Duration())
	translator := newStoreTranslator(g)
	watch := &process.Watch{
		Store:      storeClient,
		StoreCache: process.NewStoreCache(g.base.Log),
		Peers:      s.Peers,
		Identity:   g.base.Identity,
		Deliver:    translator.applyChange,
	}
	registration := &process.Registration{Store: storeClient, Member: g.member, Log: g.base.Log}
	ops := g.base.OpsServer(string(s.OpsAddress), g.readStatus)
	bodies := forward.NewBudget(s.BodyMemory(largestBody))
	callers := &httpserver.Server{
		Limits:  process.HTTPLimits,
		Name:    "callers",
		Address: string(s.CallerAddress),
		Handler: (&frontend{gw: g, bodies: bodies}).handler(),
		Listen:  g.base.Listen,
	}
	g.base.LimitCallers(callers)
	bodies.OnShort = callers.ResetSlowReaders
	g.base.Metrics.Gauge("sail_body_memory_left_bytes", func() float64 { return float64(bodies.Left()) })
	g.base.Metrics.Status(g.readStatus)
	g.base.Metrics.Ring("router-requests", g.router.requests)
	g.base.Metrics.Ring("router-results", g.router.results)
	g.base.Metrics.Ring("router-control", g.router.controlUpdates)

	g.base.Group.Add(ops.Duty())
	g.base.Group.Add(g.links.Duty())
	g.base.Group.Add(g.router.duty())
	g.base.Group.Add(watch.Duty())
	g.base.Group.Add(registration.Duty())
	g.base.Group.Add(callers.Duty())
	g.base.Group.Add(process.ShutdownHook(s.DrainNoticeMs.Duration(), g.announceStop))
}

// announceStop makes the readiness page show "draining" until ctx ends, so that the load balancer sends no more requests
// before the listener closes.
func (g *Gateway) announceStop(ctx context.Context) {
	g.stopping.Store(true)
	<-ctx.Done()
}

func (g *Gateway) readStatus() telemetry.Status {
	s := g.statusPage.Current()
	s.Draining = s.Draining || g.stopping.Load()
	return s
}

// Run serves callers until ctx ends.
func (g *Gateway) Run(ctx context.Context) error { return g.base.Run(ctx) }

// publishLinks sends the current links to the router. It runs on the links duty.
func (g *Gateway) publishLinks(links map[types.VM]*peer.Link) {
	out := controlUpdate{links: links}
	for vm := range links {
		out.messages = append(out.messages, routing.Message{Kind: routing.KindLinkUp, VM: vm})
	}
	_ = g.router.controlUpdates.Put(context.Background(), out)
}

// publishStatus runs on the watch duty and updates the status page.
func (g *Gateway) publishStatus(c process.Change) {
	if view := g.view.Load(); view != nil {
		g.status.ConfigVersion = uint64(view.version)
		g.status.Ready = true
	}
	if c.Ops != nil {
		g.status.OpsRevision = uint64(c.Ops.Revision)
		vm, centre := c.Ops.VMState(g.settings.VM), c.Ops.DataCentreState(g.settings.DataCentre)
		g.status.Draining = vm != config.OpsIn || centre != config.OpsIn
	}
	g.status.StoreRevision = uint64(c.Revision)
	g.statusPage.Publish(g.status)
}

// submit hands a request to the router and waits for the answer.
func (g *Gateway) submit(ctx context.Context, p *pending) (*peer.DoAnswer, *types.Fault) {
	handle := g.lastHandle.Add(1)
	if err := g.router.requests.TryPut(requestEvent{handle: handle, pending: p}); err != nil {
		return nil, types.NotRun(types.CodeOf(err), "the gateway takes no more requests at the moment")
	}
	select {
	case r := <-p.replies:
		return r.answer, r.fault
	case <-ctx.Done():
		_ = g.router.requests.Put(context.WithoutCancel(ctx), requestEvent{handle: handle})
		return nil, types.NewFault(types.CodeCancelled, "the caller stopped waiting")
	}
}

func (g *Gateway) countRefusal(err *types.Fault) { g.stats.countRefusal(err.Code) }

// newRequestID returns a unique identifier for an idempotent request, whose caller need not give one.
func (g *Gateway) newRequestID() types.RequestID {
	n := strconv.FormatUint(g.lastHandle.Add(1), 36)
	return types.RequestID(string(g.settings.VM) + "-" + strconv.FormatUint(uint64(g.member.Incarnation), 36) + "-" + n)
}
