package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const longAgoMs = 1000

func keyedServe(epoch, former types.Epoch, rows ...ownedRow) *serveChange {
	return &serveChange{
		target: keyedTarget, epoch: epoch, former: former, number: uint64(epoch), areasChanged: true, owned: rows,
		validUntil: telemetry.Now().Add(time.Hour), areas: &ownership.KeySet{},
	}
}

func handedLease(epoch types.Epoch, rows ...peer.HandoverRow) *peer.HandoverRequest {
	return &peer.HandoverRequest{From: nextVM, Target: keyedTarget, LeaseEpoch: epoch, SinceMs: longAgoMs, Rows: rows}
}

// Guards against coverage that is taken over although another dispatcher held the lease in between: an order that it
// sent would run again.
func TestLeaseCoverageNeedsTheFormerEpoch(t *testing.T) {
	for _, c := range []struct {
		name           string
		handed, former types.Epoch
		covered        bool
	}{
		{"from the last holder", 3, 3, true},
		{"another held it since", 3, 4, false},
		{"nobody held it before", 3, 0, false},
		{"handed over by a later holder", 4, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestWorker(t, nil)
			before := wallMs()
			w.takeHandover(handedLease(c.handed))
			w.applyServe(context.Background(), keyedServe(5, c.former))
			since, known := w.core.TargetCoveredSince(keyedTarget)
			is.True(known)
			is.Equal(since == longAgoMs, c.covered)
			is.True(c.covered || since >= before)
		})
	}
}

// Guards against coverage of a slot that is taken over although another target owned it in between.
func TestSlotCoverageNeedsTheFormerEpoch(t *testing.T) {
	for _, c := range []struct {
		name    string
		message *peer.HandoverRequest
		former  types.Epoch // of the lease
		row     ownedRow
		covered bool
	}{
		{
			"slot moved from its last owner", handedLease(0, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: longAgoMs}),
			0,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, former: 7},
			true,
		},
		{
			"slot had another owner since", handedLease(0, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: longAgoMs}),
			0,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, former: 8},
			false,
		},
		{
			"row of another slot", handedLease(0, peer.HandoverRow{Slot: 3, Epoch: 7, SinceMs: longAgoMs}),
			0,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, former: 7},
			false,
		},
		{
			"whole target", handedLease(3, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: longAgoMs}),
			3,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 7},
			true,
		},
		{
			"whole target, lease held by another since", handedLease(3, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: longAgoMs}),
			4,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 7},
			false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestWorker(t, nil)
			before := wallMs()
			if c.message.LeaseEpoch == 0 { // the target is served here already
				w.takeHandover(handedLease(3))
				w.applyServe(context.Background(), keyedServe(5, 3))
			}
			w.takeHandover(c.message)
			w.applyServe(context.Background(), keyedServe(5, c.former, c.row))
			since, known := w.core.SlotCoveredSince(keyedTarget, dispatch.SlotRow{Slot: c.row.slot, Epoch: c.row.epoch})
			is.True(known)
			is.Equal(since == longAgoMs, c.covered)
			is.True(c.covered || since >= before)
		})
	}
}

// Guards against a handover that arrives after the takeover and covers a time in which requests were answered unknown.
func TestLateHandoverIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	before := wallMs()
	row := ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, former: 7}
	w.applyServe(context.Background(), keyedServe(5, 3, row))
	w.takeHandover(handedLease(3, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: longAgoMs}))
	renewal := keyedServe(5, 3)
	renewal.areasChanged = false
	w.applyServe(context.Background(), renewal)
	since, _ := w.core.TargetCoveredSince(keyedTarget)
	is.True(since >= before)
	since, known := w.core.SlotCoveredSince(keyedTarget, dispatch.SlotRow{Slot: 2, Epoch: 9})
	is.True(known)
	is.True(since >= before)
}

// Guards against a dispatcher that forgets what it covers when its own lease gets a new epoch.
func TestOwnCoverageOutlastsNewLeaseEpoch(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	row := ownedRow{slotRow: slotRow{slot: 2}, epoch: 9}
	w.takeHandover(handedLease(3, peer.HandoverRow{Slot: 2, Epoch: 9, SinceMs: longAgoMs}))
	w.applyServe(context.Background(), keyedServe(5, 3, row))
	w.applyServe(context.Background(), keyedServe(6, 5, row))
	since, known := w.core.SlotCoveredSince(keyedTarget, dispatch.SlotRow{Slot: 2, Epoch: 9})
	is.True(known)
	is.Equal(since, int64(longAgoMs))
}

// release makes the worker hand slot 2 over to the dispatcher of nextVM.
func release(w *testWorker) {
	row := ownedRow{slotRow: slotRow{slot: 2}, epoch: 9}
	w.applyServe(context.Background(), keyedServe(5, 0, row))
	<-w.drained // of the takeover itself
	row.next = nextVM
	change := keyedServe(5, 0)
	change.number, change.released = 6, []ownedRow{row}
	w.applyServe(context.Background(), change)
}

// Guards against a release that waits for a dispatcher that cannot be reached.
func TestHandoverWithoutLinkDoesNotDelayTheRelease(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	release(w)
	is.Equal(len(w.drained), 1) // reported within the step, not at the next wake-up
	is.Equal((<-w.drained).Number, uint64(6))
}

// Guards against rows that are handed over although some of their entries were lost, and against a release that a
// failed call delays or prevents.
func TestFailedHandoverCostsAnswersOnly(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	h := &handover{to: nextVM, target: keyedTarget, started: true, pending: 2, rows: map[slotRow]bool{}}
	h.message = *handedLease(0, peer.HandoverRow{Slot: 2, Epoch: 7})
	link := peer.NewLink("next", nil) // not running: it holds the calls that were queued
	w.links = map[types.VM]*peer.Link{nextVM: link}
	w.drains[keyedTarget] = &drainWatch{target: keyedTarget, number: 8, stopped: true, handovers: []*handover{h}}
	w.handoverAnswered(&handoverAnswer{handover: h, stored: false})
	is.Equal(len(w.drained), 0) // the other call has no answer yet
	w.handoverAnswered(&handoverAnswer{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 0) // no rows
	is.Equal((<-w.drained).Number, uint64(8))
}

// Guards against rows that are sent before all entries are stored: the next dispatcher would rely on a part of them.
func TestRowsFollowTheEntries(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	h := &handover{to: nextVM, target: keyedTarget, started: true, pending: 2, rows: map[slotRow]bool{}}
	h.message = *handedLease(0, peer.HandoverRow{Slot: 2, Epoch: 7})
	link := peer.NewLink("next", nil)
	w.links = map[types.VM]*peer.Link{nextVM: link}
	w.drains[keyedTarget] = &drainWatch{target: keyedTarget, number: 8, stopped: true, handovers: []*handover{h}}
	w.handoverAnswered(&handoverAnswer{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 0)
	w.handoverAnswered(&handoverAnswer{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 1)
	is.Equal(len(w.drained), 0) // the rows have no answer yet
	w.handoverAnswered(&handoverAnswer{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 1) // the rows are sent once
	is.Equal((<-w.drained).Number, uint64(8))
}
