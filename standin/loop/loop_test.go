package loop

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// message asks for a reply at a given time.
type message struct {
	at    time.Time
	reply chan string
}

// deferredState answers each message when it is due, and the remaining ones in Finish.
type deferredState struct{ waiting []message }

func (s *deferredState) Step(_ time.Time, m message) { s.waiting = append(s.waiting, m) }

func (s *deferredState) Next() (time.Time, bool) {
	if len(s.waiting) == 0 {
		return time.Time{}, false
	}
	return s.waiting[0].at, true
}

func (s *deferredState) Tick(now time.Time) {
	for len(s.waiting) > 0 && !now.Before(s.waiting[0].at) {
		s.waiting[0].reply <- "due"
		s.waiting = s.waiting[1:]
	}
}

func (s *deferredState) Finish() {
	for _, m := range s.waiting {
		m.reply <- "finished"
	}
}

// Guards against callers that wait forever, both for messages that are due and for those not yet due when the duty stops.
func TestEveryCallerIsAnswered(t *testing.T) {
	is := is.New(t)
	in := ring.New[message](4)
	g := duty.NewGroup()
	g.Add(Duty("state", in, &deferredState{}))
	is.NoErr(g.Start(t.Context()))
	for _, at := range []time.Time{time.Now(), time.Now().Add(time.Millisecond)} {
		m := message{at: at, reply: make(chan string, 1)}
		got, err := Ask(t.Context(), in, m, m.reply)
		is.NoErr(err)
		is.Equal(got, "due")
	}
	m := message{at: time.Now().Add(time.Hour), reply: make(chan string, 1)}
	is.NoErr(in.Put(t.Context(), m))
	is.NoErr(g.Stop(context.Background()))
	is.Equal(<-m.reply, "finished")
	_, err := Ask(t.Context(), in, m, m.reply)
	is.Equal(types.CodeOf(err), types.CodeShuttingDown)
}

// Guards against a cancelled call that is not recognised as cancelled.
func TestCancelledCaller(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Wait(ctx, make(chan string))
	is.True(CallerCancelled(err))
}
