package process

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	memberPrefix = "member/"
	// memberTTL is the time to live of the store lease of a registration.
	memberTTL               = 10 * time.Second
	memberKeepAliveInterval = 3 * time.Second
	// registerRetryDelay is the delay after a failed registration or a failed renewal of its lease.
	registerRetryDelay = 500 * time.Millisecond
	// memberCallTimeout bounds the store calls of one renewal or removal together.
	memberCallTimeout = time.Second
)

// Values of Member.Role.
const (
	RoleGateway    = "gateway"
	RoleDispatcher = "dispatcher"
)

// Member is the registration of one process, stored under member/<vm>/<role>.
type Member struct {
	VM          types.VM          `json:"vm"`
	Role        string            `json:"role"`
	DataCentre  types.DataCentre  `json:"dataCentre"`
	Incarnation types.Incarnation `json:"incarnation"`
	// PeerAddress is host:port of the net/rpc server, empty for a gateway.
	PeerAddress string `json:"peerAddress,omitempty"`
	// OpsAddress is host:port of the admin interface.
	OpsAddress string `json:"opsAddress"`
	// Leaving is true once the process has begun a planned stop. A leaving process takes no new leases.
	Leaving bool `json:"leaving,omitempty"`
}

// Key returns the store key of the member.
func (m Member) Key() string { return memberPrefix + string(m.VM) + "/" + m.Role }

// ParseMember decodes a registration. ok is false when the key is not a member key.
func ParseMember(key string, value []byte) (m Member, ok bool, err error) {
	if !strings.HasPrefix(key, memberPrefix) {
		return m, false, nil
	}
	if err := json.Unmarshal(value, &m); err != nil {
		return m, true, types.WrapFault(types.CodeBadConfiguration, err, "decode %s", key)
	}
	return m, true, nil
}

// Registration keeps a Member in the store under a store lease and renews the lease.
type Registration struct {
	Store  store.Store
	Member Member
	Log    *telemetry.Log

	// lease is the store lease of the registration, or 0 when the member has to be registered.
	lease store.LeaseID
	// leave receives the calls of Leave.
	leave chan struct{}
	// done is closed when the duty is stopped.
	done chan struct{}
}

// Duty returns the duty that registers the member and renews the registration. Stopping it removes the registration.
func (r *Registration) Duty() duty.Duty {
	r.done = make(chan struct{})
	r.leave = make(chan struct{}, 1)
	return duty.Duty{
		Name: "member-registration",
		Run:  r.run,
		Stop: func(context.Context) error { close(r.done); return nil },
	}
}

func (r *Registration) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(r.renew(ctx))
		case <-r.leave:
			r.Member.Leaving = true
			r.lease = 0 // makes renew register the changed member again, under a new lease
			timer.Reset(r.renew(ctx))
		case <-r.done:
			r.remove(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// Leave requests that the process be registered as leaving, so that its leases move before it stops. It does not wait.
func (r *Registration) Leave() {
	select {
	case r.leave <- struct{}{}:
	default:
	}
}

// renew keeps the lease alive, or registers the member when there is none. It returns the delay until the next call.
func (r *Registration) renew(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	if r.lease != 0 {
		err := r.Store.KeepAlive(ctx, r.lease)
		if err == nil {
			return memberKeepAliveInterval
		}
		if types.CodeOf(err) != types.CodeNotFound {
			return registerRetryDelay
		}
		r.lease = 0
	}
	if err := r.register(ctx); err != nil {
		r.Log.Warn("registration failed", map[string]any{"error": err.Error()})
		return registerRetryDelay
	}
	r.Log.Info("registered", map[string]any{"member": r.Member.Key(), "incarnation": r.Member.Incarnation})
	return memberKeepAliveInterval
}

// register writes the member under a new lease. It overwrites the entry of an earlier registration, if there is one.
func (r *Registration) register(ctx context.Context) error {
	value, err := json.Marshal(r.Member)
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "encode member")
	}
	lease, err := r.Store.GrantLease(ctx, memberTTL)
	if err != nil {
		return err
	}
	expected, err := currentRevision(ctx, r.Store, r.Member.Key())
	if err != nil {
		return err
	}
	_, err = r.Store.CAS(ctx, store.Write{
		Key:      r.Member.Key(),
		Expected: expected,
		Value:    value,
		Lease:    lease,
		WriteID:  NewWriteID(r.Member.VM, r.Member.Incarnation),
	})
	if err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// remove revokes the lease, which deletes the entry of the member.
func (r *Registration) remove(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	if err := r.Store.RevokeLease(ctx, r.lease); err != nil {
		r.Log.Warn("registration not removed, it expires with its lease", map[string]any{"error": err.Error()})
	}
}

// currentRevision returns the revision of key, or 0 when it does not exist.
func currentRevision(ctx context.Context, s store.Store, key string) (types.Revision, error) {
	entry, err := s.Get(ctx, key)
	if types.CodeOf(err) == types.CodeNotFound && err != nil {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return entry.Revision, nil
}
