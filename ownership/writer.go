package ownership

import (
	"slices"

	"sequoiasail.example/types"
)

// Writer keeps at most one write per document in flight and reads a document back when the result of a write is
// unknown.
//
// Further decisions depend on the document that was read back, never on the assumption that the write did not take
// effect: it may still do so later.
type Writer struct {
	*env
	// pending is ordered by submission.
	pending []*pendingWrite
	number  uint64
	// completed counts the writes that are no longer pending.
	completed uint64
}

// pendingWrite is a write whose result is not known yet, or that was not sent and may be submitted again after a pause.
type pendingWrite struct {
	write Write
	// readingBack is true while the document is read back, notSent when the write never left the process.
	readingBack bool
	notSent     bool
	// sentAt is when the write or the last read-back was issued.
	sentAt types.Instant
}

func newWriter(e *env) Writer { return Writer{env: e} }

// idle reports whether no write of the document is pending, so that one may be submitted.
func (w *Writer) idle(key DocumentKey) bool { return w.find(key) == nil }

func (w *Writer) find(key DocumentKey) *pendingWrite {
	for _, p := range w.pending {
		if p.write.Document.Key == key {
			return p
		}
	}
	return nil
}

// complete removes a write whose result is known or that was not sent.
func (w *Writer) complete(p *pendingWrite) {
	w.completed++
	w.pending = slices.DeleteFunc(w.pending, func(x *pendingWrite) bool { return x == p })
}

// header returns the header of the next write of a document.
func (w *Writer) header(key DocumentKey) Header {
	w.number++
	return Header{Epoch: w.table.epoch(key) + 1, Write: WriteID{Peer: w.self.Peer, Number: w.number}}
}

// submit writes d, whose header comes from the method header, on the condition that the document has not changed since
// this process learned it.
func (w *Writer) submit(d Document) {
	d.Store = w.table.document(d.Key).Store
	p := &pendingWrite{write: Write{ID: d.Header().Write, Document: d}, sentAt: w.now}
	w.pending = append(w.pending, p)
	w.emit(Action{Kind: ActWrite, Write: p.write})
}

func (w *Writer) result(r WriteResult) {
	p := w.find(r.Key)
	if p == nil || p.write.ID != r.ID || p.readingBack {
		return
	}
	switch r.Status {
	case WriteConfirmed:
		p.write.Document.Store = r.Store
		w.table.install(w.now, p.write.Document)
		w.complete(p)
	case WriteNotSent:
		p.notSent = true
		p.sentAt = w.now
	case WriteConflict:
		w.logDecision(Decision{Reason: ReasonWriteConflict, Document: r.Key})
		w.readBack(p)
	default:
		w.logDecision(Decision{Reason: ReasonAnswerLost, Document: r.Key})
		w.readBack(p)
	}
}

func (w *Writer) readBack(p *pendingWrite) {
	p.readingBack = true
	p.sentAt = w.now
	w.emit(Action{Kind: ActReadBack, Write: p.write})
}

// finishReadBack completes a write with the document that was read back.
func (w *Writer) finishReadBack(r ReadBackResult) {
	p := w.find(r.Document.Key)
	if p == nil || !p.readingBack || r.Failed {
		return
	}
	w.table.install(w.now, r.Document)
	w.complete(p)
}

// tick reads documents back again when no result arrived, and completes writes that were not sent after a pause.
func (w *Writer) tick() {
	for i := 0; i < len(w.pending); i++ {
		p := w.pending[i]
		age := w.now.Sub(p.sentAt)
		switch {
		case p.notSent && age >= w.timing.retryEvery:
			w.complete(p)
			i--
		case p.readingBack && age >= w.timing.permit, !p.notSent && age >= writeTimeout:
			w.readBack(p)
		}
	}
}
