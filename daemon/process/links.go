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

// linksRingCapacity is small because each element replaces the one before.
const linksRingCapacity = 4

// Peer is a process to keep a link to.
type Peer struct {
	VM          types.VM
	Incarnation types.Incarnation
	Address     string
}

// Links keeps one link, and so one duty, for each peer.
type Links struct {
	// Publish receives the whole set after each change. The map must not be changed. It may block.
	Publish func(links map[types.VM]*peer.Link)

	identity *identity.Source

	metrics *telemetry.Metrics
	in      *ring.Ring[[]Peer]
	group   *duty.Group
	peers   map[types.VM]Peer
	active  map[types.VM]*peer.Link
}

// NewLinks returns an empty set for the process of b, with its identity and metrics.
func NewLinks(b *Base, publish func(map[types.VM]*peer.Link)) *Links {
	return &Links{
		Publish:  publish,
		identity: b.Identity,
		metrics:  b.Metrics,
		in:       ring.New[[]Peer](linksRingCapacity),
		group:    duty.NewGroup(),
		peers:    make(map[types.VM]Peer),
		active:   make(map[types.VM]*peer.Link),
	}
}

// Set replaces the peers to keep links to.
func (l *Links) Set(peers []Peer) { _ = l.in.Replace(peers) }

// Duty returns the duty that starts and retires links.
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

// apply retires links to peers that are gone or restarted, and reports whether anything changed.
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
	started := l.start(ctx, wanted, retired)
	return started || len(retired) > 0
}

func (l *Links) start(ctx context.Context, wanted map[types.VM]Peer, retired []types.VM) bool {
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

func (l *Links) retire(ctx context.Context, vm types.VM) {
	_ = l.group.Remove(ctx, "link-"+string(vm))
	delete(l.peers, vm)
	delete(l.active, vm)
}
