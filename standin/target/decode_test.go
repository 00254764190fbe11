package target

import (
	"net/http"
	"testing"
	"time"

	"sequoiasail.example/transport/target"
)

// Guards against headers that move a deadline into the past or beyond its bound.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("3", "7", "30")
	f.Add("-1", "x", "9223372036854775807")
	f.Fuzz(func(t *testing.T, slot, epoch, deadline string) {
		now := time.Unix(0, 0)
		h := http.Header{target.HeaderSlot: {slot}, target.HeaderLeaseEpoch: {epoch}, target.HeaderDeadline: {deadline}}
		r := decodeRequest(http.MethodPost, h, now)
		if !r.deadline.IsZero() && (r.deadline.Before(now) || r.deadline.After(now.Add(maxDeadline))) {
			t.Fatalf("deadline %v", r.deadline)
		}
	})
}

// Guards against a refused target list that still returns targets, and against panics on malformed ones.
func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`[{"name":"a","slots":2},{"name":"b"}]`))
	f.Add([]byte(`[{"nane":"a"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := decodeList(data, DefaultSettings())
		if err != nil && list != nil {
			t.Fatalf("%v with %d targets", err, len(list))
		}
	})
}
