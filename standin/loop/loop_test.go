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

// message asks for an answer at a time.
type message struct {
	at    time.Time
	reply chan string
}

// later answers each message when it is due, and the rest at the end.
type later struct{ waiting []message }

func (l *later) Step(_ time.Time, m message) { l.waiting = append(l.waiting, m) }

func (l *later) Next() (time.Time, bool) {
	if len(l.waiting) == 0 {
		return time.Time{}, false
	}
	return l.waiting[0].at, true
}

func (l *later) Tick(now time.Time) {
	for len(l.waiting) > 0 && !now.Before(l.waiting[0].at) {
		l.waiting[0].reply <- "due"
		l.waiting = l.waiting[1:]
	}
}

func (l *later) Finish() {
	for _, m := range l.waiting {
		m.reply <- "finished"
	}
}

// Guards against callers that wait for ever: for work that is due, and for work that is not when the duty stops.
func TestEveryCallerIsAnswered(t *testing.T) {
	is := is.New(t)
	in := ring.New[message](4)
	g := duty.NewGroup()
	g.Add(Duty("state", in, &later{}))
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

// Guards against a caller that has gone being reported as an answer or a stop.
func TestGoneCaller(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Wait(ctx, make(chan string))
	is.True(Gone(err))
}
