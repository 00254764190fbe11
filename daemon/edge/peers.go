package edge

import (
	"context"
	"errors"
	"net"
	"strconv"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// maxDatagram is the largest datagram that is read, in bytes.
const maxDatagram = 16 << 10

// fleet is the VMs that the store lists.
type fleet struct {
	vms []vmEntry
	// keeper is empty when there is none.
	keeper types.VM
}

// peerSender sends reports to other VMs.
type peerSender struct {
	vm         types.VM
	dataCentre types.DataCentre
	in         *ring.Ring[report]
	members    *ring.Ring[fleet]
	keeper     *ring.Ring[any]
	conn       *net.UDPConn
	log        *telemetry.Log

	others   []other
	keeperVM types.VM
}

type other struct {
	vmEntry
	address *net.UDPAddr
}

func (p *peerSender) duty() duty.Duty { return duty.Duty{Name: "peer-send", Run: p.run} }

func (p *peerSender) run(ctx context.Context) error {
	for {
		p.members.Drain(p.setMembers)
		p.in.Drain(p.send)
		select {
		case <-p.in.Ready():
		case <-p.members.Ready():
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *peerSender) setMembers(f fleet) {
	p.others = p.others[:0]
	p.keeperVM = f.keeper
	for _, m := range f.vms {
		if m.VM == p.vm {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", m.PeerAddress)
		if err != nil {
			p.log.Warn("VM left out of reports", log.Fields{"vm": m.VM, "address": m.PeerAddress, "error": err.Error()})
			continue
		}
		p.others = append(p.others, other{vmEntry: m, address: a})
	}
}

// concerns reports whether a report is for a VM.
func (p *peerSender) concerns(r report, o other) bool {
	switch r.to {
	case toDataCentre:
		return o.DataCentre == p.dataCentre
	case toKeeper:
		return o.VM == p.keeperVM
	default:
		return true
	}
}

func (p *peerSender) send(r report) {
	if r.to == toKeeper && p.keeperVM == p.vm {
		passToKeeper(p.keeper, r)
		return
	}
	data, err := encodeReport(p.vm, r)
	if err != nil {
		p.log.Warn("report not sent", log.Fields{"error": err.Error()})
		return
	}
	for _, o := range p.others {
		if p.concerns(r, o) {
			// A datagram that can't be sent is like one that is lost: the next report replaces it.
			_, _ = p.conn.WriteToUDP(data, o.address)
		}
	}
}

// passToKeeper hands on what measures the load. A full ring loses a little of the measurement and nothing else.
func passToKeeper(keeper *ring.Ring[any], r report) {
	for s, keys := range r.keys {
		_ = keeper.TryPut(requestedKeys{service: s, keys: keys})
	}
	for _, s := range r.seen {
		_ = keeper.TryPut(s)
	}
}

// peerReceiver takes the reports of other VMs.
type peerReceiver struct {
	conn      *net.UDPConn
	admission *ring.Ring[any]
	keeper    *ring.Ring[any]
	knowledge *ring.Ring[any]
	log       *telemetry.Log
}

func (p *peerReceiver) duty() duty.Duty {
	return duty.Duty{Name: "peer-receive", Run: p.run, Stop: func(context.Context) error { return p.conn.Close() }}
}

func (p *peerReceiver) run(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDP(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.log.Warn("reports can't be read", log.Fields{"error": err.Error()})
			continue
		}
		from, r, err := decodeReport(buf[:n])
		if err != nil {
			p.log.Warn("report ignored", log.Fields{"error": err.Error()})
			continue
		}
		p.pass(ctx, from, r)
	}
}

// toldDigest is a digest that another VM has sent.
type toldDigest struct {
	from   types.VM
	digest digest
}

// pass hands a report to the duties that it is for. A full ring of admission means that newer reports are waiting.
func (p *peerReceiver) pass(ctx context.Context, from types.VM, r report) {
	passToKeeper(p.keeper, r)
	if r.load != nil {
		_ = p.admission.TryPut(*r.load)
	}
	for s, ranges := range r.moving {
		_ = p.admission.TryPut(admission.Moving{Service: s, Ranges: ranges})
	}
	for _, d := range r.digests {
		_ = p.knowledge.Put(ctx, toldDigest{from: from, digest: d})
	}
	for _, o := range r.owners {
		_ = p.knowledge.Put(ctx, o)
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
