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

// seedTimeout bounds the question to one peer.
const seedTimeout = 500 * time.Millisecond

// askPeers returns the newest state that any of the peers knows, for a start during an outage of the store. ok is false
// when no peer knows any. The settings do not name the peers' VMs, so id accepts any process.
func askPeers(ctx context.Context, id *identity.Source, peers []settings.Address) (u Update, ok bool) {
	var newest peer.LatestAnswer
	for _, address := range peers {
		answer, err := askPeer(ctx, id.Dial(peer.TCPDialer(string(address)), ""))
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

func askPeer(ctx context.Context, dial peer.Dial) (peer.LatestAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
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
