package process

import (
	"context"
	"net/rpc"
	"time"

	"sequoiasail.example/settings"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
)

// peerFetchTimeout bounds the connection to one peer and the call to it together.
const peerFetchTimeout = 500 * time.Millisecond

// fetchFromPeers returns the store entries of the peer that has the highest revision, for a start while the store is
// unavailable. ok is false when no peer answers, or none of them has read the store yet. The settings do not name the
// peers' VMs, so id accepts the certificate of any process.
func fetchFromPeers(ctx context.Context, id *identity.Source, peers []settings.Address) (u Update, ok bool) {
	var newest peer.LatestAnswer
	for _, address := range peers {
		answer, err := fetchFromPeer(ctx, id.Dial(peer.TCPDialer(string(address)), ""))
		if err == nil && answer.Revision > newest.Revision {
			newest = answer
		}
	}
	u = Update{Snapshot: true, Revision: newest.Revision}
	for _, e := range newest.Entries {
		u.Events = append(u.Events, store.Event{Entry: store.Entry{
			Key: e.Key, Value: e.Value, Revision: e.Revision, WriteID: e.WriteID,
		}})
	}
	return u, newest.Revision > 0
}

// fetchFromPeer returns the store entries that one peer last read.
func fetchFromPeer(ctx context.Context, dial peer.Dial) (peer.LatestAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	conn, err := dial(ctx)
	if err != nil {
		return peer.LatestAnswer{}, err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	answer := &peer.LatestAnswer{}
	call := client.Go(peer.MethodLatest, &peer.Empty{}, answer, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		if done.Error != nil {
			return peer.LatestAnswer{}, done.Error
		}
		return *answer, nil
	case <-ctx.Done():
		return peer.LatestAnswer{}, ctx.Err()
	}
}
