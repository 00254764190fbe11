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

// LogCapacity is the number of lines that may wait to be written.
const LogCapacity = 8192

// outputBufferSize lets many lines share one write, because a system call per line costs more than the line itself.
const outputBufferSize = 64 << 10

// dropReportInterval is how often dropped lines are reported.
const dropReportInterval = time.Second

// Decision is one routing or placement decision. Empty fields are left out of the line.
type Decision struct {
	// Kind names the decision, for example route, send or placement.
	Kind      string
	RequestID string
	Service   string
	KeyHash   uint64
	Target    string
	// Customer is the customer that sent the request.
	Customer string
	// VM is the VM that the decision concerns, for example the one that a request is sent to.
	VM      string
	Epoch   uint64
	Reason  string
	Outcome string
	Code    string
	Detail  string
}

// Event is a log line other than a decision.
type Event struct {
	Level   log.Level
	Message string
	Fields  log.Fields
}

// logEntry is an event if event is set, otherwise a decision.
type logEntry struct {
	at       time.Time
	decision Decision
	event    *Event
}

// Log is the log of one process. A bounded ring separates the callers from the output.
type Log struct {
	ring         *ring.Ring[logEntry]
	output       *bufio.Writer
	logger       *log.Logger
	commonFields log.Fields
}

// NewLog returns a log that writes JSON lines to w. The common fields appear in every line.
func NewLog(w io.Writer, commonFields log.Fields) *Log {
	output := bufio.NewWriterSize(w, outputBufferSize)
	return &Log{
		ring:         ring.New[logEntry](LogCapacity),
		output:       output,
		logger:       &log.Logger{Handler: json.New(output), Level: log.InfoLevel},
		commonFields: commonFields,
	}
}

// LogDecision logs a decision.
func (l *Log) LogDecision(d Decision) { _ = l.ring.TryPut(logEntry{at: time.Now(), decision: d}) }

// Info logs an event.
func (l *Log) Info(message string, fields log.Fields) { l.event(log.InfoLevel, message, fields) }

// Warn logs an event that may need an operator's attention.
func (l *Log) Warn(message string, fields log.Fields) { l.event(log.WarnLevel, message, fields) }

func (l *Log) event(level log.Level, message string, fields log.Fields) {
	_ = l.ring.TryPut(logEntry{at: time.Now(), event: &Event{Level: level, Message: message, Fields: fields}})
}

// Dropped returns how many lines were dropped because the ring was full.
func (l *Log) Dropped() uint64 { return l.ring.Refused() }

// Depth returns how many lines wait to be written.
func (l *Log) Depth() int { return l.ring.Depth() }

// Duty returns the duty that writes the lines. When it is stopped, it writes the remaining lines first.
func (l *Log) Duty() duty.Duty {
	return duty.Duty{
		Name: "log-writer",
		Run:  l.run,
		Stop: func(context.Context) error { l.ring.Close(); return nil },
	}
}

func (l *Log) run(ctx context.Context) error {
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	reported := uint64(0)
	for {
		l.drain()
		reported = l.reportDropped(reported)
		select {
		case <-l.ring.Ready():
		case <-tick.C:
		case <-l.ring.Done():
			l.drain()
			l.reportDropped(reported)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// drain writes all waiting entries and flushes the output.
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

// reportDropped logs the number of lines dropped since the last report and returns the total.
func (l *Log) reportDropped(reported uint64) uint64 {
	dropped := l.ring.Refused()
	if dropped == reported {
		return reported
	}
	fields := log.Fields{"dropped": dropped - reported, "droppedTotal": dropped}
	l.write(logEntry{at: time.Now(), event: &Event{Level: log.WarnLevel, Message: "log lines dropped", Fields: fields}})
	_ = l.output.Flush()
	return dropped
}

// write passes one entry to the handler and ignores its error, because a failing output cannot be logged.
func (l *Log) write(entry logEntry) {
	e := &log.Entry{Logger: l.logger, Level: log.InfoLevel, Timestamp: entry.at}
	if entry.event != nil {
		e.Level = entry.event.Level
		e.Message = entry.event.Message
		e.Fields = l.mergeFields(entry.event.Fields)
	} else {
		e.Message = entry.decision.Kind
		e.Fields = l.decisionFields(entry.decision)
	}
	_ = l.logger.Handler.HandleLog(e)
}

func (l *Log) mergeFields(extra log.Fields) log.Fields {
	all := make(log.Fields, len(l.commonFields)+len(extra))
	for k, v := range l.commonFields {
		all[k] = v
	}
	for k, v := range extra {
		all[k] = v
	}
	return all
}

func (l *Log) decisionFields(d Decision) log.Fields {
	f := make(log.Fields, len(l.commonFields)+10)
	for k, v := range l.commonFields {
		f[k] = v
	}
	setNonEmpty(f, "request", d.RequestID)
	setNonEmpty(f, "service", d.Service)
	setNonEmpty(f, "target", d.Target)
	setNonEmpty(f, "customer", d.Customer)
	setNonEmpty(f, "toVM", d.VM)
	setNonEmpty(f, "reason", d.Reason)
	setNonEmpty(f, "outcome", d.Outcome)
	setNonEmpty(f, "code", d.Code)
	setNonEmpty(f, "detail", d.Detail)
	if d.KeyHash != 0 {
		f["keyHash"] = formatHash(d.KeyHash)
	}
	if d.Epoch != 0 {
		f["epoch"] = d.Epoch
	}
	return f
}

// setNonEmpty sets a field unless its value is empty.
func setNonEmpty(f log.Fields, name, value string) {
	if value != "" {
		f[name] = value
	}
}

// formatHash formats a key hash in hexadecimal. Keys are logged as hashes only.
func formatHash(v uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := len(b) - 1; i >= 0; i-- {
		b[i] = digits[v&15]
		v >>= 4
	}
	return string(b[:])
}
