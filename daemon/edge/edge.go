package edge

import (
	"context"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/daemon/capacity"
	"sequoiasail.example/daemon/httpserver"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/quota"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Numbers of duties and capacities of rings. A request is refused if the admission ring is full. Requests wait in the admission
// core while all senders are in use, so that the ring of the senders has room; an attempt counts as not run if it is full. The
// other rings block their producer, or drop a message that later ones make up for.
const (
	// senderCount lets one service have 64 exchanges while the other services still get senders.
	senderCount         = 80
	grantCallerCount    = 128
	admissionCapacity   = 1024
	attemptCapacity     = senderCount
	updateCapacity      = 64
	coordinatorCapacity = 1024
	// quotaCapacity is that of the requests of customers with a limit. quotaReportCapacity has room for the reports of 400 VMs in the
	// time between two wake-ups of the quota duty.
	quotaCapacity       = 1024
	quotaReportCapacity = 1024
	callBatchCapacity   = 256
	reportCapacity      = 32
	// correspondentCapacity has room for the VMs of a large data centre, which begin to report at about the same time.
	correspondentCapacity = 128
	storeReadCapacity     = 8
)

// remotePenalty is added to the expected latency of targets in other data centres when a target is chosen. It covers the
// round trip, and the price of traffic between data centres, which is of the order of the value of a request.
const remotePenalty = 120 * time.Millisecond

// Edge is the daemon of one entry VM: its duties and the rings that join them.
type Edge struct {
	settings platform.Settings
	// Own are the settings that the platform doesn't set. They are set before Run.
	Own          OwnSettings
	settingsFile string
	log          *telemetry.Log
	metrics      *telemetry.Metrics
	group        *duty.Group
	store        *meteredStore
	random       *rand.Rand
	// clock reads the time, queryMirror sends a query to another VM.
	clock       func() types.Instant
	queryMirror mirrorQuerier

	// bodies bounds the memory of the bodies of requests and answers.
	bodies *forward.Budget
	// descriptors are the shares of the descriptors for sockets.
	descriptors descriptorShares

	admission   *ring.Ring[any]
	coordinator *ring.Ring[any]
	quota       *ring.Ring[any]
	// eras holds the latest new era of the store, which storeEra returns.
	eras     *ring.Ring[types.Era]
	storeEra func() types.Era

	session    *session
	storeCache *storeCache
	readiness  *readiness
	frontend   *frontend
	server     *httpserver.Server
	ready      *httpserver.Server
}

// New builds the daemon from s, the decoded content of settingsFile. The file is read again when it changes. Run starts the
// duties.
func New(s platform.Settings, settingsFile string, output io.Writer) *Edge {
	e := &Edge{
		settings: s, settingsFile: settingsFile, metrics: telemetry.NewMetrics(), group: duty.NewGroup(),
		log:         telemetry.NewLog(output, log.Fields{"vm": s.VM, "dataCentre": s.DataCentre}),
		random:      rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(len(s.VM)))),
		clock:       telemetry.Now,
		queryMirror: queryMirror,
		bodies:      forward.NewBudget(bodyMemory(s.MemoryBytes)),
		admission:   ring.New[any](admissionCapacity),
		coordinator: ring.New[any](coordinatorCapacity),
		quota:       ring.New[any](quotaCapacity),
		eras:        ring.New[types.Era](1),
	}
	client := platform.NewStore(s.StoreAddress, platform.ValueLimit{Prefix: daemonPrefix, Bytes: maxEntryBytes})
	e.store = &meteredStore{Store: client, metrics: e.metrics, log: e.log}
	// Replace fails only when the process ends.
	client.OnNewEra(func(era types.Era) { _ = e.eras.Replace(era) })
	e.storeEra = client.Era
	e.metrics.Gauge("sail_store_era", func() float64 { return float64(client.Era()) })
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log: e.log})
	e.metrics.Gauge("sail_log_dropped_total", func() float64 { return float64(e.log.Dropped()) })
	e.metrics.Ring("admission", e.admission)
	e.metrics.Ring("keeper", e.coordinator)
	e.metrics.Ring("quota", e.quota)
	return e
}

// libraryLog is the output of the standard library's logger. It forwards each line to the daemon's log.
type libraryLog struct{ log *telemetry.Log }

func (l libraryLog) Write(p []byte) (int, error) {
	l.log.Info("library message", log.Fields{"text": string(p)})
	return len(p), nil
}

// jitter returns a random time below d. It is safe for concurrent use.
func jitter(d time.Duration) time.Duration { return rand.N(d) }

// Run starts the duties and serves until ctx ends or a duty fails, then stops within the platform's stop time.
func (e *Edge) Run(ctx context.Context) error {
	var err error
	if e.descriptors, err = divideDescriptors(e.settings.Sockets); err != nil {
		return err
	}
	if err := e.addDuties(); err != nil {
		return err
	}
	if err := e.group.Start(ctx); err != nil {
		return err
	}
	e.log.Info("started", log.Fields{"duties": len(e.group.Names()), "incarnation": e.session.entry.Incarnation})
	select {
	case <-ctx.Done():
		return e.stop()
	case f := <-e.group.Failed():
		e.log.Warn("duty failed, stopping", log.Fields{"duty": f.Duty, "error": f.Err.Error()})
		_ = e.stop()
		return f.Err
	}
}

// stop reports the VM as not ready, so that the load balancer removes it, finishes the in-flight requests and stops the
// duties. Connections are accepted and served while any is open, until no request could be finished any more: their callers may
// use them at any time, and the load balancer goes on using stopping VMs if it has too few others. A request that is read gets an
// answer; later ones are not read.
func (e *Edge) stop() error {
	began := telemetry.Now()
	schedule := newStopSchedule(e.settings.StopGracePeriod)
	e.log.Info("stopping", e.stopFields(began))
	e.readiness.stopping.Store(true)
	e.frontend.closing.Store(true)
	close(e.session.stopRequested)
	_ = e.quota.Put(context.Background(), quotaStopping{})
	_ = e.admission.Put(context.Background(), admission.Stopping{
		AcceptUntil: began.Add(schedule.accept), End: began.Add(schedule.answer),
	})
	duty.Pause(context.Background(), schedule.serve)
	// An error means that connections remain, which are closed next.
	_ = e.waitUntil(began.Add(schedule.answer), e.server.WaitClosed)
	e.log.Info("closing the connections of callers", e.stopFields(began))
	if err := e.waitUntil(began.Add(schedule.close), e.server.Shutdown); err != nil {
		e.log.Warn("requests still in flight at the end of the stop time", log.Fields{"error": err.Error()})
	}
	// An error means that probes or metrics readers remain, which are cut off.
	_ = e.waitUntil(telemetry.Now().Add(readyCloseTime), e.ready.Shutdown)
	duty.Pause(context.Background(), lingerTime)
	e.log.Info("stopping the duties", e.stopFields(began))
	return e.group.Stop(context.Background())
}

// waitUntil calls wait with a context that ends at the given time.
func (e *Edge) waitUntil(end types.Instant, wait func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(telemetry.Now()))
	defer cancel()
	return wait(ctx)
}

// stopFields describes what a planned stop still waits for.
func (e *Edge) stopFields(began types.Instant) log.Fields {
	return log.Fields{
		"since": telemetry.Now().Sub(began).Round(time.Millisecond).String(), "connections": e.server.Connections(),
		"inFlight": e.frontend.inFlight.Load(), "unanswered": e.server.UnansweredRequests(),
	}
}

// addDuties creates the rings and adds all duties to the group.
func (e *Edge) addDuties() error {
	conn, err := listenPeers(e.settings.IP, e.settings.PeerPort)
	if err != nil {
		return err
	}
	attempts := ring.New[attempt](attemptCapacity)
	reports := ring.New[report](reportCapacity)
	members := ring.New[membership](1)
	heard := ring.New[correspondent](correspondentCapacity)
	quotaReports := ring.New[quota.Report](quotaReportCapacity)
	e.metrics.Ring("peer-heard", heard)
	m := newRequestMetrics(e.metrics)
	e.group.Add(e.log.Duty())
	e.group.Add(e.store.duty())
	e.addStoreCache(members, reports)
	e.group.Add((&peerSender{
		vm: e.settings.VM, dataCentre: e.settings.DataCentre, in: reports, members: members, heard: heard, coordinator: e.coordinator,
		conn: conn, log: e.log, now: telemetry.Now, correspondents: make(map[types.VM]correspondent),
	}).duty())
	e.group.Add((&peerReceiver{
		conn: conn, admission: e.admission, quotaReports: quotaReports, coordinator: e.coordinator, storeCache: e.storeCache.in, heard: heard, log: e.log,
		now: telemetry.Now, noted: make(map[types.VM]correspondent),
	}).duty())
	e.group.Add((&reloader{settingsFile: e.settingsFile, current: e.settings, admission: e.admission, log: e.log}).duty())
	mirror := peer.NewServer(e.settings.MirrorAddress)
	if err := mirror.Register("Mirror", &Mirror{storeCache: e.storeCache.in}); err != nil {
		return err
	}
	mirror.MaxConnections = e.descriptors.mirrorConnections()
	e.metrics.Gauge("sail_peer_connections", func() float64 { return float64(mirror.Connections()) })
	e.metrics.Gauge("sail_peer_connections_evicted_total", func() float64 { return float64(mirror.Evictions()) })
	e.group.Add(mirror.Duty())
	e.addSession()
	e.addCoordinator(reports)
	e.addAdmission(attempts, reports)
	e.addQuota(quotaReports, reports)
	e.addServers(m)
	return nil
}

// addStoreCache adds the duty that caches the store's content, and the duties that read the store or other VMs for it.
func (e *Edge) addStoreCache(members *ring.Ring[membership], reports *ring.Ring[report]) {
	updates := ring.New[any](updateCapacity)
	e.storeCache = newStoreCache()
	e.storeCache.now, e.storeCache.reliance = e.clock, relianceTime(e.settings.ChangeDeadline)
	e.storeCache.changeDeadline = e.settings.ChangeDeadline
	e.storeCache.in, e.storeCache.admission, e.storeCache.coordinator = updates, e.admission, e.coordinator
	e.storeCache.session = ring.New[coordinatorState](1)
	e.storeCache.memberships, e.storeCache.log = members, e.log
	e.storeCache.invalid = newInvalidEntries(e.log, e.metrics)
	e.storeCache.ownersRequests = ring.New[ownersRequest](storeReadCapacity)
	e.storeCache.auditRequests = ring.New[auditRequest](storeReadCapacity)
	e.storeCache.reports, e.storeCache.vm, e.storeCache.firstStart = reports, e.settings.VM, e.settings.FirstStart
	e.storeCache.entry, e.storeCache.seeds = e.entry(), e.settings.Seeds
	e.storeCache.mirrorRequests = ring.New[mirrorRequest](storeReadCapacity)
	e.group.Add(newMirrorClient(e.storeCache.mirrorRequests, updates, e.queryMirror, e.log).duty())
	e.group.Add(e.storeCache.duty())
	e.group.Add((&eraObserver{in: e.eras, out: updates, era: e.storeEra}).duty())
	e.group.Add((&ownerReader{in: e.storeCache.ownersRequests, out: updates, store: e.store}).duty())
	e.group.Add((&auditor{in: e.storeCache.auditRequests, out: updates, store: e.store}).duty())
	e.addWatch("operator", platform.OperatorPrefix, updates)
	e.addWatch("targets", platform.TargetPrefix, updates)
	e.addWatch("own", daemonPrefix, updates)
}

// entry returns the store entry of this VM, with a new incarnation for this process.
func (e *Edge) entry() vmEntry {
	return vmEntry{
		VM: e.settings.VM, DataCentre: e.settings.DataCentre, Cores: e.settings.Cores,
		Incarnation:   types.Incarnation(time.Now().UnixNano()),
		PeerAddress:   net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPort)),
		MirrorAddress: e.settings.MirrorAddress,
	}
}

func (e *Edge) addWatch(name, prefix string, out *ring.Ring[any]) {
	w := &watch{name: name, prefix: prefix, spacing: watchSpacing, store: e.store, out: out, log: e.log, jitter: jitter, orders: e.storeCache.watchOrders[prefix]}
	e.group.Add(w.duty())
}

// addSession adds the duty that holds this VM's leases and stands for election as coordinator.
func (e *Edge) addSession() {
	e.session = &session{
		store: e.store, in: e.storeCache.session, coordinator: e.coordinator, storeCache: e.storeCache.in, log: e.log, jitter: jitter,
		entryTTL: max(sessionTTL, e.settings.MinLeaseTTL), roleTTL: max(roleTTL, e.settings.MinLeaseTTL), stopRequested: make(chan struct{}),
		entry: e.storeCache.entry, now: e.clock, watcherRenewal: watcherRenewal(e.storeCache.reliance),
		storeEra: e.storeEra, continueTime: e.settings.MaxGrantTTL,
	}
	e.group.Add(e.session.duty())
}

// addCoordinator adds the duties of the coordinator role, which are idle while another VM holds it.
func (e *Edge) addCoordinator(reports *ring.Ring[report]) {
	tableJobs := ring.New[tableJob](updateCapacity)
	batches := ring.New[callBatch](callBatchCapacity)
	settings := e.keyspaceSettings()
	c := &coordinator{
		name:     string(e.settings.VM) + "/" + strconv.FormatUint(uint64(e.session.entry.Incarnation), 10),
		settings: settings,
		in:       e.coordinator, tableJobs: tableJobs, batches: batches, peers: reports, admission: e.admission, log: e.log,
		storeCache:    e.storeCache.in,
		keyedServices: make(map[types.Service]*keyedService),
		addresses:     newTargetAddresses(addressRetention(settings)),
	}
	e.group.Add(c.duty())
	e.group.Add((&tableStore{in: tableJobs, out: e.coordinator, store: e.store}).duty())
	for i := range grantCallerCount {
		e.group.Add((&grantCaller{index: i, in: batches, out: e.coordinator, settings: c.settings, log: e.log}).duty())
	}
}

// keyspaceSettings returns the settings of the keyspace cores. Their term is the time to live of the role's lease, because a
// previous coordinator can act for that long at most.
func (e *Edge) keyspaceSettings() keyspace.Settings {
	s := keyspace.Defaults(e.settings.MaxGrantTTL)
	s.Term = e.session.roleTTL
	return s
}

// addAdmission adds the admission duty and the senders.
func (e *Edge) addAdmission(attempts *ring.Ring[attempt], reports *ring.Ring[report]) {
	a := &admissionDuty{
		in: e.admission, attempts: attempts, peers: reports, log: e.log,
		core: admission.New(admission.Settings{
			DataCentre: string(e.settings.DataCentre), VM: string(e.settings.VM), RemotePenalty: remotePenalty,
			RetryRatio: e.settings.RetryRatio, RetrySlack: e.settings.RetrySlack, RetryWindow: e.settings.RetryWindow,
			ColdOvershoot: e.settings.ColdOvershoot, ColdSlack: e.settings.ColdSlack, DataCentres: len(e.settings.DataCentres),
			Senders: senderCount, SecondSendLimit: e.Own.SecondSends.Limit, GiveUpSilent: e.Own.SilentTargets.GiveUp,
		}, e.random),
		secondSends: newSecondSendMetrics(e.metrics),
		senderWaits: e.metrics.Counter("sail_sender_waits_total"),
		flights:     make(map[admission.LocalRequestID]*flight),
		hosts:       make(map[hostKey]*forward.Host),
		bodies:      e.bodies,
		idle:        e.idleTargetConnections(),
		quota:       e.quota, counters: make(map[quota.CustomerHash]quota.Counter), incarnation: e.session.entry.Incarnation,
		keys: make(map[types.Service][]keyspace.Key),
	}
	e.group.Add(a.duty())
	for i := range senderCount {
		e.group.Add((&sender{index: i, attempts: attempts, out: e.admission, mayGetRequests: e.storeCache.mayGetRequests, log: e.log}).duty())
	}
}

// addQuota adds the duty of the customers' limits.
func (e *Edge) addQuota(heard *ring.Ring[quota.Report], reports *ring.Ring[report]) {
	e.group.Add((&quotaDuty{
		in: e.quota, heard: heard, limits: e.storeCache.quotaLimits, fleets: e.storeCache.quotaFleets, admission: e.admission,
		reports: reports, log: e.log, metrics: newQuotaMetrics(e.metrics), now: e.clock, overAt: make(map[types.Customer]types.Instant),
		core: quota.New(quota.Settings{
			VM: e.settings.VM, Incarnation: e.session.entry.Incarnation, Window: e.settings.QuotaWindow,
			Overshoot: e.settings.QuotaOvershoot, Slack: e.settings.QuotaSlack,
		}, rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))),
	}).duty())
}

// addServers adds the HTTP servers for callers and for readiness and metrics.
func (e *Edge) addServers(m *requestMetrics) {
	e.frontend = &frontend{
		storeCache: e.storeCache, admission: e.admission, quota: e.quota, log: e.log, requestMetrics: m,
		bodies: e.bodies,
	}
	headers := forward.NewBudget(capacity.HeaderMemory(e.settings.MemoryBytes))
	e.readiness = &readiness{storeCache: e.storeCache, accepts: func() bool { return e.server.Accepts() }}
	e.ready = &httpserver.Server{
		MaxConnections: readyConnections,
		Name:           "ready", Address: e.settings.ReadyAddress, Handler: e.readiness.handler(e.metrics), Limits: initialHTTPLimits,
		Headers: headers,
	}
	e.server = &httpserver.Server{
		Name: "front", Address: e.settings.CallerAddress, Handler: e.frontend.handler(), Limits: initialHTTPLimits,
		Unanswered: func(remote string) {
			e.log.Warn("connection closed without an answer", log.Fields{"caller": remote})
		},
		Rejected: e.frontend.rejectUnparsed,
	}
	e.server.MaxConnections = capacity.Connections(e.settings.MemoryBytes, e.descriptors.clients)
	e.server.LogShortage(e.log)
	e.frontend.short = e.server.Short
	e.addDescriptorMetrics()
	e.server.Current, e.server.Headers = e.frontend.limits, headers
	e.bodies.OnShort = e.server.ResetSlowReaders
	e.metrics.Gauge("sail_body_memory_left_bytes", func() float64 { return float64(e.bodies.Left()) })
	e.server.Publish(e.metrics)
	e.group.Add(e.ready.Duty())
	e.group.Add(e.server.Duty())
}
