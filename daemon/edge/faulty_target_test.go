package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/platform/standin"
	"sequoiasail.example/types"
)

// faultyTarget is a target that writes bytes that belong to no request. It runs a request unless answer refuses it.
type faultyTarget struct {
	// answer writes the response to a request, and returns whether the connection stays open. run records that the target
	// runs the request.
	answer func(c net.Conn, r *http.Request, run func()) (open bool)

	lock sync.Mutex
	// runs counts the runs of each request of all targets that share it.
	runs map[string]int
}

// faulty starts a faulty target and registers it.
func (c *cluster) faulty(f *faultyTarget, service types.Service, id types.Target) {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.check(err)
	c.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	s := standin.TargetSettings{Target: id, Incarnation: 1, Service: service, DataCentre: "north", Slots: 64, QueueLimit: 4}
	c.put(standin.Registration(s, l.Addr().String(), false, 0))
}

func (f *faultyTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		if strings.HasPrefix(r.URL.Path, "/api/") {
			_, _ = io.WriteString(c, rawResponse("200 OK", id, "X-Handover: h\r\n", ""))
			continue
		}
		run := func() {
			f.lock.Lock()
			defer f.lock.Unlock()
			f.runs[id]++
		}
		if !f.answer(c, r, run) {
			return
		}
	}
}

func (f *faultyTarget) runCount(id string) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.runs[id]
}

// rawResponse returns a response, without an ID if id is empty.
func rawResponse(status, id, header, body string) string {
	if id != "" {
		header += "X-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// promises reports whether a caller takes a status as the promise that its request has not run.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Guards against callers being told "not run" for a request that a target runs, and against a second run of it, when the
// target repeats an earlier refusal on a kept connection.
func TestRepeatedRefusalWhileARequestRuns(t *testing.T) {
	is := is.New(t)
	const notRun = "X-Not-Executed: 1\r\n"
	repeats := map[string]string{
		"no-id":         rawResponse("503 Full", "", notRun, "full"),
		"no-id-421":     rawResponse("421 Misdirected", "", notRun, ""),
		"no-id-429":     rawResponse("429 Full", "", notRun, ""),
		"no-id-no-word": rawResponse("503 Full", "", "", ""),
		"earlier-id":    rawResponse("503 Full", "earlier", notRun, "full"),
		"twice":         rawResponse("503 Full", "", notRun, "full") + rawResponse("503 Full", "earlier", notRun, "full"),
		"cut":           "HTTP/1.1 503 Full\r\n" + notRun + "Retry-After: 1",
		"cut-status":    "HTTP/1.1 503 Fu",
	}
	f := &faultyTarget{runs: make(map[string]int)}
	f.answer = func(c net.Conn, r *http.Request, run func()) bool {
		id, path := r.Header.Get("X-Request-Id"), strings.TrimPrefix(r.URL.Path, "/orders/")
		if path == "refuse" {
			_, _ = io.WriteString(c, rawResponse("503 Full", id, notRun, "full"))
			return true
		}
		run()
		_, _ = io.WriteString(c, repeats[path])
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, rawResponse("200 OK", id, "X-Response-Signature: s\r\n", "own"))
		return true
	}
	c := newCluster(t)
	c.target("maps", "i-m", true, 0)
	c.faulty(f, "orders", "i-1")
	c.faulty(f, "orders", "i-2")
	c.configure(10, route("/maps/", true, "maps"), route("/orders/", false, "orders"))
	v := c.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	for name := range repeats {
		_, _, err := v.call("POST", "/orders/refuse", "w-"+name, 1, "b")
		is.NoErr(err)
		res, body, err := v.call("POST", "/orders/"+name, "r-"+name, 1, "b")
		is.NoErr(err)
		t.Log(name, res.StatusCode, body, "runs", f.runCount("r-"+name))
		is.True(!promises(res.StatusCode))
		is.Equal(f.runCount("r-"+name), 1)
		is.True(res.StatusCode != http.StatusOK || body == "own")
	}
}

// Guards against the refusal of a request's first attempt being taken for the response to its second attempt at the same
// owner of its key: both have the same ID.
func TestRepeatedRefusalOfTheFirstAttempt(t *testing.T) {
	is := is.New(t)
	f := &faultyTarget{runs: make(map[string]int)}
	var lock sync.Mutex
	refusedOn := make(map[string]net.Conn)
	f.answer = func(c net.Conn, r *http.Request, run func()) bool {
		id := r.Header.Get("X-Request-Id")
		refusal := rawResponse("421 Misdirected", id, "X-Not-Executed: 1\r\n", "")
		lock.Lock()
		first := refusedOn[id]
		if first == nil {
			refusedOn[id] = c
		}
		lock.Unlock()
		if first == nil {
			_, _ = io.WriteString(c, refusal)
			return true
		}
		run()
		_, _ = io.WriteString(first, refusal)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, rawResponse("200 OK", id, "X-Response-Signature: s\r\n", "own"))
		return true
	}
	c := newCluster(t)
	c.faulty(f, "maps", "i-1")
	c.configure(10, route("/maps/", false, "maps"))
	v := c.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	eventually(t, "an answer for a key", 3*time.Second, func() bool {
		res, _, err := v.call("POST", "/maps/1", "first", 1, "b")
		return err == nil && res.StatusCode == http.StatusOK
	})
	for n := range 3 {
		id := fmt.Sprintf("r%d", n)
		res, body, err := v.call("POST", "/maps/1", id, 1, "b")
		is.NoErr(err)
		t.Log(id, res.StatusCode, body, "runs", f.runCount(id))
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(f.runCount(id), 1)
	}
}

// Guards against a VM that runs out of memory, or promises "not run", when targets answer with bytes without end.
func TestEndlessAnswersOfATarget(t *testing.T) {
	is := is.New(t)
	// maxHeapGrowth is that of the whole process: the VM with its budget for answers, callers and targets.
	const callers, maxHeapGrowth = 64, 96 << 20
	chunk := []byte(strings.Repeat("a", 64<<10))
	f := &faultyTarget{runs: make(map[string]int)}
	f.answer = func(c net.Conn, r *http.Request, run func()) bool {
		run()
		head := "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
		if strings.HasSuffix(r.URL.Path, "/body") {
			head += "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n\r\n"
		}
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = c.Write(chunk)
		}
		return false
	}
	c := newCluster(t)
	c.target("maps", "i-m", true, 0)
	c.faulty(f, "orders", "i-1")
	c.configure(10, route("/maps/", true, "maps"), route("/orders/", false, "orders"))
	v := c.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	for _, part := range []string{"head", "body"} {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		before, peak := m.HeapAlloc, uint64(0)
		statuses := make([]int, callers)
		var wg sync.WaitGroup
		for i := range statuses {
			wg.Go(func() {
				if res, _, err := v.call("POST", "/orders/"+part, fmt.Sprint(part, i), 1, "b"); err == nil {
					statuses[i] = res.StatusCode
				}
			})
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			wg.Wait()
		}()
		for waiting := true; waiting; {
			select {
			case <-done:
				waiting = false
			case <-time.After(2 * time.Millisecond):
			}
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
		ran := 0
		for i, status := range statuses {
			runs := f.runCount(fmt.Sprint(part, i))
			ran += runs
			is.True(runs <= 1)
			is.True(runs == 0 || !promises(status))
			is.True(status != http.StatusOK)
		}
		t.Logf("%s: %d requests ran, the heap grew by %d KiB at most", part, ran, (max(peak, before)-before)>>10)
		is.True(ran > 0)
		is.True(max(peak, before)-before < maxHeapGrowth)
	}
}

// Guards against a VM that runs out of memory when whatever has the address of another VM answers a mirror query with bytes
// without end.
func TestEndlessMirrorAnswer(t *testing.T) {
	is := is.New(t)
	const maxAllocated = 4 * maxMirrorAnswerBytes
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		// A message of gob starts with its length, here 1 GB less one byte in four bytes.
		_, err = c.Write([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
		zeros := make([]byte, 64<<10)
		for err == nil {
			_, err = c.Write(zeros)
		}
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = queryMirror(t.Context(), l.Addr().String(), MirrorQuestion{})
	runtime.ReadMemStats(&after)
	is.True(err != nil)
	t.Logf("allocated %d KiB: %v", (after.TotalAlloc-before.TotalAlloc)>>10, err)
	is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
}
