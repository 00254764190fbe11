package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

func testCall() ownership.TargetCall {
	return ownership.TargetCall{
		Target: keyedTarget, Kind: ownership.CallGrant, Number: 4, Epoch: 9, Token: 3, Incarnation: 2, TTLMs: 700,
		KeySet: &ownership.KeySet{
			Slots:  []ownership.SlotRange{{First: 1, Count: 2, Epoch: 5}},
			Except: []types.KeyHash{77}, Keys: []ownership.OwnedKey{{Key: 78, Epoch: 6}},
		},
		Deadline: telemetry.Now().Add(time.Minute),
	}
}

// Guards against confusing the reasons for which a target refuses a call: an expired grant must not be renewed, and
// only after a call without a response is it unknown whether the call took effect.
func TestGrantRefusalsAreDistinguished(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		want   ownership.CallStatus
		closed int64
	}{
		{"accepted", nil, ownership.CallAccepted, 0},
		{"stale token", types.NewFault(types.CodeStaleToken, "test"), ownership.CallStaleToken, 0},
		{"stale epoch", types.NewFault(types.CodeStaleEpoch, "test"), ownership.CallStaleEpoch, 0},
		{"expired grant", types.NewFault(types.CodeNotLeaseHolder, "test"), ownership.CallExpired, 0},
		{"timeout", types.NewFault(types.CodeTimeout, "test"), ownership.CallFailed, 1},
		{"broken", types.NewFault(types.CodeTargetFailed, "test"), ownership.CallFailed, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := &fakeTarget{grant: func(target.GrantRequest) (target.GrantResponse, error) {
				return target.GrantResponse{Token: 8, Incarnation: 2}, c.err
			}}
			result := (&leaseCaller{client: client}).make(t.Context(), testCall())
			is.Equal(result.Status, c.want)
			is.Equal(result.Number, uint64(4))
			is.Equal(result.Token, ownership.Token(8))
			is.Equal(client.closed.Load(), c.closed) // a connection without a response is not used again
		})
	}
}

// Guards against a grant request that omits an exception, a hot key or the fencing token.
func TestGrantCarriesKeySetAndFencing(t *testing.T) {
	is := is.New(t)
	var got target.GrantRequest
	client := &fakeTarget{grant: func(g target.GrantRequest) (target.GrantResponse, error) {
		got = g
		return target.GrantResponse{}, nil
	}}
	(&leaseCaller{client: client}).make(t.Context(), testCall())
	is.Equal(got.Fencing, target.Fencing{LeaseEpoch: 9, Token: 3, Incarnation: 2})
	is.Equal(got.TTL, 700*time.Millisecond)
	is.Equal(got.Slots, []target.SlotRange{{Start: 1, Count: 2, Epoch: 5}})
	is.Equal(got.Except, []types.KeyHash{77})
	is.Equal(got.HotKeys, []target.HotKey{{Hash: 78, Epoch: 6}})
}

// Guards against a grant that is sent after the deadline at which the core gives the call up.
func TestLateCallIsNotSent(t *testing.T) {
	is := is.New(t)
	call := testCall()
	call.Deadline = telemetry.Now()
	result := (&leaseCaller{client: &fakeTarget{}}).make(t.Context(), call) // a grant would panic
	is.Equal(result.Status, ownership.CallFailed)
}
