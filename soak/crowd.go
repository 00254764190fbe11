package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/plan"
)

const (
	// crowdClients is the number of clients of a crowd. crowdMemoryMB and crowdDescriptors are the limits of the VMs in runs with
	// crowds, lower than those of the smallest VM, so that few clients suffice.
	crowdClients     = 60
	crowdMemoryMB    = 96
	crowdDescriptors = 500
	// crowdCapacity is the number of faults that can wait for a crowd. Crowds of one VM do not overlap.
	crowdCapacity = 4
	// crowdRedialInterval is the pause of a client between two connections.
	crowdRedialInterval = 10 * time.Millisecond
)

// crowdActs are what a client of a crowd sends on a connection. Nothing of it is a complete request that a target may run.
var crowdActs = []func(w io.Writer){
	func(io.Writer) {}, // silent
	func(w io.Writer) { _, _ = w.Write(shortHeaderLines("soak.example")) },
	func(w io.Writer) { _, _ = w.Write(append(shortHeaderLines("unknown.example"), '\n')) },
	func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "POST /orders/1 HTTP/1.1\r\nHost: soak.example\r\nX-Deadline-Ms: 2500\r\nContent-Length: 65536\r\n\r\n%065535d", 0)
	},
	func(w io.Writer) {
		_, _ = io.WriteString(w, "POST /orders/1 HTTP/1.1\r\nHost: soak.example\r\nX-Deadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = w.Write(bytes.Repeat([]byte("1;e=1\r\nc\r\n"), 10_000))
	},
	func(w io.Writer) { _, _ = w.Write(bytes.Repeat([]byte("\r\n"), 10_000)) },
}

// shortHeaderLines returns a header section of 16,000 bytes made of very many short lines, without its end.
func shortHeaderLines(host string) []byte {
	b := fmt.Appendf(nil, "GET /maps/1 HTTP/1.1\r\nHost: %s\r\n", host)
	for i := 0; len(b) < 16_000; i++ {
		b = append(strconv.AppendInt(append(b, 'x'), int64(i), 36), ":\n"...)
	}
	return b
}

// crowd sends clients that keep to no limit to one VM.
type crowd struct {
	vm      int
	address string
	faults  *ring.Ring[plan.Fault]
}

func newCrowd(vm int, address string) *crowd {
	return &crowd{vm: vm, address: address, faults: ring.New[plan.Fault](crowdCapacity)}
}

func (c *crowd) duty() duty.Duty {
	return duty.Duty{Name: "crowd-" + strconv.Itoa(c.vm), Run: func(ctx context.Context) error {
		c.faults.Serve(ctx, func(f plan.Fault) error { return c.run(ctx, f) })
		return nil
	}}
}

// run keeps the clients at the VM for the duration of the fault. Its intensity chooses what they do.
func (c *crowd) run(ctx context.Context, f plan.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	act := crowdActs[int(f.Intensity*float64(len(crowdActs)))%len(crowdActs)]
	g := duty.NewGroup()
	for i := range crowdClients {
		g.Add(duty.Duty{Name: "client-" + strconv.Itoa(i), Run: func(ctx context.Context) error {
			for ctx.Err() == nil {
				c.connect(ctx, act)
				duty.Pause(ctx, crowdRedialInterval)
			}
			return nil
		}})
	}
	if err := g.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return g.Abort(context.WithoutCancel(ctx))
}

// connect opens a connection, sends what the client sends, and reads until the VM closes it or ctx ends.
func (c *crowd) connect(ctx context.Context, act func(io.Writer)) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	act(conn)
	_, _ = io.Copy(io.Discard, conn)
}
