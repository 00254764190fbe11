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

// Process is one process of the system and the address of its operators' pages.
type Process struct {
	VM      types.VM
	Role    string
	Address string
}

// Name returns "vm/role".
func (p Process) Name() string { return string(p.VM) + "/" + p.Role }

// Report is what one process answered.
type Report struct {
	Process Process
	// Status is valid when Err is nil.
	Status telemetry.Status
	// At is when the answer arrived or the attempt failed.
	At  time.Time
	Err error
}

const (
	// DefaultStatusTimeout bounds one question to one process.
	DefaultStatusTimeout = time.Second
	// maxStatusBytes bounds an answer; one target takes about 200 bytes.
	maxStatusBytes = 4 << 20
)

// HTTPFleet asks processes over HTTP. Each process has a duty with a ring for questions; all duties answer into one
// ring. A process that does not answer therefore delays nobody else.
type HTTPFleet struct {
	processes []Process
	identity  *identity.Source
	clients   []*http.Client
	timeout   time.Duration
	now       func() time.Time
	duties    *duty.Group
	questions []*ring.Ring[uint64]
	answers   *ring.Ring[roundReport]
	round     uint64
}

// roundReport is a report on process index in a round of questions.
type roundReport struct {
	round  uint64
	index  int
	report Report
}

// FleetOptions configures an HTTPFleet.
type FleetOptions struct {
	// Timeout bounds one question to one process. Default DefaultStatusTimeout.
	Timeout time.Duration
	Now     func() time.Time
	// Identity secures the questions. The fleet runs its duty. Nil for plain HTTP.
	Identity *identity.Source
}

// StartFleet starts one duty per process.
func StartFleet(ctx context.Context, processes []Process, o FleetOptions) (*HTTPFleet, error) {
	if o.Timeout == 0 {
		o.Timeout = DefaultStatusTimeout
	}
	f := &HTTPFleet{
		processes: processes, identity: o.Identity, timeout: o.Timeout, now: o.Now,
		duties: duty.NewGroup(), answers: ring.New[roundReport](len(processes)),
	}
	if f.identity != nil {
		f.duties.Add(f.identity.Duty())
	}
	for i, p := range processes {
		questions := ring.New[uint64](1)
		f.questions = append(f.questions, questions)
		f.clients = append(f.clients, f.newClient(p))
		f.duties.Add(duty.Duty{
			Name: "status-" + p.Name(),
			Run:  func(ctx context.Context) error { return f.serve(ctx, i, questions) },
		})
	}
	return f, f.duties.Start(ctx)
}

// newClient returns the client for p. Each process has its own, because its certificate must carry the name of its VM.
// The scheme stays http: the connection that the dialer returns is secured already.
func (f *HTTPFleet) newClient(p Process) *http.Client {
	var tcp net.Dialer
	dial := f.identity.DialAdmin(func(ctx context.Context) (net.Conn, error) {
		return tcp.DialContext(ctx, "tcp", p.Address)
	}, p.VM)
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) },
	}}
}

// Stop ends the duties and closes the connections.
func (f *HTTPFleet) Stop(ctx context.Context) error {
	err := f.duties.Stop(ctx)
	for _, c := range f.clients {
		c.CloseIdleConnections()
	}
	return err
}

// Query implements Fleet. It returns after the timeout of one question at the latest, or when ctx ends.
func (f *HTTPFleet) Query(ctx context.Context) []Report {
	f.round++
	reports := make([]Report, len(f.processes))
	for i, q := range f.questions {
		reports[i] = Report{Process: f.processes[i], Err: types.NewFault(types.CodeTimeout, "not asked in time")}
		_ = q.Replace(f.round)
	}
	for range f.processes {
		n, err := f.next(ctx)
		if err != nil {
			return reports
		}
		reports[n.index] = n.report
	}
	return reports
}

// next returns the next answer of this round. Answers to earlier rounds are dropped.
func (f *HTTPFleet) next(ctx context.Context) (roundReport, error) {
	for {
		n, err := f.answers.Get(ctx)
		if err != nil || n.round == f.round {
			return n, err
		}
	}
}

// serve is the duty of process index.
func (f *HTTPFleet) serve(ctx context.Context, index int, questions *ring.Ring[uint64]) error {
	for {
		round, err := questions.Get(ctx)
		if err != nil {
			return err
		}
		report := f.ask(ctx, index)
		if err := f.answers.Put(ctx, roundReport{round: round, index: index, report: report}); err != nil {
			return err
		}
	}
}

func (f *HTTPFleet) ask(ctx context.Context, index int) Report {
	p := f.processes[index]
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	s, err := status(ctx, f.clients[index], "http://"+p.Address+"/status")
	return Report{Process: p, Status: s, At: f.now(), Err: err}
}

// status decodes leniently: during a rolling upgrade newer processes may report more than this sailctl knows.
func status(ctx context.Context, client *http.Client, url string) (telemetry.Status, error) {
	var s telemetry.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, types.WrapFault(types.CodeBadSettings, err, "cannot ask")
	}
	response, err := client.Do(request)
	if err != nil {
		return s, types.WrapFault(types.CodePeerUnavailable, err, "does not answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, types.NewFault(types.CodePeerUnavailable, "answers %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, types.WrapFault(types.CodePeerUnavailable, err, "answers no status")
	}
	return s, nil
}
