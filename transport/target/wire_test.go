package target

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/internal/exchange"
	"sequoiasail.example/types"
)

// Guards against load values that change in a round trip or become negative.
func FuzzParseLoad(f *testing.F) {
	f.Add("3/4")
	f.Add("-1/4")
	f.Add("99999999999/1")
	f.Fuzz(func(t *testing.T, s string) {
		l := parseLoad(s)
		if l.Running < 0 || l.Slots < 0 || parseLoad(l.String()) != l {
			t.Fatalf("%q gave %+v", s, l)
		}
	})
}

// Guards against panics on malformed incarnations.
func FuzzParseIncarnation(f *testing.F) {
	f.Add("17")
	f.Add("-1")
	f.Fuzz(func(_ *testing.T, s string) { parseIncarnation(s) })
}

// Guards against taking a control response without a known code for a refusal.
func FuzzDecodeResponses(f *testing.F) {
	f.Add(409, []byte(`{"code":"stale-epoch","message":"m"}`))
	f.Add(500, []byte(`{"token":"1.2.3","incarnation":4}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		refusal, fault := decodeFault(status, body)
		code := fault.Code
		if code != types.CodeTargetFailed && !refusalCodes[code] {
			t.Fatalf("unexpected code %s", code)
		}
		if code == types.CodeTargetFailed && refusal != (FaultResponse{}) {
			t.Fatalf("an unknown refusal gave %+v", refusal)
		}
		_, _ = decode[GrantResponse](body)
		_, _ = decode[Health](body)
		_, _ = decode[Load](body)
	})
}

// Guards against callers that set the reserved fencing headers, and against forwarding hop-by-hop headers.
func TestCallersCannotSetReservedHeaders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	h := encodeHeader(Request{
		RequestID:  "r1",
		LeaseEpoch: 7,
		Header:     http.Header{"Sail-Lease-Epoch": {"9"}, "Connection": {"close"}, "Accept": {"*/*"}},
		Deadline:   now.Add(30 * time.Millisecond),
	}, now)
	is.Equal(h.Get(HeaderLeaseEpoch), "7")
	is.Equal(h.Get(HeaderDeadline), "30")
	is.Equal(h.Get("Connection"), "")
	is.Equal(h.Get("Accept"), "*/*")
}

// Guards against accepting a response that does not have the ID of the request, and against treating a response as "not run"
// without both status 503 and the header.
func TestCheckResponse(t *testing.T) {
	is := is.New(t)
	r := Request{RequestID: "r1"}
	check := func(status int, h http.Header) *Failure {
		return checkResponse(r, exchange.Answer{Status: status, Header: h})
	}
	for _, h := range []http.Header{
		{HeaderRequestID: {"r2"}, HeaderNotRun: {"true"}}, {HeaderNotRun: {"true"}}, {HeaderRequestID: {"r1", "r2"}, HeaderNotRun: {"true"}},
	} {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			mismatched := check(status, h)
			is.Equal(mismatched.Kind, KindBadResponse)
			is.True(!mismatched.NotRun())
		}
	}
	own := []string{"r1"}
	is.Equal(check(http.StatusServiceUnavailable, http.Header{HeaderRequestID: own}), nil)
	is.Equal(check(http.StatusOK, http.Header{HeaderRequestID: own, HeaderNotRun: {"true"}}), nil)
	refused := check(http.StatusServiceUnavailable, http.Header{HeaderRequestID: own, HeaderNotRun: {"true"}, HeaderCode: {"done"}})
	is.Equal(refused.Fault.Code, types.CodeTargetRefused)
	is.True(refused.NotRun())
}
