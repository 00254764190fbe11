package edge

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// Guards against a VM that sends no load reports to a neighbour whose entry the store has dropped: the neighbour goes on, and
// would not know what is sent to cold targets.
func TestUnlistedNeighbourGetsLoadReports(t *testing.T) {
	is := is.New(t)
	conn, err := listenPeers("127.0.0.1", 0)
	is.NoErr(err)
	neighbour, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer neighbour.Close()

	a := newTestAdmission(1)
	members, coordinator, storeCache := ring.New[membership](1), ring.New[any](8), ring.New[any](8)
	heard := ring.New[correspondent](8)
	group := duty.NewGroup()
	group.Add(a.duty())
	group.Add((&peerSender{
		vm: "vm-1", dataCentre: "north", in: a.peers, members: members, heard: heard, coordinator: coordinator, conn: conn, log: a.log,
		now: telemetry.Now, correspondents: make(map[types.VM]correspondent),
	}).duty())
	group.Add((&peerReceiver{
		conn: conn, admission: a.in, coordinator: coordinator, storeCache: storeCache, heard: heard, log: a.log,
		now: telemetry.Now, noted: make(map[types.VM]correspondent),
	}).duty())
	is.NoErr(group.Start(t.Context()))
	defer func() { is.NoErr(group.Stop(context.Background())) }()
	// The list of VM vm-1 has itself alone.
	is.NoErr(members.Replace(membership{vms: []vmEntry{{VM: "vm-1", DataCentre: "north", PeerAddress: conn.LocalAddr().String()}}}))
	is.NoErr(a.in.Put(t.Context(), admission.Peers{VMs: []types.VM{"vm-1"}}))

	data, err := encodeReport("vm-2", report{to: toDataCentre, load: &admission.PeerReport{VM: "vm-2"}})
	is.NoErr(err)
	_, err = neighbour.WriteTo(data, conn.LocalAddr())
	is.NoErr(err)

	// An unchanged report is sent again each reportRefresh.
	is.NoErr(neighbour.SetReadDeadline(time.Now().Add(4 * reportRefresh)))
	buf := make([]byte, maxDatagram)
	n, _, err := neighbour.ReadFromUDP(buf)
	is.NoErr(err) // no report to the neighbour that is not listed
	from, r, err := decodeReport(buf[:n])
	is.NoErr(err)
	is.Equal(from, types.VM("vm-1"))
	is.True(r.load != nil)
}

// Guards against a VM whose entry the store has dropped and that learns of new owners of keys only by the refusals of targets: the
// coordinator, also one of another data centre, announces them to the VMs that report to it. VMs that have ended get nothing.
func TestReportsGoToVMsThatReport(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	address := netip.MustParseAddrPort("127.0.0.1:9")
	p := &peerSender{vm: "vm-1", dataCentre: "north", log: telemetry.NewLog(io.Discard, nil), correspondents: make(map[types.VM]correspondent)}
	recipients := func(to audience) (names []types.VM) {
		for _, c := range p.unlisted(now) {
			if p.isUnlistedRecipient(report{to: to}, c) {
				names = append(names, c.vm)
			}
		}
		slices.Sort(names)
		return names
	}
	p.setMembers(membership{vms: []vmEntry{{VM: "listed", DataCentre: "north", PeerAddress: address.String()}}})
	p.addCorrespondent(correspondent{vm: "listed", source: address, neighbour: true, heardAt: now})
	p.addCorrespondent(correspondent{vm: "near", source: address, neighbour: true, heardAt: now})
	p.addCorrespondent(correspondent{vm: "near", source: address, heardAt: now})
	p.addCorrespondent(correspondent{vm: "far", source: address, heardAt: now})
	is.Equal(recipients(toDataCentre), []types.VM{"near"})
	is.Equal(recipients(toAll), []types.VM{"far", "near"})
	is.Equal(len(recipients(toCoordinator)), 0)
	now = now.Add(correspondentTTL)
	is.Equal(len(recipients(toAll)), 0)
}
