package edge

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/quota"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 16 << 10
	// correspondentTTL is how long after its last report a VM that is not listed gets the reports of this one: several times
	// reportRefresh, because datagrams may be lost.
	correspondentTTL = 3 * time.Second
	// correspondentInterval is the shortest time between two messages of the receiver to the sender about the same VM.
	correspondentInterval = correspondentTTL / 6
	// maxCorrespondents bounds the VMs that are kept as correspondents.
	maxCorrespondents = 1024
)

// membership is the list of VMs in the store.
type membership struct {
	vms []vmEntry
	// coordinator is empty if there is none.
	coordinator types.VM
}

// correspondent is a VM that has sent a report to this one.
type correspondent struct {
	vm     types.VM
	source netip.AddrPort
	// neighbour is true if the report has a load, which is for the VMs of the sender's data centre.
	neighbour bool
	heardAt   types.Instant
}

// peerSender sends the reports of this VM to the other VMs: those of the store's list, and those that report to this VM without
// being in it, because the store may drop the entry of a VM that goes on.
type peerSender struct {
	vm         types.VM
	dataCentre types.DataCentre
	// in holds the reports to send, members the lists of VMs, heard the VMs that report to this one. coordinator is the ring of
	// this VM's coordinator duty, which gets this VM's reports directly while it has the role.
	in          *ring.Ring[report]
	members     *ring.Ring[membership]
	heard       *ring.Ring[correspondent]
	coordinator *ring.Ring[any]
	conn        *net.UDPConn
	log         *telemetry.Log
	now         func() types.Instant

	// remotes holds the listed VMs with a valid address.
	remotes        map[types.VM]remoteVM
	coordinatorVM  types.VM
	correspondents map[types.VM]correspondent
}

// remoteVM is another VM with its resolved peer address.
type remoteVM struct {
	vmEntry
	address netip.AddrPort
	// relay is true if the VM is a relay of its data centre.
	relay bool
}

func (p *peerSender) duty() duty.Duty { return duty.Duty{Name: "peer-send", Run: p.run} }

func (p *peerSender) run(ctx context.Context) error {
	for {
		p.members.Drain(p.setMembers)
		p.heard.Drain(p.addCorrespondent)
		p.in.Drain(p.send)
		select {
		case <-p.in.Ready():
		case <-p.members.Ready():
		case <-p.heard.Ready():
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *peerSender) setMembers(list membership) {
	p.remotes = make(map[types.VM]remoteVM, len(list.vms))
	p.coordinatorVM = list.coordinator
	relays := relaysOf(list.vms)
	for _, m := range list.vms {
		if m.VM == p.vm {
			continue
		}
		a, ok := m.peerAddrPort()
		if !ok {
			p.log.Warn("invalid peer address, no reports are sent to this VM", log.Fields{"vm": m.VM, "address": m.PeerAddress})
			continue
		}
		p.remotes[m.VM] = remoteVM{vmEntry: m, address: a, relay: slices.Contains(relays[m.DataCentre], m.VM)}
	}
}

// addCorrespondent records that a VM reports to this one. A report without a load does not change what is known of its data centre.
func (p *peerSender) addCorrespondent(c correspondent) {
	old, known := p.correspondents[c.vm]
	if !known && len(p.correspondents) >= maxCorrespondents {
		return
	}
	c.neighbour = c.neighbour || old.neighbour
	p.correspondents[c.vm] = c
}

// unlisted returns the VMs that report to this one and are not in the store's list.
func (p *peerSender) unlisted(now types.Instant) (list []correspondent) {
	maps.DeleteFunc(p.correspondents, func(_ types.VM, c correspondent) bool { return now.Sub(c.heardAt) >= correspondentTTL })
	for _, c := range p.correspondents {
		if _, listed := p.remotes[c.vm]; !listed {
			list = append(list, c)
		}
	}
	return list
}

// peerAddrPort returns the address for datagrams. It is an IP, so that no name has to be resolved.
func (m vmEntry) peerAddrPort() (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(m.PeerAddress)
	return a, err == nil && a.Addr().Is4()
}

// relaysOf returns the relays of each data centre, the first by rank of those that can be reached. VMs with the same list agree on
// them.
func relaysOf(list []vmEntry) map[types.DataCentre][]types.VM {
	relays := make(map[types.DataCentre][]types.VM)
	for _, m := range slices.SortedFunc(slices.Values(list), byRank) {
		if _, ok := m.peerAddrPort(); ok && len(relays[m.DataCentre]) < quota.RelaysPerDataCentre {
			relays[m.DataCentre] = append(relays[m.DataCentre], m.VM)
		}
	}
	return relays
}

// isRecipient reports whether a report is addressed to a VM.
func (p *peerSender) isRecipient(r report, remote remoteVM) bool {
	switch r.to {
	case toDataCentre:
		return remote.DataCentre == p.dataCentre
	case toCoordinator:
		return remote.VM == p.coordinatorVM
	case toRelays:
		return remote.relay && remote.DataCentre != p.dataCentre
	case toDataCentreAndRelays:
		return remote.relay || remote.DataCentre == p.dataCentre
	default:
		return true
	}
}

// isUnlistedRecipient reports whether a report is addressed to a VM that is not listed.
func (p *peerSender) isUnlistedRecipient(r report, c correspondent) bool {
	switch r.to {
	case toDataCentre:
		return c.neighbour
	case toRelays:
		return !c.neighbour
	default:
		return r.to != toCoordinator
	}
}

// send sends a report to its recipients. A failure to send is treated like a lost datagram: the next report replaces it.
func (p *peerSender) send(r report) {
	if r.to == toCoordinator && p.coordinatorVM == p.vm {
		passToCoordinator(p.coordinator, r)
		return
	}
	datagrams, err := p.encode(r)
	if err != nil {
		p.log.Warn("report not sent", log.Fields{"error": err.Error()})
		return
	}
	unlisted := p.unlisted(p.now())
	for _, data := range datagrams {
		for _, remote := range p.remotes {
			if p.isRecipient(r, remote) {
				_, _ = p.conn.WriteToUDPAddrPort(data, remote.address)
			}
		}
		for _, c := range unlisted {
			if p.isUnlistedRecipient(r, c) {
				_, _ = p.conn.WriteToUDPAddrPort(data, c.source)
			}
		}
	}
}

// encode returns the datagrams of a report: one, or more with forwarded reports.
func (p *peerSender) encode(r report) ([][]byte, error) {
	if len(r.forwarded) > 0 {
		return encodeForwarded(p.vm, r.forwarded)
	}
	data, err := encodeReport(p.vm, r)
	return [][]byte{data}, err
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
	// quotaReports is the ring of the quota duty, which doesn't wait for it. A full ring drops the oldest report: counters are
	// cumulative.
	quotaReports *ring.Ring[quota.Report]
	// heard is the ring of the peer sender for the VMs that report. A full ring drops them, because they report again.
	heard *ring.Ring[correspondent]
	log   *telemetry.Log
	now   func() types.Instant

	// noted holds what the peer sender was last told of each VM.
	noted map[types.VM]correspondent
}

func (p *peerReceiver) duty() duty.Duty {
	return duty.Duty{Name: "peer-receive", Run: p.run, Stop: func(context.Context) error { return p.conn.Close() }}
}

func (p *peerReceiver) run(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := p.conn.ReadFromUDPAddrPort(buf)
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
		p.noteCorrespondent(correspondent{vm: from, source: source, neighbour: r.load != nil, heardAt: p.now()})
		p.dispatch(ctx, from, r)
	}
}

// noteCorrespondent tells the peer sender that a VM reports, at most once in correspondentInterval unless it has changed.
func (p *peerReceiver) noteCorrespondent(c correspondent) {
	old, known := p.noted[c.vm]
	c.neighbour = c.neighbour || old.neighbour
	if known && old.source == c.source && old.neighbour == c.neighbour && c.heardAt.Sub(old.heardAt) < correspondentInterval {
		return
	}
	if len(p.noted) >= maxCorrespondents {
		clear(p.noted)
	}
	p.noted[c.vm] = c
	_ = p.heard.TryPut(c)
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
	if r.quota != nil {
		_ = p.quotaReports.Replace(*r.quota)
	}
	for _, f := range r.forwarded {
		_ = p.quotaReports.Replace(f)
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
