package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
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

// membership is the list of VMs in the store.
type membership struct {
	vms []vmEntry
	// coordinator is empty if there is none.
	coordinator types.VM
}

// peerSender sends the reports of this VM to the other VMs.
type peerSender struct {
	vm         types.VM
	dataCentre types.DataCentre
	// in holds the reports to send, members the lists of VMs. coordinator is the ring of this VM's coordinator duty, which gets
	// this VM's reports directly while it has the role.
	in          *ring.Ring[report]
	members     *ring.Ring[membership]
	coordinator *ring.Ring[any]
	conn        *net.UDPConn
	log         *telemetry.Log

	remotes       []remoteVM
	coordinatorVM types.VM
}

// remoteVM is another VM with its resolved peer address.
type remoteVM struct {
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

func (p *peerSender) setMembers(list membership) {
	p.remotes = p.remotes[:0]
	p.coordinatorVM = list.coordinator
	for _, m := range list.vms {
		if m.VM == p.vm {
			continue
		}
		// The address is an IP, so that no name has to be resolved here.
		a, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil || !a.Addr().Is4() {
			p.log.Warn("invalid peer address, no reports are sent to this VM", log.Fields{"vm": m.VM, "address": m.PeerAddress})
			continue
		}
		p.remotes = append(p.remotes, remoteVM{vmEntry: m, address: net.UDPAddrFromAddrPort(a)})
	}
}

// isRecipient reports whether a report is addressed to a VM.
func (p *peerSender) isRecipient(r report, remote remoteVM) bool {
	switch r.to {
	case toDataCentre:
		return remote.DataCentre == p.dataCentre
	case toCoordinator:
		return remote.VM == p.coordinatorVM
	default:
		return true
	}
}

func (p *peerSender) send(r report) {
	if r.to == toCoordinator && p.coordinatorVM == p.vm {
		passToCoordinator(p.coordinator, r)
		return
	}
	data, err := encodeReport(p.vm, r)
	if err != nil {
		p.log.Warn("report not sent", log.Fields{"error": err.Error()})
		return
	}
	for _, remote := range p.remotes {
		if p.isRecipient(r, remote) {
			// A failure to send is treated like a lost datagram: the next report replaces it.
			_, _ = p.conn.WriteToUDP(data, remote.address)
		}
	}
}

// passToCoordinator passes the load measurements of a report to the coordinator duty. A full ring drops them, which only
// makes the measurement less precise.
func passToCoordinator(coordinator *ring.Ring[any], r report) {
	for s, keys := range r.keys {
		_ = coordinator.TryPut(requestedKeys{service: s, keys: keys})
	}
	for _, s := range r.coordinatorSamples {
		_ = coordinator.TryPut(s)
	}
}

// peerReceiver receives the reports of other VMs and passes them to the duties concerned.
type peerReceiver struct {
	conn        *net.UDPConn
	admission   *ring.Ring[any]
	coordinator *ring.Ring[any]
	storeCache  *ring.Ring[any]
	log         *telemetry.Log
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
			p.log.Warn("failed to read from the peer socket", log.Fields{"error": err.Error()})
			continue
		}
		from, r, err := decodeReport(buf[:n])
		if err != nil {
			p.log.Warn("malformed report ignored", log.Fields{"error": err.Error()})
			continue
		}
		p.dispatch(ctx, from, r)
	}
}

// peerDigest is a digest received from another VM.
type peerDigest struct {
	from   types.VM
	digest digest
}

// dispatch passes the parts of a report to the duties concerned. If the admission ring is full, the load is dropped: a newer
// report replaces it.
func (p *peerReceiver) dispatch(ctx context.Context, from types.VM, r report) {
	passToCoordinator(p.coordinator, r)
	if r.load != nil {
		_ = p.admission.TryPut(*r.load)
	}
	for s, ranges := range r.moving {
		_ = p.admission.TryPut(admission.KeysMoving{Service: s, Ranges: ranges})
	}
	for _, d := range r.digests {
		_ = p.storeCache.Put(ctx, peerDigest{from: from, digest: d})
	}
	for _, o := range r.owners {
		_ = p.storeCache.Put(ctx, o)
	}
}

// listenPeers opens the UDP socket for reports.
func listenPeers(ip string, port int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "listen on %s", net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return conn, nil
}
