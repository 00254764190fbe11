package edge

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

const (
	// maxReportedKeys and maxReportedSamples keep a report in one datagram of usual size.
	maxReportedKeys    = 100
	maxReportedSamples = 20
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 16 << 10
)

// report is what a VM tells the others: its load, the keys that were asked for and, from the keeper, keys on the move.
type report struct {
	peer   admission.PeerReport
	keys   map[types.Service][]keyspace.Key
	moving map[types.Service][]keyspace.Range
}

// datagram is a report on the wire. Datagrams suit reports, which may be lost and are of no use late; net/rpc would add
// connections that have to be watched and an answer to each report.
type datagram struct {
	_        struct{} `cbor:",toarray"`
	VM       string
	InFlight map[string]int
	Samples  []sampleField
	Keys     map[string][]uint16
	Moving   map[string][]movingField
}

type sampleField struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Micros   int64
	Slowness float32
	Failed   bool
}

type movingField struct {
	_        struct{} `cbor:",toarray"`
	From, To uint16
	Fence    uint64
}

func encodeReport(vm types.VM, r report) ([]byte, error) {
	d := datagram{VM: string(vm), InFlight: make(map[string]int, len(r.peer.InFlight))}
	for t, n := range r.peer.InFlight {
		d.InFlight[string(t)] = n
	}
	for _, s := range r.peer.Samples[:min(len(r.peer.Samples), maxReportedSamples)] {
		d.Samples = append(d.Samples, sampleField{
			Target: string(s.Target), Micros: s.Took.Microseconds(), Slowness: float32(s.Slowness), Failed: s.Failed,
		})
	}
	if len(r.keys) > 0 {
		d.Keys = make(map[string][]uint16)
		for s, keys := range r.keys {
			d.Keys[string(s)] = keys
		}
	}
	if len(r.moving) > 0 {
		d.Moving = make(map[string][]movingField)
		for s, ranges := range r.moving {
			for _, m := range ranges {
				d.Moving[string(s)] = append(d.Moving[string(s)], movingField{From: m.From, To: m.To, Fence: uint64(m.Fence)})
			}
		}
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "encode report")
	}
	return data, nil
}

func decodeReport(data []byte) (types.VM, report, error) {
	var d datagram
	if err := cbor.Unmarshal(data, &d); err != nil {
		return "", report{}, types.WrapFault(types.CodeBadRequest, err, "decode report")
	}
	r := report{
		peer:   admission.PeerReport{VM: types.VM(d.VM), InFlight: make(map[types.Target]int, len(d.InFlight))},
		keys:   make(map[types.Service][]keyspace.Key, len(d.Keys)),
		moving: make(map[types.Service][]keyspace.Range, len(d.Moving)),
	}
	for t, n := range d.InFlight {
		r.peer.InFlight[types.Target(t)] = n
	}
	for _, s := range d.Samples {
		r.peer.Samples = append(r.peer.Samples, admission.Sample{
			Target: types.Target(s.Target), Took: time.Duration(s.Micros) * time.Microsecond,
			Slowness: float64(s.Slowness), Failed: s.Failed,
		})
	}
	for s, keys := range d.Keys {
		r.keys[types.Service(s)] = keys
	}
	for s, list := range d.Moving {
		for _, m := range list {
			r.moving[types.Service(s)] = append(r.moving[types.Service(s)], keyspace.Range{From: m.From, To: m.To, Fence: types.Epoch(m.Fence)})
		}
	}
	return types.VM(d.VM), r, nil
}

// peerSender sends reports to all other VMs.
type peerSender struct {
	vm      types.VM
	in      *ring.Ring[report]
	members *ring.Ring[[]vmEntry]
	keeper  *ring.Ring[any]
	conn    *net.UDPConn
	log     *telemetry.Log

	others []*net.UDPAddr
}

func (p *peerSender) duty() duty.Duty { return duty.Duty{Name: "peer-send", Run: p.run} }

func (p *peerSender) run(ctx context.Context) error {
	for {
		p.members.Drain(p.setMembers)
		p.in.Drain(func(r report) { p.send(ctx, r) })
		select {
		case <-p.in.Ready():
		case <-p.members.Ready():
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *peerSender) setMembers(list []vmEntry) {
	p.others = p.others[:0]
	for _, m := range list {
		if m.VM == p.vm {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", m.PeerAddress)
		if err != nil {
			p.log.Warn("VM left out of reports", log.Fields{"vm": m.VM, "address": m.PeerAddress, "error": err.Error()})
			continue
		}
		p.others = append(p.others, a)
	}
}

// send also hands the keys to the keeper of this VM, which may be the one that decides.
func (p *peerSender) send(ctx context.Context, r report) {
	passKeys(ctx, p.keeper, r)
	data, err := encodeReport(p.vm, r)
	if err != nil {
		p.log.Warn("report not sent", log.Fields{"error": err.Error()})
		return
	}
	for _, a := range p.others {
		// A datagram that can't be sent is like one that is lost: the next report replaces it.
		_, _ = p.conn.WriteToUDP(data, a)
	}
}

func passKeys(_ context.Context, keeper *ring.Ring[any], r report) {
	for s, keys := range r.keys {
		// A full ring loses a little of the load measurement and nothing else.
		_ = keeper.TryPut(requestedKeys{service: s, keys: keys})
	}
}

// peerReceiver takes the reports of other VMs.
type peerReceiver struct {
	conn      *net.UDPConn
	admission *ring.Ring[any]
	keeper    *ring.Ring[any]
	log       *telemetry.Log
}

func (p *peerReceiver) duty() duty.Duty {
	return duty.Duty{Name: "peer-receive", Run: p.run, Stop: func(context.Context) error { return p.conn.Close() }}
}

func (p *peerReceiver) run(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue
		}
		_, r, err := decodeReport(buf[:n])
		if err != nil {
			p.log.Warn("report ignored", log.Fields{"error": err.Error()})
			continue
		}
		passKeys(ctx, p.keeper, r)
		// A full ring means that newer reports are waiting.
		_ = p.admission.TryPut(r.peer)
		for s, ranges := range r.moving {
			_ = p.admission.TryPut(admission.Moving{Service: s, Ranges: ranges})
		}
	}
}

// listenPeers opens the socket for reports.
func listenPeers(ip string, port int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "listen on %s", net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return conn, nil
}
