package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// departureTimeout bounds the wait for another dispatcher to take the leases over on a planned stop.
const departureTimeout = 4 * time.Second

// departureInterval is how often a stopping dispatcher checks whether it still holds leases.
const departureInterval = 50 * time.Millisecond

// Dispatcher is the process that holds target leases and sends requests to targets.
type Dispatcher struct {
	settings *Settings
	base     *process.Base
	member   process.Member
	worker   *worker
	manager  *leaseManager
	// planner acquires and renews the planner lease. placer runs the planner duty.
	planner      *plannerLease
	placer       *placer
	links        *process.Links
	registration *process.Registration
	statusPage   *telemetry.StatusPage

	// leaving is set when a planned stop begins. The status page then shows the process as draining.
	leaving atomic.Bool

	// The fields below are used by the store-watch duty only. status is what it last put on statusPage, and dataCentres
	// the data centre of each target.
	roster      *roster
	status      telemetry.Status
	dataCentres map[types.TargetID]types.DataCentre
}

// New creates a dispatcher from validated settings. Run starts its duties.
func New(s *Settings, o process.Options) (*Dispatcher, error) {
	d := &Dispatcher{settings: s, base: process.NewBase(s.Settings, process.RoleDispatcher, o), roster: newRoster()}
	d.member = process.Member{
		VM:          s.VM,
		Role:        process.RoleDispatcher,
		DataCentre:  s.DataCentre,
		Incarnation: process.NewIncarnation(),
		PeerAddress: string(s.PeerAddress),
		OpsAddress:  string(s.OpsAddress),
	}
	d.status = telemetry.Status{
		VM:          string(s.VM),
		Role:        process.RoleDispatcher,
		DataCentre:  string(s.DataCentre),
		Incarnation: uint64(d.member.Incarnation),
	}
	d.statusPage = telemetry.NewStatusPage(d.status)
	self := ownership.Self{
		Peer:       ownership.Peer{VM: s.VM, Incarnation: d.member.Incarnation},
		DataCentre: s.DataCentre,
	}
	d.worker = newWorker(s.VM, s.DataCentre, s.RememberedMemory(), d.base.Log, d.base.Metrics)
	d.manager = newLeaseManager(self, d.base.Log, d.base.Metrics, d.worker)
	d.worker.reportCondition = d.manager.observeCondition
	d.worker.drained = d.manager.drained
	d.placer = newPlacer(d.manager.in, d.base.Log, d.base.Metrics)
	d.worker.reportToPlanner = d.placer.takeReport
	d.links = process.NewLinks(d.base, d.publishLinks)
	return d, d.addDuties(self)
}

// addDuties registers the duties in start order. They stop in reverse order: departure first, so that other dispatchers
// hold the leases before anything else stops, then the registration and the net/rpc listener.
func (d *Dispatcher) addDuties(self ownership.Self) error {
	s := d.settings
	storeClient := store.Connect(string(s.StoreAddress), string(s.VM), s.StoreTimeoutMs.Duration())
	server := peer.NewServer(string(s.PeerAddress))
	server.Listen = d.base.Listen
	server.MaxConnections = s.PeerConnections()
	server.WrapListener(d.base.Identity.PeerListener)
	mirror := process.NewMirror()
	services := map[string]any{
		"Dispatch": &dispatchService{worker: d.worker},
		"Memory":   &memoryService{worker: d.worker},
		"Control":  &controlService{worker: d.worker, placer: d.placer},
		"Vouch":    &quorumService{manager: d.manager},
		"Peer":     &process.PeerService{Mirror: mirror},
	}
	for name, service := range services {
		if err := server.Register(name, service); err != nil {
			return err
		}
	}
	d.planner = &plannerLease{
		store:   storeClient,
		self:    self,
		out:     d.manager.in,
		placer:  d.placer,
		log:     d.base.Log,
		writeID: func() string { return process.NewWriteID(s.VM, self.Incarnation) },
	}
	d.registration = &process.Registration{Store: storeClient, Member: d.member, Log: d.base.Log}
	watch := &process.Watch{
		Store:      storeClient,
		StoreCache: process.NewStoreCache(d.base.Log),
		Mirror:     mirror,
		Peers:      s.Peers,
		Identity:   d.base.Identity,
		Deliver:    d.deliver,
	}
	ops := d.base.OpsServer(string(s.OpsAddress), d.readStatus)
	d.publishRings()

	d.base.Group.Add(ops.Duty())
	d.base.Group.Add(d.links.Duty())
	d.base.Group.Add((&writer{store: storeClient, in: d.manager.writes, out: d.manager.in}).duty())
	d.base.Group.Add(d.worker.duty())
	d.base.Group.Add(d.manager.duty())
	d.base.Group.Add((&revisionReader{store: storeClient, out: d.manager.in}).duty())
	d.base.Group.Add(d.placer.duty())
	d.base.Group.Add(d.planner.duty())
	d.base.Group.Add(watch.Duty())
	d.base.Metrics.Gauge("sail_peer_connections", func() float64 { return float64(server.Connections()) })
	d.base.Metrics.Gauge("sail_peer_connections_evicted_total", func() float64 { return float64(server.Evictions()) })
	d.base.Group.Add(server.Duty())
	d.base.Group.Add(d.registration.Duty())
	d.base.Group.Add(process.ShutdownHook(departureTimeout, d.depart))
	return nil
}

func (d *Dispatcher) publishRings() {
	m := d.base.Metrics
	m.Status(d.readStatus)
	m.Ring("dispatch-requests", d.worker.requests)
	m.Ring("dispatch-results", d.worker.results)
	m.Ring("dispatch-control", d.worker.controls)
	m.Ring("ownership", d.manager.in)
	m.Ring("ownership-ballots", d.manager.quorumCalls)
	m.Ring("store-writer", d.manager.writes)
}

// Run starts the duties and returns after ctx has ended and they have stopped.
func (d *Dispatcher) Run(ctx context.Context) error { return d.base.Run(ctx) }

// depart registers this process as leaving, so that the planner moves its leases, and waits until it holds none.
func (d *Dispatcher) depart(ctx context.Context) {
	d.leaving.Store(true)
	d.registration.Leave()
	tick := time.NewTicker(departureInterval)
	defer tick.Stop()
	for len(d.manager.statusPage.Current().Leases) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			d.base.Log.Warn("stopping although leases are still held", nil)
			return
		}
	}
}

// deliver passes a change of the store on to the other duties. It runs on the store-watch duty.
func (d *Dispatcher) deliver(ctx context.Context, c process.Change) error {
	if c.Err != nil {
		d.base.Log.Warn("store cannot be read", map[string]any{"error": c.Err.Error()})
		return d.manager.in.Put(ctx, leaseInput{message: ownership.Message{Kind: ownership.KindStoreFailed}})
	}
	if c.Planner != nil {
		_ = d.planner.keyAbsent.Replace(*c.Planner == "")
	}
	if c.Planner != nil {
		if err := d.worker.controls.Put(ctx, workerControl{planner: c.Planner}); err != nil {
			return err
		}
	}
	if err := d.deliverConfig(ctx, c.Config); err != nil {
		return err
	}
	if err := d.deliverMembers(ctx, c); err != nil {
		return err
	}
	if err := d.deliverPlacement(ctx, c); err != nil {
		return err
	}
	d.publish(c)
	return d.manager.in.Put(ctx, leaseInput{
		revision: c.Revision,
		message: ownership.Message{
			Kind: ownership.KindStoreRead,
			Read: ownership.StoreRead{Documents: c.Documents},
		},
	})
}

func (d *Dispatcher) deliverConfig(ctx context.Context, c *config.Configuration) error {
	if c == nil {
		return nil
	}
	d.dataCentres = make(map[types.TargetID]types.DataCentre)
	for _, s := range c.Services {
		for _, t := range s.Targets {
			d.dataCentres[types.TargetID{Service: s.Name, Target: t.Name}] = t.DataCentre
		}
	}
	if err := d.worker.controls.Put(ctx, workerControl{config: c}); err != nil {
		return err
	}
	message := ownership.Message{Kind: ownership.KindConfiguration, Configuration: c}
	return d.manager.in.Put(ctx, leaseInput{message: message})
}

func (d *Dispatcher) deliverMembers(ctx context.Context, c process.Change) error {
	changed := d.roster.update(c)
	if !changed && c.Config == nil {
		return nil
	}
	d.links.Set(d.roster.peers(d.settings.VM))
	set := &peerSet{members: d.roster.peerMembers(), dataCentres: d.dataCentres}
	if err := d.worker.controls.Put(ctx, workerControl{peers: set, outOfService: d.outOfServiceByTarget(d.roster.ops)}); err != nil {
		return err
	}
	if c.Ops != nil || c.Config != nil {
		out := ownership.Message{Kind: ownership.KindTargetsOutOfService, OutOfService: d.targetsOutOfService(d.roster.ops)}
		if err := d.manager.in.Put(ctx, leaseInput{message: out}); err != nil {
			return err
		}
	}
	message := ownership.Message{Kind: ownership.KindMembers, Members: d.roster.members()}
	return d.manager.in.Put(ctx, leaseInput{message: message})
}

// deliverPlacement passes the configuration, operators' decisions and documents on to the placement core.
func (d *Dispatcher) deliverPlacement(ctx context.Context, c process.Change) error {
	if c.Config == nil && c.Ops == nil && len(c.Documents) == 0 {
		return nil
	}
	return d.placer.in.Put(ctx, placerInput{config: c.Config, ops: c.Ops, documents: c.Documents})
}

// outOfServiceByTarget reports for each target whether operators have taken it, or its data centre, out of service.
func (d *Dispatcher) outOfServiceByTarget(ops *process.Operations) map[types.TargetID]bool {
	if ops == nil {
		return nil
	}
	out := make(map[types.TargetID]bool)
	for id, centre := range d.dataCentres {
		out[id] = ops.TargetState(id) != config.OpsIn || ops.DataCentreState(centre) != config.OpsIn
	}
	return out
}

// targetsOutOfService lists the targets that operators have taken out of service.
func (d *Dispatcher) targetsOutOfService(ops *process.Operations) []types.TargetID {
	var out []types.TargetID
	for id, outOfService := range d.outOfServiceByTarget(ops) {
		if outOfService {
			out = append(out, id)
		}
	}
	return out
}

// publishLinks passes the links to other dispatchers on to the duties that call them. It runs on the links duty.
func (d *Dispatcher) publishLinks(links map[types.VM]*peer.Link) {
	ctx := context.Background()
	_ = d.worker.controls.Put(ctx, workerControl{links: links})
	_ = d.manager.in.Put(ctx, leaseInput{links: links})
}

// publish updates the status page from a change of the store. It runs on the store-watch duty.
func (d *Dispatcher) publish(c process.Change) {
	if c.Config != nil {
		d.status.ConfigVersion = uint64(c.Config.Version)
		d.status.Ready = true
	}
	if c.Ops != nil {
		d.status.OpsRevision = uint64(c.Ops.Revision)
		vm, centre := c.Ops.VMState(d.settings.VM), c.Ops.DataCentreState(d.settings.DataCentre)
		d.status.Draining = vm != config.OpsIn || centre != config.OpsIn
	}
	d.status.StoreRevision = uint64(c.Revision)
	d.statusPage.Publish(d.status)
}

// readStatus merges the status pages of the duties.
func (d *Dispatcher) readStatus() telemetry.Status {
	s := d.statusPage.Current()
	s.Draining = s.Draining || d.leaving.Load()
	held := d.manager.statusPage.Current()
	s.Leases = held.Leases
	s.Planner = held.Planner
	s.Queues = d.worker.statusPage.Current().Queues
	return s
}
