package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that wait in vain for an answer after the admission duty has failed: the VM serves on until the end of
// its stop, and nothing answers them.
func TestRequestsAreAnsweredAfterAdmissionHasFailed(t *testing.T) {
	is := is.New(t)
	cl, _ := newServingCluster(t, 1200*time.Millisecond)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	running := make(chan stopOutcome, 1)
	inFlight, late := dialCaller(t, v), dialCaller(t, v)
	go func() {
		var o stopOutcome
		o.status, _, o.err = order(inFlight, "r1", callTimeout)
		running <- o
	}()
	time.Sleep(200 * time.Millisecond)
	// The core panics on a request without a route.
	is.NoErr(v.edge.admission.TryPut(&pending{}))
	time.Sleep(100 * time.Millisecond)
	status, _, err := order(late, "r2", callTimeout)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	o := <-running
	is.NoErr(o.err)
	is.Equal(o.status, http.StatusBadGateway) // its target may have run it
}
