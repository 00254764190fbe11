package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopOutcome is how a request ended that was sent on an open connection of a stopping VM.
type stopOutcome struct {
	// sentAfter and endedAfter are counted from the beginning of the stop.
	sentAfter, endedAfter time.Duration
	status                int
	// closes is true if the answer announces that the connection is closed.
	closes bool
	// closedBefore is true if the connection was closed before the request could be sent.
	closedBefore bool
	err          error
}

// sendWhileStopping opens connections to a VM, stops it and sends a request for an order on each of them, at the given times
// after the beginning of the stop.
func sendWhileStopping(t *testing.T, v *vm, after ...time.Duration) []stopOutcome {
	t.Helper()
	connections := make([]net.Conn, len(after))
	for i := range after {
		connections[i] = dialCaller(t, v)
	}
	began := time.Now()
	v.stop()
	outcomes := make(chan stopOutcome, len(after))
	for i, c := range connections {
		go func() {
			time.Sleep(time.Until(began.Add(after[i])))
			o := stopOutcome{sentAfter: time.Since(began)}
			if o.closedBefore = isClosed(c); !o.closedBefore {
				o.status, o.closes, o.err = order(c, fmt.Sprintf("r%d", i), callTimeout)
			}
			o.endedAfter = time.Since(began)
			outcomes <- o
		}()
	}
	all := make([]stopOutcome, len(after))
	for i := range all {
		all[i] = <-outcomes
	}
	return all
}

// dialCaller opens a connection of a caller to a VM, which is closed at the end of the test.
func dialCaller(t *testing.T, v *vm) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(v.frontURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// callTimeout is how long the callers of these tests wait.
const callTimeout = 1400 * time.Millisecond

// isClosed reports whether the VM has closed the connection.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// order sends a request for an order on an open connection and returns the status of its answer, and whether the answer closes
// the connection.
func order(c net.Conn, id string, timeout time.Duration) (status int, closes bool, err error) {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.WriteString(c, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: "+id+"\r\nX-Deadline-Ms: "+
		strconv.FormatInt(timeout.Milliseconds(), 10)+"\r\n"+
		"X-Shard-Key: 1\r\nContent-Length: 1\r\n\r\nb")
	if err != nil {
		return 0, false, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	return res.StatusCode, res.Close, err
}

// Guards against a request that a stopping VM passes on to a target although it can outlive the stop grace period, at the end of
// which the process is killed.
func TestPlannedStopAcceptsNoRequestThatOutlivesIt(t *testing.T) {
	is := is.New(t)
	const work = 1350 * time.Millisecond
	cl, _ := newServingCluster(t, work)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	for _, o := range sendWhileStopping(t, v, 0, 1500*time.Millisecond, 2500*time.Millisecond, 2700*time.Millisecond) {
		is.NoErr(o.err)
		if o.endedAfter >= stopGracePeriod {
			t.Errorf("a request sent %v after the beginning of the stop ended after %v with status %d", o.sentAfter, o.endedAfter, o.status)
		}
		if o.sentAfter < work {
			is.Equal(o.status, http.StatusOK)
		}
	}
}

// Guards against a request that is dropped at a planned stop although it can be finished, on a connection that was opened before
// or while the VM stops. Reproduces a lost request of the test run zcsp-brana mix (seed 91898428223): a packet was lost, so the
// request arrived 0.3 s after its connection.
func TestPlannedStopAnswersOpenConnections(t *testing.T) {
	is := is.New(t)
	cl, _ := newServingCluster(t, 0)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	before := dialCaller(t, v)
	v.stop()
	time.Sleep(2100 * time.Millisecond)
	during := dialCaller(t, v)
	time.Sleep(700 * time.Millisecond)
	for i, c := range []net.Conn{before, during, dialCaller(t, v)} {
		status, closes, err := order(c, fmt.Sprintf("r%d", i), 600*time.Millisecond)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(closes)
	}
}

// Guards against requests on open connections that are accepted late in the stop time and cut off at its end. Reproduces a lost
// request of the test run zcsp-brana hunt-d7da-27: it arrived 5.07 s after SIGTERM and was still running when the process was
// killed at 6 s.
func TestLateRequestsAreRefusedAtAPlannedStop(t *testing.T) {
	is := is.New(t)
	cl, orders := newServingCluster(t, 0)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	for _, o := range sendWhileStopping(t, v, 2500*time.Millisecond, 3*time.Second, 3300*time.Millisecond) {
		is.NoErr(o.err)
		is.Equal(o.status, http.StatusServiceUnavailable)
		is.True(o.closes)
	}
	is.Equal(orders.count(), 0)
}

// Guards against a request that is read at the end of a stop and whose connection is closed without an answer. The VM counts such
// requests from the bytes that it has read. The caller can't tell them from those that cross the close of their connection: a
// read returns io.EOF also if the close arrived just before the request was sent.
func TestPlannedStopReadsNoRequestWithoutAnsweringIt(t *testing.T) {
	is := is.New(t)
	cl, _ := newServingCluster(t, 0)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	var after []time.Duration
	for d := 2 * time.Second; d < stopGracePeriod; d += 50 * time.Millisecond {
		after = append(after, d)
	}
	crossed := 0
	for _, o := range sendWhileStopping(t, v, after...) {
		switch {
		case o.err == nil || errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.EPIPE):
		case errors.Is(o.err, io.ErrUnexpectedEOF):
			crossed++
		default:
			t.Errorf("a request sent %v after the beginning of the stop ended without an answer after %v: %v", o.sentAfter, o.endedAfter, o.err)
		}
	}
	is.Equal(v.edge.server.UnansweredRequests(), uint64(0))
	is.True(crossed <= 1) // only the request that is sent as the connections are closed
}

// Guards against a request in flight that a VM with a short stop grace period fails at once, although it can finish.
func TestShortStopFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	cl, _ := newServingCluster(t, 250*time.Millisecond)
	v := cl.startWithGracePeriod("vm-1", 600*time.Millisecond)
	eventually(t, "readiness", 8*time.Second, v.isReady)
	c := dialCaller(t, v)
	ended := make(chan stopOutcome, 1)
	go func() {
		var o stopOutcome
		o.status, _, o.err = order(c, "r1", callTimeout)
		ended <- o
	}()
	time.Sleep(50 * time.Millisecond)
	v.stop()
	o := <-ended
	is.NoErr(o.err)
	is.Equal(o.status, http.StatusOK)
}

// Guards against a caller of the readiness page that never finishes its request and so keeps a stopping VM from ending before
// it is killed, with its leases not revoked.
func TestUnfinishedReadinessProbeDoesNotDelayTheStop(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t)
	v := cl.start("vm-1")
	eventually(t, "an answer to a readiness probe", 8*time.Second, func() bool {
		res, err := http.Get(v.readyURL)
		if err == nil {
			_ = res.Body.Close()
		}
		return err == nil
	})
	ready, err := url.Parse(v.readyURL)
	is.NoErr(err)
	c, err := net.Dial("tcp", ready.Host)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET "+ready.Path+" HTTP/1.1\r\nHo")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	v.stop()
	select {
	case err := <-v.done:
		is.NoErr(err)
		v.done <- nil
	case <-time.After(stopGracePeriod):
		t.Errorf("the VM has not stopped after %v", stopGracePeriod)
	}
}
