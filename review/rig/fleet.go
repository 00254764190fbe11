package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Addresses of a VM. Ports are the same on all VMs.
const (
	frontPort   = 8548
	readyPort   = 8542
	controlPort = 8544
	firstPort   = 7540
	lastPort    = 7555
)

// fleet is a small deployment: the store, the VMs, the upstreams and what the case observes of them.
type fleet struct {
	record *record
	store  *store
	guard  guard
	// watching protects what a check has seen.
	watching guard
	root     string
	dir      string
	subnet   string
	vms      []*vm
	lives    []*life
	// sentAt holds when the client sent each request.
	sentAt map[string]time.Time
	done   chan struct{}
	client http.Client
	lastID atomic.Int64
	// wholeReleased is true once an upstream has released all keys of one of its grants.
	wholeReleased atomic.Bool
	// fdLimit is the number of descriptors of a daemon; 0 for that of this process.
	fdLimit int
	// onArrival and onRun, if set, see each request that reaches or runs at an upstream.
	onArrival func(u *life, id string, r *http.Request, at time.Time)
	onRun     func(u *life, id string, r *http.Request, key int)
	onCrash   func(u *life, id string)
}

// vm is a process of the daemon.
type vm struct {
	name, zone, ip, file string
	process              *os.Process
	exited               chan struct{}
	status               string
}

// unable ends the program with the exit code of a case that can't run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanUp()
	os.Exit(exitUnable)
}

// cleanUp ends the processes that this program has started.
var cleanUp = func() {}

func newFleet(root, recordFile string) *fleet {
	dir, err := os.MkdirTemp("", "sail-review-")
	if err != nil {
		unable("make a temporary folder: %v", err)
	}
	f := &fleet{record: newRecord(recordFile), guard: newGuard(), watching: newGuard(), root: root, dir: dir, sentAt: make(map[string]time.Time), done: make(chan struct{})}
	f.client.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	f.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	f.store = newStore(f.record, f.done)
	f.subnet = freeSubnet()
	cleanUp = f.end
	return f
}

// freeSubnet returns the start of loopback addresses on which the ports of a VM are free.
func freeSubnet() string {
	for n := range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, (os.Getpid()/100+n*7)%250+1)
		l, err := net.Listen("tcp", subnet+"1:"+strconv.Itoa(frontPort))
		if err == nil {
			_ = l.Close()
			return subnet
		}
	}
	unable("no free loopback addresses")
	return ""
}

// addVMs writes the settings of one VM for each entry of list, which is its zone, and starts the VMs.
func (f *fleet) addVMs(list []string) {
	regions := make(map[string]string)
	var seeds []string
	for i, z := range list {
		regions[z] = "cz-stred"
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", f.subnet, i+1, controlPort))
	}
	for i, z := range list {
		v := &vm{name: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, ip: fmt.Sprintf("%s%d", f.subnet, i+1)}
		v.file = filepath.Join(f.dir, v.name+".json")
		f.writeSettings(v, regions, seeds[:min(3, len(seeds))], f.store.serve(v.name, f.subnet+strconv.Itoa(100+i)+":0"))
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		f.startVM(v)
	}
}

// startVM starts the command of the deploy file.
func (f *fleet) startVM(v *vm) {
	output, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("open a log: %v", err)
	}
	defer output.Close()
	c := exec.Command("target/sail-edge")
	if f.fdLimit > 0 {
		// The platform limits the descriptors of each process.
		c = exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(f.fdLimit)+" && exec target/sail-edge")
	}
	c.Dir = f.root
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SEQUOIASAIL_NODE_FILE=" + v.file,
	}
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		unable("start the daemon: %v", err)
	}
	v.process, v.exited = c.Process, make(chan struct{})
	exited := v.exited
	background(func() {
		_ = c.Wait()
		v.status = c.ProcessState.String()
		f.record.add("%s ends: %s", v.name, v.status)
		close(exited)
	})
	f.record.add("%s starts in %s", v.name, v.zone)
}

func (v *vm) front() string { return v.ip + ":" + strconv.Itoa(frontPort) }

// isReady asks the readiness page as the platform does.
func (f *fleet) isReady(v *vm) bool {
	c := http.Client{Timeout: time.Second, Transport: f.client.Transport}
	res, err := c.Get("http://" + v.ip + ":" + strconv.Itoa(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); pause(100 * time.Millisecond) {
		ready := 0
		for _, v := range f.vms {
			if f.isReady(v) {
				ready++
			}
		}
		if ready == len(f.vms) {
			f.record.say("all %d VMs are ready", ready)
			return
		}
	}
	unable("the VMs are not ready after 20 s; logs are in %s", f.dir)
}

func (f *fleet) arrived(u *life, id string, r *http.Request, at time.Time) {
	if f.onArrival != nil {
		f.onArrival(u, id, r, at)
	}
}

func (f *fleet) ran(u *life, id string, r *http.Request, key int) {
	f.record.add("%s runs %s %s %s key %d", u.id, id, r.Method, r.URL.Path, key)
	if f.onRun != nil {
		f.onRun(u, id, r, key)
	}
}

func (f *fleet) crashed(u *life, id string) {
	f.record.add("%s crashes on %s", u.id, id)
	if f.onCrash != nil {
		f.onCrash(u, id)
	}
}

// result is what a client saw of one attempt. status is 0 if there was no complete answer.
type result struct {
	id     string
	status int
	signed bool
	body   string
	err    error
	took   time.Duration
	after  string
}

// send performs one client attempt on a connection of its own.
func (f *fleet) send(v *vm, method, path, body string, key int, timeout time.Duration) (a result) {
	a.id = fmt.Sprintf("%016x", 0x1c41000000000000+f.lastID.Add(1))
	r, err := http.NewRequest(method, "http://"+v.front()+path, strings.NewReader(body))
	if err != nil {
		unable("make a request: %v", err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	f.record.add("client sends %s %s %s key %d to %s", a.id, method, path, key, v.name)
	sent := time.Now()
	f.guard.hold(func() { f.sentAt[a.id] = sent })
	c := http.Client{Timeout: timeout + 200*time.Millisecond, Transport: f.client.Transport}
	res, err := c.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			a.status, a.body, a.signed, a.after = res.StatusCode, string(data), res.Header.Get("X-Response-Signature") != "", res.Header.Get("Retry-After")
		}
	}
	a.err, a.took = err, time.Since(sent)
	f.record.add("client gets %s: status %d after %d ms %s", a.id, a.status, a.took.Milliseconds(), errorText(err))
	return a
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// host is the host of all routes.
const host = "jepu9.example"

// end ends all processes and removes the temporary folder.
func (f *fleet) end() {
	cleanUp = func() {}
	close(f.done)
	for _, v := range f.vms {
		if v.process != nil {
			_ = v.process.Kill()
			<-v.exited
		}
	}
	for _, u := range f.lives {
		_ = u.server.Close()
	}
	for _, s := range f.store.servers {
		_ = s.Close()
	}
	f.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
