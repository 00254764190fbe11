package ownership

import (
	"slices"

	"sequoiasail.example/types"
)

// Writer keeps at most one write per document in flight and settles writes whose result is not known.
//
// What follows from a write is decided from the document as it is then read, never from the assumption that the write
// did not take effect: it may still do so later.
type Writer struct {
	*env
	// pending is ordered by submission.
	pending []*pendingWrite
	number  uint64
	// settled counts the writes that are no longer pending.
	settled uint64
}

type pendingWrite struct {
	write Write
	// reading is true while the document is read back, refused when the write never left the process.
	reading bool
	refused bool
	// sentAt is when the write or the last read back was issued.
	sentAt types.Instant
}

func newWriter(e *env) Writer { return Writer{env: e} }

// idle reports whether a write of the document may be submitted.
func (w *Writer) idle(key DocumentKey) bool { return w.find(key) == nil }

func (w *Writer) find(key DocumentKey) *pendingWrite {
	for _, p := range w.pending {
		if p.write.Document.Key == key {
			return p
		}
	}
	return nil
}

func (w *Writer) settle(p *pendingWrite) {
	w.settled++
	w.pending = slices.DeleteFunc(w.pending, func(x *pendingWrite) bool { return x == p })
}

// header returns the header of the next write of a document.
func (w *Writer) header(key DocumentKey) Header {
	w.number++
	return Header{Epoch: w.table.epoch(key) + 1, Write: WriteID{Peer: w.self.Peer, Number: w.number}}
}

// submit writes d, whose header comes from header, if the document is still the one known now.
func (w *Writer) submit(d Document) {
	d.Store = w.table.document(d.Key).Store
	p := &pendingWrite{write: Write{ID: d.Header().Write, Document: d}, sentAt: w.now}
	w.pending = append(w.pending, p)
	w.emit(Action{Kind: ActWrite, Write: p.write})
}

func (w *Writer) result(r WriteResult) {
	p := w.find(r.Key)
	if p == nil || p.write.ID != r.ID || p.reading {
		return
	}
	switch r.Status {
	case WriteConfirmed:
		p.write.Document.Store = r.Store
		w.table.install(w.now, p.write.Document)
		w.settle(p)
	case WriteNotSent:
		p.refused = true
		p.sentAt = w.now
	case WriteConflict:
		w.decide(Decision{Reason: ReasonWriteConflict, Document: r.Key})
		w.readBack(p)
	default:
		w.decide(Decision{Reason: ReasonAnswerLost, Document: r.Key})
		w.readBack(p)
	}
}

func (w *Writer) readBack(p *pendingWrite) {
	p.reading = true
	p.sentAt = w.now
	w.emit(Action{Kind: ActReadBack, Write: p.write})
}

// read settles a write with the document as it was read back.
func (w *Writer) read(r ReadBackResult) {
	p := w.find(r.Document.Key)
	if p == nil || !p.reading || r.Failed {
		return
	}
	w.table.install(w.now, r.Document)
	w.settle(p)
}

// tick reads back again when no result came, and gives up refused writes after a pause.
func (w *Writer) tick() {
	for i := 0; i < len(w.pending); i++ {
		p := w.pending[i]
		age := w.now.Sub(p.sentAt)
		switch {
		case p.refused && age >= w.timing.retryEvery:
			w.settle(p)
			i--
		case p.reading && age >= w.timing.permit, !p.refused && age >= writeTimeout:
			w.readBack(p)
		}
	}
}
