package process

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/settings"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// discard is an io.Writer that drops everything.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func discardLog() *telemetry.Log { return telemetry.NewLog(discard{}, log.Fields{}) }

// configEvent returns the event of a write of a valid configuration.
func configEvent(version types.Version, revision types.Revision) store.Event {
	c := config.Configuration{
		Version:     version,
		DataCentres: []config.DataCentre{{Name: "praha-a", Region: "cz-stred"}},
		Services: []config.Service{{
			Name: "objednavky", Scope: config.ScopeAll, WriteClass: "order",
			Targets: []config.Target{{
				Name: "o-1", DataCentre: "praha-a", Address: "127.0.0.1:1", Slots: 4, Connections: 110, Weight: 1,
			}},
			Classes: []config.ClassPolicy{
				{Class: "lookup", TimeoutMs: 50, QueueLimit: 8},
				{Class: "order", TimeoutMs: 50, QueueLimit: 8, RememberMs: 600_000},
			},
			Limits: config.Limits{MaxBodyBytes: 64, ColdStartMs: 1000},
		}},
		Ownership: config.Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600},
	}
	return store.Event{Entry: store.Entry{Key: config.KeyCurrent, Value: config.Canonical(c), Revision: revision}}
}

// opsEvent returns the event of a write of the operators' row of data centre praha-a.
func opsEvent(version types.Version, state config.OpsState) store.Event {
	row := config.OpsRow{OpsChange: config.OpsChange{Version: version, State: state, WriteID: "w", Operator: "o"}}
	return store.Event{Entry: store.Entry{Key: config.DataCentreKey("praha-a"), Value: row.Encode()}}
}

// Guards against a configuration that is replaced by an older one, for example by that of a peer.
func TestOlderConfigurationIsNotInstalled(t *testing.T) {
	is := is.New(t)
	sc := NewStoreCache(discardLog())
	c := sc.Apply(Update{Snapshot: true, Events: []store.Event{configEvent(5, 1)}, Revision: 1})
	is.True(c.Config != nil)
	c = sc.Apply(Update{Snapshot: true, Events: []store.Event{configEvent(4, 9)}, Revision: 9})
	is.True(c.Config == nil)
	c = sc.Apply(Update{Events: []store.Event{configEvent(6, 10)}, Revision: 10})
	is.Equal(c.Config.Version, types.Version(6))
}

// Guards against an operators' row that is replaced by an older one from a delayed answer.
func TestOlderOperatorsRowIsNotInstalled(t *testing.T) {
	is := is.New(t)
	sc := NewStoreCache(discardLog())
	c := sc.Apply(Update{Events: []store.Event{opsEvent(2, config.OpsOut)}})
	is.Equal(c.Ops.DataCentreState("praha-a"), config.OpsOut)
	c = sc.Apply(Update{Events: []store.Event{opsEvent(1, config.OpsIn)}})
	is.True(c.Ops == nil)
}

// Guards against a value that cannot be decoded replacing the previous value of its key.
func TestInvalidValuesAreSkipped(t *testing.T) {
	is := is.New(t)
	sc := NewStoreCache(discardLog())
	sc.Apply(Update{Events: []store.Event{configEvent(1, 1)}})
	for _, key := range []string{config.KeyCurrent, "member/a/gateway", "ops/dc/praha-a", "table/s/0", "lease/s"} {
		c := sc.Apply(Update{Events: []store.Event{{Entry: store.Entry{Key: key, Value: []byte("{")}}}})
		is.True(c.Config == nil)
		is.Equal(len(c.Documents), 0)
	}
	is.Equal(sc.installed.Current().Version, types.Version(1))
}

// Guards against members that stay in the cache although their registration expired while the watch was interrupted.
func TestSnapshotRemovesMembers(t *testing.T) {
	is := is.New(t)
	sc := NewStoreCache(discardLog())
	member := store.Event{Entry: store.Entry{Key: "member/a/gateway", Value: []byte(`{"vm":"a","role":"gateway"}`)}}
	is.Equal(len(sc.Apply(Update{Events: []store.Event{member}}).Members), 1)
	c := sc.Apply(Update{Snapshot: true})
	is.True(c.Members != nil)
	is.Equal(len(c.Members), 0)
}

// unavailableStore fails every List call.
type unavailableStore struct{ store.Store }

func (unavailableStore) List(context.Context, string) ([]store.Entry, types.Revision, error) {
	return nil, 0, types.NewFault(types.CodeStoreUnavailable, "down")
}

// Guards against a process that cannot serve because it started while the store was unavailable.
func TestStartDuringOutageFetchesFromPeers(t *testing.T) {
	is := is.New(t)
	mirror := NewMirror()
	mirror.apply(Update{Snapshot: true, Events: []store.Event{configEvent(3, 7)}, Revision: 7})
	server := peer.NewServer("127.0.0.1:0")
	is.NoErr(server.Register("Peer", &PeerService{Mirror: mirror}))
	group := duty.NewGroup()
	group.Add(server.Duty())
	is.NoErr(group.Start(context.Background()))

	changes := make(chan Change, 16)
	w := &Watch{
		Store:      unavailableStore{},
		StoreCache: NewStoreCache(discardLog()),
		Peers:      []settings.Address{"127.0.0.1:1", settings.Address(server.Address())},
		Deliver:    func(_ context.Context, c Change) error { changes <- c; return nil },
	}
	is.NoErr(group.Launch(context.Background(), w.Duty()))
	for c := range changes {
		if c.Config != nil {
			is.Equal(c.Config.Version, types.Version(3))
			break
		}
	}
	is.NoErr(group.Stop(context.Background()))
}

// fakeStore answers the calls of a Registration. The next KeepAlive fails when expired is set.
type fakeStore struct {
	store.Store
	writes  chan store.Write
	expired bool
}

func (f *fakeStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, types.NewFault(types.CodeNotFound, "none")
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (store.LeaseID, error) { return 1, nil }

func (f *fakeStore) CAS(_ context.Context, w store.Write) (types.Revision, error) {
	f.writes <- w
	return 1, nil
}

func (f *fakeStore) KeepAlive(context.Context, store.LeaseID) error {
	if f.expired {
		f.expired = false
		return types.NewFault(types.CodeNotFound, "expired")
	}
	return nil
}

// Guards against a process that stays unregistered after its lease expired during a pause of the process.
func TestExpiredRegistrationIsRenewed(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{writes: make(chan store.Write, 4)}
	r := &Registration{Store: f, Member: Member{VM: "a", Role: RoleGateway, Incarnation: 1}, Log: discardLog()}
	is.Equal(r.renew(context.Background()), memberKeepAliveInterval)
	f.expired = true
	is.Equal(r.renew(context.Background()), memberKeepAliveInterval)
	first, second := <-f.writes, <-f.writes
	is.Equal(first.Key, "member/a/gateway")
	is.True(first.WriteID != second.WriteID)
}
