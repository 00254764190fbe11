package store

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// Guards against taking a response with an unknown code as a guarantee that nothing was written.
func FuzzDecodeFault(f *testing.F) {
	f.Add([]byte(`{"code":"conflict","message":"m"}`))
	f.Add([]byte(`{"code":"answer-lost"}`))
	f.Add([]byte(`<html>`))
	f.Fuzz(func(t *testing.T, body []byte) {
		fault, ok := decodeFault(body)
		if ok != (fault != nil) || (ok && !notWrittenCodes[fault.Code]) {
			t.Fatalf("fault %v, ok %v", fault, ok)
		}
	})
}

// Guards against responses that change in a round trip, and against panics on malformed ones.
func FuzzDecodeResponses(f *testing.F) {
	f.Add([]byte(`{"key":"a","value":"aGk=","revision":3,"writeId":"w"}`))
	f.Add([]byte(`{"entries":[{"key":"a"}],"revision":3}`))
	f.Add([]byte(`{"events":[{"key":"a","deleted":true}],"revision":3}`))
	f.Add([]byte(`{"vms":[{"vm":"a","state":"live"}]}`))
	f.Add([]byte(`{"id":1,"ttlMs":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		roundTrip[Entry](t, body)
		roundTrip[ListResponse](t, body)
		roundTrip[WatchResponse](t, body)
		roundTrip[WriteResponse](t, body)
		roundTrip[VMsResponse](t, body)
		roundTrip[Lease](t, body)
	})
}

func roundTrip[T any](t *testing.T, body []byte) {
	first, err := decode[T](body)
	if err != nil {
		return
	}
	encoded, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	second, err := decode[T](encoded)
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(second)
	if err != nil || string(again) != string(encoded) {
		t.Fatalf("%s became %s: %v", encoded, again, err)
	}
}

// Guards against reporting a write as not written when its bytes may have been sent.
func TestAnswerLostOnlyForWrites(t *testing.T) {
	is := is.New(t)
	cause := types.NewFault(types.CodeInternal, "cause")
	is.Equal(storeFault(types.CodeTimeout, true, cause).Code, types.CodeAnswerLost)
	is.Equal(storeFault(types.CodeTimeout, false, cause).Code, types.CodeTimeout)
}
