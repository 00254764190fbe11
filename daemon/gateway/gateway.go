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
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Gateway is the caller-facing process.
type Gateway struct {
	settings *Settings
	base     *process.Base
	stats    *stats
	router   *router
	links    *process.Links
	member   process.Member
	page     *telemetry.StatusPage
	view     atomic.Pointer[configView]
	handles  atomic.Uint64
	// leaving is set when a planned stop begins.
	leaving atomic.Bool
	// status belongs to the watch duty.
	status telemetry.Status
}

// New assembles a gateway from checked settings. Nothing runs before Run.
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
	g.page = telemetry.NewStatusPage(g.status)
	g.stats = newStats(g.base.Metrics)
	g.router = newRouter(s.DataCentre, g.base.Log, g.stats)
	g.links = process.NewLinks(g.base, g.publishLinks)
	g.addDuties()
	return g
}

// addDuties lists the duties in order of start. They stop in reverse order: first the callers' listener, so that no
// request arrives at a router that has stopped.
func (g *Gateway) addDuties() {
	s := g.settings
	storeClient := store.Connect(string(s.StoreAddress), string(s.VM), s.StoreTimeoutMs.Duration())
	translator := newTranslator(g)
	watch := &process.Watch{
		Store:      storeClient,
		StoreCache: process.NewStoreCache(g.base.Log),
		Peers:      s.Peers,
		Identity:   g.base.Identity,
		Deliver:    translator.deliver,
	}
	registration := &process.Registration{Store: storeClient, Member: g.member, Log: g.base.Log}
	ops := g.base.OpsServer(string(s.OpsAddress), g.readStatus)
	callers := &httpserver.Server{
		Limits:  process.HTTPLimits,
		Name:    "callers",
		Address: string(s.CallerAddress),
		Handler: (&frontend{gw: g}).handler(),
		Listen:  g.base.Listen,
	}
	g.base.Metrics.Status(g.readStatus)
	g.base.Metrics.Ring("router-requests", g.router.requests)
	g.base.Metrics.Ring("router-results", g.router.results)
	g.base.Metrics.Ring("router-control", g.router.controls)

	g.base.Group.Add(ops.Duty())
	g.base.Group.Add(g.links.Duty())
	g.base.Group.Add(g.router.duty())
	g.base.Group.Add(watch.Duty())
	g.base.Group.Add(registration.Duty())
	g.base.Group.Add(callers.Duty())
	g.base.Group.Add(process.ShutdownHook(s.DrainNoticeMs.Duration(), g.depart))
}

// depart tells the balancer, which reads the readiness page, before the listener closes.
func (g *Gateway) depart(ctx context.Context) {
	g.leaving.Store(true)
	<-ctx.Done()
}

func (g *Gateway) readStatus() telemetry.Status {
	s := g.page.Current()
	s.Draining = s.Draining || g.leaving.Load()
	return s
}

// Run serves until ctx ends.
func (g *Gateway) Run(ctx context.Context) error { return g.base.Run(ctx) }

// publishLinks runs on the links duty.
func (g *Gateway) publishLinks(links map[types.VM]*peer.Link) {
	out := control{links: links}
	for vm := range links {
		out.messages = append(out.messages, routing.Message{Kind: routing.KindLinkUp, VM: vm})
	}
	_ = g.router.controls.Put(context.Background(), out)
}

// publish runs on the watch duty and updates the status page.
func (g *Gateway) publish(c process.Change) {
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
	g.page.Publish(g.status)
}

// submit hands a request to the router and waits for the answer.
func (g *Gateway) submit(ctx context.Context, p *pending) (*peer.DoAnswer, *types.Fault) {
	handle := g.handles.Add(1)
	if err := g.router.requests.TryPut(request{handle: handle, pending: p}); err != nil {
		return nil, types.NotRun(types.CodeOf(err), "the gateway takes no more requests at the moment")
	}
	select {
	case r := <-p.done:
		return r.answer, r.fault
	case <-ctx.Done():
		_ = g.router.requests.Put(context.WithoutCancel(ctx), request{handle: handle})
		return nil, types.NewFault(types.CodeCancelled, "the caller stopped waiting")
	}
}

func (g *Gateway) countRefusal(err *types.Fault) { g.stats.countRefusal(err.Code) }

// newRequestID returns an identifier for a request whose caller needs none.
func (g *Gateway) newRequestID() types.RequestID {
	n := strconv.FormatUint(g.handles.Add(1), 36)
	return types.RequestID(string(g.settings.VM) + "-" + strconv.FormatUint(uint64(g.member.Incarnation), 36) + "-" + n)
}
