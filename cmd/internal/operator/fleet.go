package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/types"
)

// Process identifies a gateway or dispatcher process.
type Process struct {
	VM types.VM
	// Role is gateway or dispatcher.
	Role string
	// Address is the host and port of the process's operators' pages.
	Address string
}

// Name returns "vm/role".
func (p Process) Name() string { return string(p.VM) + "/" + p.Role }

// StatusReport is the result of one status query to a process.
type StatusReport struct {
	Process Process
	// Status is valid when Err is nil.
	Status telemetry.Status
	// At is the time when the answer arrived or the query failed.
	At  time.Time
	Err error
}

const (
	// DefaultStatusTimeout bounds one status query to one process.
	DefaultStatusTimeout = time.Second
	// maxStatusBytes bounds the size of a status answer. One target takes about 200 bytes.
	maxStatusBytes = 4 << 20
)

// HTTPFleet queries processes over HTTP. Each process has its own duty with a ring for queries, and all duties put their
// results into one shared ring, so a process that does not answer does not delay the queries to the others.
type HTTPFleet struct {
	processes []Process
	identity  *identity.Source
	clients   []*http.Client
	timeout   time.Duration
	now       func() time.Time
	duties    *duty.Group
	queries   []*ring.Ring[uint64]
	results   *ring.Ring[queryResult]
	// round numbers the calls of Query, so that late results of an earlier call can be dropped.
	round uint64
}

// queryResult is the report of the process at index in the given round of queries.
type queryResult struct {
	round  uint64
	index  int
	report StatusReport
}

// FleetOptions configures an HTTPFleet.
type FleetOptions struct {
	// Timeout bounds one query to one process. The default is DefaultStatusTimeout.
	Timeout time.Duration
	// Now returns the wall-clock time.
	Now func() time.Time
	// Identity provides the certificate for TLS, and the fleet runs its duty. Nil means plain HTTP.
	Identity *identity.Source
}

// StartFleet returns an HTTPFleet with one running duty per process.
func StartFleet(ctx context.Context, processes []Process, o FleetOptions) (*HTTPFleet, error) {
	if o.Timeout == 0 {
		o.Timeout = DefaultStatusTimeout
	}
	f := &HTTPFleet{
		processes: processes, identity: o.Identity, timeout: o.Timeout, now: o.Now,
		duties: duty.NewGroup(), results: ring.New[queryResult](len(processes)),
	}
	if f.identity != nil {
		f.duties.Add(f.identity.Duty())
	}
	for i, p := range processes {
		queries := ring.New[uint64](1)
		f.queries = append(f.queries, queries)
		f.clients = append(f.clients, f.newClient(p))
		f.duties.Add(duty.Duty{
			Name: "status-" + p.Name(),
			Run:  func(ctx context.Context) error { return f.runQueries(ctx, i, queries) },
		})
	}
	return f, f.duties.Start(ctx)
}

// newClient returns the HTTP client for p. Each process has its own client, because the client checks that the server
// certificate names the process's VM. The URL scheme stays http, because the dialer already returns a TLS connection.
func (f *HTTPFleet) newClient(p Process) *http.Client {
	var tcp net.Dialer
	dial := f.identity.DialAdmin(func(ctx context.Context) (net.Conn, error) {
		return tcp.DialContext(ctx, "tcp", p.Address)
	}, p.VM)
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) },
	}}
}

// Stop stops the duties and closes idle connections.
func (f *HTTPFleet) Stop(ctx context.Context) error {
	err := f.duties.Stop(ctx)
	for _, c := range f.clients {
		c.CloseIdleConnections()
	}
	return err
}

// Query implements Fleet. It returns when all processes have answered or timed out, or when ctx ends. All processes are
// queried at the same time, so this takes one query timeout at most, or two if the ctx of the previous call ended while
// its queries were in progress.
func (f *HTTPFleet) Query(ctx context.Context) []StatusReport {
	f.round++
	reports := make([]StatusReport, len(f.processes))
	for i, q := range f.queries {
		reports[i] = StatusReport{Process: f.processes[i], Err: types.NewFault(types.CodeTimeout, "no answer before the query ended")}
		_ = q.Replace(f.round)
	}
	for range f.processes {
		result, err := f.nextResult(ctx)
		if err != nil {
			return reports
		}
		reports[result.index] = result.report
	}
	return reports
}

// nextResult returns the next result of the current round and drops results of earlier rounds.
func (f *HTTPFleet) nextResult(ctx context.Context) (queryResult, error) {
	for {
		result, err := f.results.Get(ctx)
		if err != nil || result.round == f.round {
			return result, err
		}
	}
}

// runQueries is the duty that queries the process at index.
func (f *HTTPFleet) runQueries(ctx context.Context, index int, queries *ring.Ring[uint64]) error {
	for {
		round, err := queries.Get(ctx)
		if err != nil {
			return err
		}
		report := f.queryProcess(ctx, index)
		if err := f.results.Put(ctx, queryResult{round: round, index: index, report: report}); err != nil {
			return err
		}
	}
}

// queryProcess requests the status page of the process at index.
func (f *HTTPFleet) queryProcess(ctx context.Context, index int) StatusReport {
	p := f.processes[index]
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	s, err := fetchStatus(ctx, f.clients[index], "http://"+p.Address+"/status")
	return StatusReport{Process: p, Status: s, At: f.now(), Err: err}
}

// fetchStatus reads the status page at url. Unknown fields are ignored, because newer processes may report more than this
// sailctl knows during a rolling upgrade.
func fetchStatus(ctx context.Context, client *http.Client, url string) (telemetry.Status, error) {
	var s telemetry.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, types.WrapFault(types.CodeBadSettings, err, "cannot create the status request")
	}
	response, err := client.Do(request)
	if err != nil {
		return s, types.WrapFault(types.CodePeerUnavailable, err, "does not answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, types.NewFault(types.CodePeerUnavailable, "answers with HTTP status %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, types.WrapFault(types.CodePeerUnavailable, err, "answers with an invalid status")
	}
	return s, nil
}
