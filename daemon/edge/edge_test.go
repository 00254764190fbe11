package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Guards against a path that does not hold from the socket to the target's slot and back: routes, keys with their grants,
// answers byte by byte, and a version of the configuration that replaces another.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	v := w.start("vm-1")
	eventually(t, "a refusal without a configuration", 3*time.Second, func() bool {
		res, _, err := v.call("GET", "/maps/1", "x", 1, "")
		return err == nil && res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != ""
	})
	is.True(!v.isReady())
	m, o := w.target("maps", "i-m", true, 0), w.target("orders", "i-o", false, 0)
	w.configure(10, route("/maps/", true, "maps"), route("/orders/", false, "orders"))
	eventually(t, "readiness", 8*time.Second, v.isReady)
	eventually(t, "an answer for a key", 3*time.Second, func() bool {
		res, body, err := v.call("GET", "/maps/a%2Fb?c=1", "r1", 65535, "")
		return err == nil && res.StatusCode == 200 && res.Header.Get("X-Response-Signature") == "i-m.1.r1" &&
			body == "GET /maps/a%2Fb?c=1 "
	})
	res, body, err := v.call("POST", "/orders/1", "r2", 5, "seeds")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.Equal(body, "POST /orders/1 seeds")
	is.Equal(o.count(), 1)
	is.True(m.count() >= 1)
	res, _, err = v.call("GET", "/none/", "r3", 5, "")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusNotFound)
	w.configure(16, route("/none/", false, "orders"))
	eventually(t, "the new configuration", 2*time.Second, func() bool {
		res, _, err := v.call("GET", "/none/", "r4", 5, "")
		return err == nil && res.StatusCode == 200
	})
}

// Guards against a VM that stops serving what it knows while the store refuses all calls, and against readiness that
// turns bad then.
func TestServesThroughStoreOutage(t *testing.T) {
	is := is.New(t)
	w, _ := newServingWorld(t, 0)
	v := w.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	w.setRefuse(true)
	for i := range 20 {
		time.Sleep(100 * time.Millisecond)
		res, _, err := v.call("GET", "/maps/1", fmt.Sprintf("r%d", i), i*3000, "")
		is.NoErr(err)
		is.Equal(res.StatusCode, 200)
		res, _, err = v.call("POST", "/orders/1", fmt.Sprintf("o%d", i), 1, "b")
		is.NoErr(err)
		is.Equal(res.StatusCode, 200)
	}
	is.True(v.isReady())
}

// Guards against requests lost at a planned stop: those in hand are answered, connections end with an answer, and the
// VM says in time that it is not ready.
func TestPlannedStopAnswersWhatIsInHand(t *testing.T) {
	is := is.New(t)
	w, o := newServingWorld(t, 300*time.Millisecond)
	v := w.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	status := make(chan int, 1)
	go func() {
		res, _, err := v.call("POST", "/orders/1", "r1", 1, "b")
		if err != nil {
			status <- 0
			return
		}
		status <- res.StatusCode
	}()
	eventually(t, "the order at its target", 2*time.Second, func() bool { return o.count() == 1 || len(status) == 1 })
	v.stop()
	eventually(t, "not ready", time.Second, func() bool { return !v.isReady() })
	is.Equal(<-status, 200)
	res, _, err := v.call("POST", "/orders/1", "r2", 1, "b")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.True(res.Close)
	select {
	case err := <-v.done:
		is.NoErr(err)
		v.done <- nil
	case <-time.After(4 * time.Second):
		t.Fatal("the VM did not stop in time")
	}
}

// Guards against owners of keys that change on their way through the store.
func TestTableDocument(t *testing.T) {
	is := is.New(t)
	in := keyspace.Table{NextFence: 9, Writer: "vm/1/2", Ranges: []keyspace.Range{
		{From: 0, To: 9, Owner: keyspace.Owner{Target: "a", Life: 3}, Fence: 4, Handover: "h"},
		{From: 10, To: keyspace.Keys - 1, Owner: keyspace.Owner{Target: "b", Life: 5}, Fence: 8},
	}}
	data, err := encodeTable(in)
	is.NoErr(err)
	out, err := decodeTable(data)
	is.NoErr(err)
	is.Equal(out, in)
	_, err = decodeTable(data[:len(data)/2])
	is.Equal(types.CodeOf(err), types.CodeBadConfiguration)
}

func FuzzTableDocument(f *testing.F) {
	f.Add([]byte{0x84, 1, 0x61, 'w', 0x80, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		if table, err := decodeTable(data); err == nil && table.Validate() != nil {
			t.Fatal("accepted a table with gaps")
		}
	})
}

func FuzzReport(f *testing.F) {
	data, err := encodeReport("vm", report{digests: []digest{{prefix: "op/", at: 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _, _ = decodeReport(data) })
}

// Guards against a watch that missed a change going unnoticed: the digest of another VM shows other keys at the same or a
// later revision, and only then.
func TestDigestShowsMissedChanges(t *testing.T) {
	is := is.New(t)
	c := newContents()
	c.apply(update{snapshot: true, revision: 10, entries: []store.Entry{{Key: "a", Revision: 4}, {Key: "b", Revision: 9}}})
	is.True(!c.behind(c.digest("p")))
	is.True(c.behind(digest{at: 12, newest: 11, count: 3})) // one key more
	is.True(c.behind(digest{at: 12, newest: 9, count: 1}))  // one key less
	is.True(!c.behind(digest{at: 8, newest: 4, count: 1}))  // the other VM knows less
	is.True(!c.apply(update{snapshot: true, revision: 9}))  // an answer that was overtaken
	is.True(c.apply(update{snapshot: true, revision: 12}))  // all keys are gone
	is.Equal(c.digest("p").count, 0)
}

// Guards against a change of many owners that does not fit a datagram, and against parts that are applied over a gap.
func TestOwnerChangeInParts(t *testing.T) {
	is := is.New(t)
	c := ownerChange{service: "maps", base: 100, next: 200}
	for f := range 100 {
		c.ranges = append(c.ranges, keyspace.Range{From: uint16(99 - f), To: uint16(99 - f), Fence: types.Epoch(199 - f)})
	}
	base, n := c.base, 0
	for _, p := range c.parts() {
		is.Equal(p.base, base)
		is.True(len(p.ranges) <= rangesPerDatagram)
		data, err := encodeReport("vm", report{owners: []ownerChange{p}})
		is.NoErr(err)
		is.True(len(data) < 1400)
		base, n = p.next, n+len(p.ranges)
	}
	is.Equal(base, c.next)
	is.Equal(n, 100)
}

// newTestKnowledge returns a knowledge duty of vm-1 beside a neighbour, and the reports that it sends.
func newTestKnowledge(now types.Instant) (*knowledge, *ring.Ring[report]) {
	k := newKnowledge()
	k.log = telemetry.NewLog(io.Discard, nil)
	k.vm = "vm-1"
	k.entry = vmEntry{VM: "vm-1", DataCentre: "north", Cores: 1}
	k.reports = ring.New[report](8)
	k.audits = ring.New[auditRequest](8)
	k.mirrors = ring.New[mirrorAsk](8)
	k.session = ring.New[keeperSeen](1)
	k.vms["vm-1"], k.vms["vm-2"] = k.entry, vmEntry{VM: "vm-2", DataCentre: "north", Cores: 1, PeerAddress: "127.0.0.1:1"}
	k.watching.startedAt = now
	k.contents["op/"].apply(update{snapshot: true, revision: 5, entries: []store.Entry{{Key: "op/config", Revision: 5}}})
	return k, k.reports
}

// Guards against a VM that speaks for the store while it is cut off from it. Replays a mix of sdv-gateway (seed
// 727334322508): both watching VMs of a data centre were cut off, their waiting watches showed nothing, and the others
// kept an old configuration for 2.2 s.
func TestVMWithoutStoreDoesNotSpeakForIt(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	k, reports := newTestKnowledge(now)
	k.watching.on, k.watching.storeAt = true, now
	k.tellNeighbours(now, true)
	is.Equal(reports.Depth(), 1)
	now = now.Add(watcherStoreSilence + time.Millisecond)
	k.tellNeighbours(now, true)
	is.Equal(reports.Depth(), 1)
}

// Guards against a VM that waits for its neighbours although the keeper shows that they miss a change.
func TestDigestOfTheKeeperIsCheckedAtTheStore(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	k, _ := newTestKnowledge(now)
	k.keeperVM = "vm-9"
	k.hearDigest(now, "vm-9", digest{prefix: "op/", at: 9, newest: 9, count: 1})
	_, ok := k.audits.TryGet()
	is.True(!ok) // the neighbours are about to tell it
	k.checkDoubts(now.Add(doubtTime))
	r, ok := k.audits.TryGet()
	is.True(ok)
	is.Equal(r.prefix, "op/")
	k.hearDigest(now, "vm-2", digest{prefix: "op/", at: 9, newest: 9, count: 1})
	_, ok = k.mirrors.TryGet()
	is.True(ok) // a neighbour is asked itself
}

// Guards against a VM that serves nothing after a start while the store is away. Replays incident inc-6a9b: VMs were
// restarted during an outage and refused 161 requests.
func TestVMStartsWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	w, _ := newServingWorld(t, 0)
	first := w.start("vm-1")
	eventually(t, "readiness", 8*time.Second, first.isReady)
	w.setRefuse(true)
	second := w.start("vm-2")
	eventually(t, "readiness from a seed", 5*time.Second, second.isReady)
	res, _, err := second.call("GET", "/maps/1", "r1", 7, "")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	res, _, err = second.call("POST", "/orders/1", "r2", 7, "b")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
}

// Guards against a request that is read and dropped at a planned stop: net/http closes a connection whose request arrives
// after Server.Shutdown was called. Replays LOST of zcsp-brana (mix, seed 91898428223): a packet was lost, so that the
// request came 0.3 s after its connection.
func TestPlannedStopAnswersOpenConnections(t *testing.T) {
	is := is.New(t)
	w, _ := newServingWorld(t, 0)
	v := w.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	v.stop()
	time.Sleep(2100 * time.Millisecond)
	c, err := net.Dial("tcp", strings.TrimPrefix(v.front, "http://"))
	is.NoErr(err)
	defer c.Close()
	eventually(t, "the end of the listener", time.Second, func() bool {
		probe, err := net.Dial("tcp", strings.TrimPrefix(v.front, "http://"))
		if err == nil {
			probe.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(c, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 900\r\n"+
		"X-Shard-Key: 1\r\nContent-Length: 1\r\n\r\nb")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
}

// Guards against requests that are taken late in the stop time and cut off at its end. Replays LOST of zcsp-brana
// (hunt-d7da-27): a request came 5.07 s after SIGTERM on an open connection and was still at work when the process was killed
// at 6 s.
func TestLateRequestsAreRefusedAtAPlannedStop(t *testing.T) {
	is := is.New(t)
	f := &front{
		knowledge: newKnowledge(), log: telemetry.NewLog(io.Discard, nil), meter: newMeter(telemetry.NewMetrics()),
		admission: ring.New[any](1),
	}
	f.closing.Store(true)
	f.refusing.Store(true)
	f.knowledge.published.Store(&view{table: catalog.NewTable(catalog.Configuration{Routes: []catalog.Route{
		{Name: "r", Host: "a.example", Prefix: "/", Timeout: time.Second},
	}})})
	rw := httptest.NewRecorder()
	f.serve(rw, httptest.NewRequest(http.MethodGet, "http://a.example/", nil))
	is.Equal(rw.Code, http.StatusServiceUnavailable)
	is.Equal(rw.Header().Get("Connection"), "close")
	is.Equal(f.admission.Depth(), 0)
}

// Guards against a VM that keeps an old configuration because the answer of its neighbour was lost.
func TestUnansweredMirrorLeadsToTheStore(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	k, _ := newTestKnowledge(now)
	k.hearDigest(now, "vm-2", digest{prefix: "op/", at: 9, newest: 9, count: 1})
	k.checkDoubts(now.Add(doubtTime))
	_, ok := k.audits.TryGet()
	is.True(ok)
}

// Guards against VMs that rely on neighbours which are cut off from the store without a sign. Replays zcsp-brana-grown
// trouble-1: all watching VMs of a data centre were cut off, a target drained right after, and the others sent to it
// 2.58 s after the store had accepted that; the bound is 2.5 s.
func TestNeighboursOfCutWatchersAskTheStoreInTime(t *testing.T) {
	is := is.New(t)
	start := types.Instant(time.Hour)
	watcher, told := newTestKnowledge(start)
	watcher.watching.on, watcher.watching.storeAt = true, start
	other, _ := newTestKnowledge(start)
	other.keeperVM = "vm-9"
	for name, cores := range map[types.VM]float64{"vm-2": 2, "vm-3": 2} {
		other.vms[name] = vmEntry{VM: name, DataCentre: "north", Cores: cores}
	}
	now := start
	for ; !other.watching.on && now.Sub(start) < 5*time.Second; now = now.Add(expireInterval) {
		watcher.tellNeighbours(now, false)
		told.Drain(func(r report) {
			for _, d := range r.digests {
				other.hearDigest(now, "vm-2", d)
			}
		})
		other.decide(now)
	}
	is.True(now.Sub(start) <= 2200*time.Millisecond)
}

// Guards against a target that is kept after its removal because of a single call that failed: the store was not away.
func TestSingleFailureGivesNoGrace(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	k, _ := newTestKnowledge(now)
	k.watching.storeAt = now
	k.hearStore(now.Add(time.Second))
	is.Equal(k.registry.GraceLeft(now.Add(time.Second)), time.Duration(0))
	k.hearStore(now.Add(4 * time.Second))
	is.True(k.registry.GraceLeft(now.Add(4*time.Second)) > 0)
}

// Guards against every VM of a large fleet reading the owners of keys from the store: calls are priced and limited. A VM
// that is told by a neighbour asks it first, and the store when that did not help.
func TestOwnersAreReadFromANeighbourFirst(t *testing.T) {
	is := is.New(t)
	now := telemetry.Now()
	k, _ := newTestKnowledge(now)
	k.reads = ring.New[ownerRead](1)
	k.watching.heardAt = now
	k.readOwners("maps", 0)
	is.Equal(k.mirrors.Depth(), 1)
	is.Equal(k.reads.Depth(), 0)
	k.readOwners("maps", 0)
	is.Equal(k.reads.Depth(), 1)
}
