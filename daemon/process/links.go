package process

import (
	"context"
	"maps"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// peersRingCapacity is small because each list of peers replaces the ones before it.
const peersRingCapacity = 4

// Peer is a process to which a link is kept.
type Peer struct {
	VM types.VM
	// Incarnation distinguishes the process from earlier ones on the same VM, which need a link of their own.
	Incarnation types.Incarnation
	// Address is host:port of the net/rpc server.
	Address string
}

// Links keeps one link, a net/rpc client connection that redials by itself, to each peer. Each link is a duty of its own.
type Links struct {
	// Publish is called with all links after each change. It must not modify the map. It may block.
	Publish func(links map[types.VM]*peer.Link)

	// identity secures the links. Nil for plain TCP.
	identity *identity.Source

	metrics *telemetry.Metrics
	// in holds the lists of peers passed to Set.
	in *ring.Ring[[]Peer]
	// group holds the duties of the links.
	group *duty.Group
	// peers and active hold the peer and the link of each VM that has a link.
	peers  map[types.VM]Peer
	active map[types.VM]*peer.Link
}

// NewLinks returns an empty set of links that uses the identity and the metrics of b.
func NewLinks(b *Base, publish func(map[types.VM]*peer.Link)) *Links {
	return &Links{
		Publish:  publish,
		identity: b.Identity,
		metrics:  b.Metrics,
		in:       ring.New[[]Peer](peersRingCapacity),
		group:    duty.NewGroup(),
		peers:    make(map[types.VM]Peer),
		active:   make(map[types.VM]*peer.Link),
	}
}

// Set replaces the list of peers. The links follow asynchronously.
func (l *Links) Set(peers []Peer) { _ = l.in.Replace(peers) }

// Duty returns the duty that starts and stops links.
func (l *Links) Duty() duty.Duty {
	return duty.Duty{
		Name: "links",
		Run:  l.run,
		Stop: func(context.Context) error { l.in.Close(); return nil },
	}
}

func (l *Links) run(ctx context.Context) error {
	defer func() { _ = l.group.Stop(context.WithoutCancel(ctx)) }()
	l.in.Serve(ctx, func(peers []Peer) error {
		if l.apply(ctx, peers) {
			l.Publish(maps.Clone(l.active))
		}
		return nil
	})
	return nil
}

// apply starts links to new peers, and stops links to peers that are gone or have another incarnation or address. It
// reports whether any link was started or stopped.
func (l *Links) apply(ctx context.Context, peers []Peer) bool {
	wanted := make(map[types.VM]Peer, len(peers))
	for _, p := range peers {
		wanted[p.VM] = p
	}
	var retired []types.VM
	for vm, p := range l.peers {
		if wanted[vm] != p {
			retired = append(retired, vm)
		}
	}
	started := l.replace(ctx, wanted, retired)
	return started || len(retired) > 0
}

// replace stops the links to the VMs in retired, then starts a link to each wanted peer that has none. It reports whether
// it started any.
func (l *Links) replace(ctx context.Context, wanted map[types.VM]Peer, retired []types.VM) bool {
	for _, vm := range retired {
		l.retire(ctx, vm)
	}
	started := false
	for vm, p := range wanted {
		if _, running := l.peers[vm]; running {
			continue
		}
		link := peer.NewLink(string(vm), l.identity.Dial(peer.TCPDialer(p.Address), vm))
		if err := l.group.Launch(ctx, link.Duty()); err != nil {
			continue
		}
		l.metrics.Ring("link-"+string(vm), link.Ring())
		l.peers[vm] = p
		l.active[vm] = link
		started = true
	}
	return started
}

// retire stops the link to vm.
func (l *Links) retire(ctx context.Context, vm types.VM) {
	_ = l.group.Remove(ctx, "link-"+string(vm))
	delete(l.peers, vm)
	delete(l.active, vm)
}
