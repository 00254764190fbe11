package telemetry

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
)

// LogCapacity is the number of lines that may wait for the log output.
const LogCapacity = 8192

// outputBuffer joins lines into one write, because a system call for each line costs more than the line.
const outputBuffer = 64 << 10

// lossReportInterval is how often dropped lines are reported.
const lossReportInterval = time.Second

// Decision is one routing or placement decision. Empty fields are left out of the line.
type Decision struct {
	// Kind names the decision, for example forward, send, grant, takeover.
	Kind      string
	RequestID string
	Service   string
	KeyHash   uint64
	Target    string
	VM        string
	Epoch     uint64
	Reason    string
	Outcome   string
	Code      string
	Detail    string
}

// Event is a log line that is not a decision.
type Event struct {
	Level   log.Level
	Message string
	Fields  log.Fields
}

type line struct {
	at       time.Time
	decision Decision
	event    *Event
}

// Log is the bounded log of one process.
type Log struct {
	ring   *ring.Ring[line]
	output *bufio.Writer
	logger *log.Logger
	base   log.Fields
}

// NewLog returns a log that writes JSON lines to w. The fields of base appear in every line.
func NewLog(w io.Writer, base log.Fields) *Log {
	output := bufio.NewWriterSize(w, outputBuffer)
	return &Log{
		ring:   ring.New[line](LogCapacity),
		output: output,
		logger: &log.Logger{Handler: json.New(output), Level: log.InfoLevel},
		base:   base,
	}
}

// Decide logs a decision.
func (l *Log) Decide(d Decision) { _ = l.ring.TryPut(line{at: time.Now(), decision: d}) }

// Info logs an event.
func (l *Log) Info(message string, fields log.Fields) { l.event(log.InfoLevel, message, fields) }

// Warn logs an event that may need an operator.
func (l *Log) Warn(message string, fields log.Fields) { l.event(log.WarnLevel, message, fields) }

func (l *Log) event(level log.Level, message string, fields log.Fields) {
	_ = l.ring.TryPut(line{at: time.Now(), event: &Event{Level: level, Message: message, Fields: fields}})
}

// Dropped returns how many lines were dropped because the output was too slow.
func (l *Log) Dropped() uint64 { return l.ring.Refused() }

// Depth returns how many lines wait for the output.
func (l *Log) Depth() int { return l.ring.Depth() }

// Duty returns the duty that writes the lines. Its stop writes what is left.
func (l *Log) Duty() duty.Duty {
	return duty.Duty{
		Name: "log-writer",
		Run:  l.run,
		Stop: func(context.Context) error { l.ring.Close(); return nil },
	}
}

func (l *Log) run(ctx context.Context) error {
	tick := time.NewTicker(lossReportInterval)
	defer tick.Stop()
	reported := uint64(0)
	for {
		l.drain()
		reported = l.reportLoss(reported)
		select {
		case <-l.ring.Ready():
		case <-tick.C:
		case <-l.ring.Done():
			l.drain()
			l.reportLoss(reported)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *Log) drain() {
	for {
		entry, ok := l.ring.TryGet()
		if !ok {
			// A failing output cannot be logged.
			_ = l.output.Flush()
			return
		}
		l.write(entry)
	}
}

func (l *Log) reportLoss(reported uint64) uint64 {
	dropped := l.ring.Refused()
	if dropped == reported {
		return reported
	}
	fields := log.Fields{"dropped": dropped - reported, "droppedTotal": dropped}
	l.write(line{at: time.Now(), event: &Event{Level: log.WarnLevel, Message: "log lines dropped", Fields: fields}})
	_ = l.output.Flush()
	return dropped
}

// write hands one entry to the handler. A failing output cannot be logged, so its error is ignored.
func (l *Log) write(entry line) {
	e := &log.Entry{Logger: l.logger, Level: log.InfoLevel, Timestamp: entry.at}
	if entry.event != nil {
		e.Level = entry.event.Level
		e.Message = entry.event.Message
		e.Fields = l.fields(entry.event.Fields)
	} else {
		e.Message = entry.decision.Kind
		e.Fields = l.decisionFields(entry.decision)
	}
	_ = l.logger.Handler.HandleLog(e)
}

func (l *Log) fields(extra log.Fields) log.Fields {
	all := make(log.Fields, len(l.base)+len(extra))
	for k, v := range l.base {
		all[k] = v
	}
	for k, v := range extra {
		all[k] = v
	}
	return all
}

func (l *Log) decisionFields(d Decision) log.Fields {
	f := make(log.Fields, len(l.base)+10)
	for k, v := range l.base {
		f[k] = v
	}
	put(f, "request", d.RequestID)
	put(f, "service", d.Service)
	put(f, "target", d.Target)
	put(f, "toVM", d.VM)
	put(f, "reason", d.Reason)
	put(f, "outcome", d.Outcome)
	put(f, "code", d.Code)
	put(f, "detail", d.Detail)
	if d.KeyHash != 0 {
		f["keyHash"] = hex(d.KeyHash)
	}
	if d.Epoch != 0 {
		f["epoch"] = d.Epoch
	}
	return f
}

func put(f log.Fields, name, value string) {
	if value != "" {
		f[name] = value
	}
}

// hex prints a key hash so that logs never show the key itself.
func hex(v uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := len(b) - 1; i >= 0; i-- {
		b[i] = digits[v&15]
		v >>= 4
	}
	return string(b[:])
}
