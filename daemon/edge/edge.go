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
	"sequoiasail.example/daemon/httpserver"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Numbers of duties and capacities of rings. A full ring of requests refuses; all others block their producer or replace
// the oldest report.
const (
	senders           = 64
	orderers          = 64
	admissionCapacity = 1024
	jobCapacity       = 256
	updateCapacity    = 64
	keeperCapacity    = 1024
	orderCapacity     = 256
	reportCapacity    = 32
	ownerReads        = 8
)

// Times of a planned stop.
const (
	// leaveShare is the part of the stop time before connections are closed, 3.4 of 6 s: the load balancer has to see twice,
	// a second apart, that this VM is not ready, and the last packets may be lost and sent again up to a second later.
	leaveShare = 0.57
	// refuseShare is the part of the stop time after which requests on open connections are refused as not run, 4.2 of 6 s:
	// those that come later would be cut off by the kill.
	refuseShare = 0.7
	// stopMargin is the part of the stop time that is left for the last duties.
	stopMargin = 800 * time.Millisecond
	// lingerTime lets the last answers leave the VM before the process ends.
	lingerTime = 200 * time.Millisecond
)

// httpLimits are those of the servers before a configuration is known. They are wider than any configuration's.
var httpLimits = httpserver.Limits{HeaderBytes: 64 << 10, HeaderTime: 10 * time.Second, IdleTime: 60 * time.Second}

// remotePenalty is how much sooner a target in another data centre must be expected to answer to get a request. It covers
// the round trip, and the price of bytes between data centres, which is of the order of a request's worth.
const remotePenalty = 120 * time.Millisecond

// Edge is the daemon of one VM.
type Edge struct {
	settings platform.Settings
	file     string
	log      *telemetry.Log
	metrics  *telemetry.Metrics
	group    *duty.Group
	store    *meteredStore
	random   *rand.Rand

	admission *ring.Ring[any]
	keeper    *ring.Ring[any]
	session   *session
	knowledge *knowledge
	readiness *readiness
	front     *front
	server    *httpserver.Server
}

// New builds the daemon with the settings of file, which is read again when it changes. Nothing runs before Run.
func New(s platform.Settings, file string, output io.Writer) *Edge {
	e := &Edge{
		settings: s, file: file, metrics: telemetry.NewMetrics(), group: duty.NewGroup(),
		log:       telemetry.NewLog(output, log.Fields{"vm": s.VM, "dataCentre": s.DataCentre}),
		random:    rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(len(s.VM)))),
		admission: ring.New[any](admissionCapacity),
		keeper:    ring.New[any](keeperCapacity),
	}
	e.store = &meteredStore{Store: platform.NewStore(s.StoreAddress), metrics: e.metrics, log: e.log}
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log: e.log})
	e.metrics.Gauge("sail_log_dropped_total", func() float64 { return float64(e.log.Dropped()) })
	e.metrics.Ring("admission", e.admission)
	e.metrics.Ring("keeper", e.keeper)
	return e
}

// libraryLog passes the lines of libraries on.
type libraryLog struct{ log *telemetry.Log }

func (l libraryLog) Write(p []byte) (int, error) {
	l.log.Info("library message", log.Fields{"text": string(p)})
	return len(p), nil
}

// jitter returns a random time below d. It is safe for concurrent use.
func jitter(d time.Duration) time.Duration { return rand.N(d) }

// Run serves until ctx ends, then stops within the platform's stop time.
func (e *Edge) Run(ctx context.Context) error {
	if err := e.provision(); err != nil {
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

// stop lets the load balancer take this VM out, finishes the requests in hand and ends the duties.
func (e *Edge) stop() error {
	e.log.Info("stopping", nil)
	e.readiness.stopping.Store(true)
	e.front.closing.Store(true)
	close(e.session.leaving)
	leave := time.Duration(leaveShare * float64(e.settings.StopGracePeriod))
	duty.Pause(context.Background(), leave)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StopGracePeriod-leave-stopMargin)
	defer cancel()
	// Once Server.Shutdown is called, net/http drops requests that arrive on connections opened before.
	e.server.StopAccepting()
	refusing := time.AfterFunc(time.Duration(refuseShare*float64(e.settings.StopGracePeriod))-leave, func() { e.front.refusing.Store(true) })
	defer refusing.Stop()
	e.front.finish(ctx)
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Warn("requests were still in hand at the end of the stop time", log.Fields{"error": err.Error()})
	}
	duty.Pause(context.Background(), lingerTime)
	return e.group.Stop(context.Background())
}

func (e *Edge) provision() error {
	conn, err := listenPeers(e.settings.IP, e.settings.PeerPort)
	if err != nil {
		return err
	}
	jobs := ring.New[job](jobCapacity)
	reports := ring.New[report](reportCapacity)
	members := ring.New[fleet](1)
	meter := newMeter(e.metrics)
	e.group.Add(e.log.Duty())
	e.group.Add(e.store.duty())
	e.addKnowledge(members, reports)
	e.group.Add((&peerSender{
		vm: e.settings.VM, dataCentre: e.settings.DataCentre, in: reports, members: members, keeper: e.keeper, conn: conn, log: e.log,
	}).duty())
	e.group.Add((&peerReceiver{conn: conn, admission: e.admission, keeper: e.keeper, knowledge: e.knowledge.in, log: e.log}).duty())
	e.group.Add((&reloader{file: e.file, current: e.settings, admission: e.admission, log: e.log}).duty())
	mirror := peer.NewServer(e.settings.MirrorAddress)
	if err := mirror.Register("Mirror", &Mirror{knowledge: e.knowledge.in}); err != nil {
		return err
	}
	e.group.Add(mirror.Duty())
	e.addSession()
	e.addKeeper(reports)
	e.addAdmission(jobs, reports, meter)
	e.addServers(meter)
	return nil
}

func (e *Edge) addKnowledge(members *ring.Ring[fleet], reports *ring.Ring[report]) {
	updates := ring.New[any](updateCapacity)
	e.knowledge = newKnowledge()
	e.knowledge.in, e.knowledge.admission, e.knowledge.keeper = updates, e.admission, e.keeper
	e.knowledge.session = ring.New[keeperSeen](1)
	e.knowledge.peers, e.knowledge.log = members, e.log
	e.knowledge.reads = ring.New[ownerRead](ownerReads)
	e.knowledge.audits = ring.New[auditRequest](ownerReads)
	e.knowledge.reports, e.knowledge.vm = reports, e.settings.VM
	e.knowledge.entry, e.knowledge.seeds = e.entry(), e.settings.Seeds
	e.knowledge.mirrors = ring.New[mirrorAsk](ownerReads)
	e.group.Add((&mirrorClient{in: e.knowledge.mirrors, out: updates, log: e.log}).duty())
	e.group.Add(e.knowledge.duty())
	e.group.Add((&ownerReader{in: e.knowledge.reads, out: updates, store: e.store}).duty())
	e.group.Add((&auditor{in: e.knowledge.audits, out: updates, store: e.store}).duty())
	e.addWatch("operator", platform.OperatorPrefix, updates)
	e.addWatch("targets", platform.TargetPrefix, updates)
	e.addWatch("own", ownPrefix, updates)
}

// entry describes this run of this VM to the others.
func (e *Edge) entry() vmEntry {
	return vmEntry{
		VM: e.settings.VM, DataCentre: e.settings.DataCentre, Cores: e.settings.Cores,
		Incarnation:   types.Incarnation(time.Now().UnixNano()),
		PeerAddress:   net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPort)),
		MirrorAddress: e.settings.MirrorAddress,
	}
}

func (e *Edge) addWatch(name, prefix string, out *ring.Ring[any]) {
	w := &watch{name: name, prefix: prefix, pause: watchPause, store: e.store, out: out, log: e.log, jitter: jitter, gate: e.knowledge.gates[prefix]}
	e.group.Add(w.duty())
}

func (e *Edge) addSession() {
	e.session = &session{
		store: e.store, in: e.knowledge.session, keeper: e.keeper, knowledge: e.knowledge.in, log: e.log, jitter: jitter,
		ttl: max(sessionTTL, e.settings.MinLeaseTTL), roleTTL: max(roleTTL, e.settings.MinLeaseTTL), leaving: make(chan struct{}),
		entry: e.knowledge.entry,
	}
	e.group.Add(e.session.duty())
}

func (e *Edge) addKeeper(reports *ring.Ring[report]) {
	stores := ring.New[storeJob](updateCapacity)
	orders := ring.New[orderJob](orderCapacity)
	k := &keeper{
		name:     string(e.settings.VM) + "/" + strconv.FormatUint(uint64(e.session.entry.Incarnation), 10),
		settings: e.keeperSettings(),
		in:       e.keeper, stores: stores, orders: orders, peers: reports, admission: e.admission, log: e.log,
		knowledge: e.knowledge.in,
		wards:     make(map[types.Service]*ward),
		addresses: make(map[keyspace.Owner]string),
		hosts:     make(map[string]*forward.Host),
	}
	e.group.Add(k.duty())
	e.group.Add((&keeperStore{in: stores, out: e.keeper, store: e.store}).duty())
	for i := range orderers {
		e.group.Add((&orderer{index: i, in: orders, out: e.keeper, settings: k.settings, log: e.log}).duty())
	}
}

// keeperSettings are those of the keyspace cores. A predecessor is valid for its lease at most.
func (e *Edge) keeperSettings() keyspace.Settings {
	s := keyspace.Defaults(e.settings.MaxGrantTTL)
	s.Term = e.session.roleTTL
	return s
}

func (e *Edge) addAdmission(jobs *ring.Ring[job], reports *ring.Ring[report], m *meter) {
	a := &admissionDuty{
		in: e.admission, jobs: jobs, peers: reports, log: e.log, meter: m,
		core: admission.New(admission.Settings{
			DataCentre: string(e.settings.DataCentre), VM: string(e.settings.VM), RemotePenalty: remotePenalty,
			RetryRatio: e.settings.RetryRatio, RetrySlack: e.settings.RetrySlack, RetryWindow: e.settings.RetryWindow,
			ColdOvershoot: e.settings.ColdOvershoot, ColdSlack: e.settings.ColdSlack, DataCentres: len(e.settings.DataCentres),
		}, e.random),
		hands: make(map[admission.FlightID]*hand),
		hosts: make(map[hostKey]*forward.Host),
		keys:  make(map[types.Service][]keyspace.Key),
	}
	e.group.Add(a.duty())
	for i := range senders {
		e.group.Add((&sender{index: i, jobs: jobs, out: e.admission, log: e.log}).duty())
	}
}

func (e *Edge) addServers(m *meter) {
	e.front = &front{knowledge: e.knowledge, admission: e.admission, log: e.log, meter: m}
	e.readiness = &readiness{knowledge: e.knowledge}
	ready := &httpserver.Server{
		Name: "ready", Address: e.settings.ReadyAddress, Handler: e.readiness.handler(e.metrics), Limits: httpLimits,
	}
	e.server = &httpserver.Server{
		Name: "front", Address: e.settings.CallerAddress, Handler: e.front.handler(), Limits: httpLimits,
	}
	e.group.Add(ready.Duty())
	e.group.Add(e.server.Duty())
}
