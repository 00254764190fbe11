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

const coveredSinceMs = 1000

// keyedServe returns a change after which keyedTarget is served under the given lease epoch and owns the given rows.
func keyedServe(epoch, previousEpoch types.Epoch, rows ...ownedRow) *serveChange {
	return &serveChange{
		target: keyedTarget, epoch: epoch, previousEpoch: previousEpoch, number: uint64(epoch), keysChanged: true, owned: rows,
		validUntil: telemetry.Now().Add(time.Hour), keySet: &ownership.KeySet{},
	}
}

// leaseHandover returns a handover of rows, and of the lease of keyedTarget if epoch is not 0.
func leaseHandover(epoch types.Epoch, rows ...peer.HandoverRow) *peer.HandoverRequest {
	return &peer.HandoverRequest{From: nextVM, Target: keyedTarget, LeaseEpoch: epoch, SinceMs: coveredSinceMs, Rows: rows}
}

// Guards against accepting handed-over coverage although another dispatcher held the lease in between: an order that
// the other dispatcher sent would run again.
func TestLeaseCoverageNeedsPreviousEpoch(t *testing.T) {
	for _, c := range []struct {
		name                  string
		handed, previousEpoch types.Epoch
		covered               bool
	}{
		{"from the last holder", 3, 3, true},
		{"another dispatcher held it since", 3, 4, false},
		{"no previous holder", 3, 0, false},
		{"handed over by a later holder", 4, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestWorker(t, nil)
			before := wallClockMs()
			w.acceptHandover(leaseHandover(c.handed))
			w.applyServe(context.Background(), keyedServe(5, c.previousEpoch))
			since, known := w.core.TargetCoveredSince(keyedTarget)
			is.True(known)
			is.Equal(since == coveredSinceMs, c.covered)
			is.True(c.covered || since >= before)
		})
	}
}

// Guards against accepting handed-over coverage of a slot although another target owned the slot in between.
func TestSlotCoverageNeedsPreviousEpoch(t *testing.T) {
	for _, c := range []struct {
		name          string
		message       *peer.HandoverRequest
		previousEpoch types.Epoch // of the lease
		row           ownedRow
		covered       bool
	}{
		{
			"slot moved from its last owner", leaseHandover(0, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: coveredSinceMs}),
			0,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, previousEpoch: 7},
			true,
		},
		{
			"slot had another owner since", leaseHandover(0, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: coveredSinceMs}),
			0,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, previousEpoch: 8},
			false,
		},
		{
			"row of another slot", leaseHandover(0, peer.HandoverRow{Slot: 3, Epoch: 7, SinceMs: coveredSinceMs}),
			0,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, previousEpoch: 7},
			false,
		},
		{
			"whole target", leaseHandover(3, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: coveredSinceMs}),
			3,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 7},
			true,
		},
		{
			"whole target, lease held by another since", leaseHandover(3, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: coveredSinceMs}),
			4,
			ownedRow{slotRow: slotRow{slot: 2}, epoch: 7},
			false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestWorker(t, nil)
			before := wallClockMs()
			if c.message.LeaseEpoch == 0 { // the target is already served here
				w.acceptHandover(leaseHandover(3))
				w.applyServe(context.Background(), keyedServe(5, 3))
			}
			w.acceptHandover(c.message)
			w.applyServe(context.Background(), keyedServe(5, c.previousEpoch, c.row))
			since, known := w.core.SlotCoveredSince(keyedTarget, dispatch.SlotRow{Slot: c.row.slot, Epoch: c.row.epoch})
			is.True(known)
			is.Equal(since == coveredSinceMs, c.covered)
			is.True(c.covered || since >= before)
		})
	}
}

// Guards against accepting a handover that arrives after the takeover: it would cover a time in which requests were
// answered unknown.
func TestLateHandoverIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	before := wallClockMs()
	row := ownedRow{slotRow: slotRow{slot: 2}, epoch: 9, previousEpoch: 7}
	w.applyServe(context.Background(), keyedServe(5, 3, row))
	w.acceptHandover(leaseHandover(3, peer.HandoverRow{Slot: 2, Epoch: 7, SinceMs: coveredSinceMs}))
	renewal := keyedServe(5, 3)
	renewal.keysChanged = false
	w.applyServe(context.Background(), renewal)
	since, _ := w.core.TargetCoveredSince(keyedTarget)
	is.True(since >= before)
	since, known := w.core.SlotCoveredSince(keyedTarget, dispatch.SlotRow{Slot: 2, Epoch: 9})
	is.True(known)
	is.True(since >= before)
}

// Guards against losing a dispatcher's own coverage when its lease gets a new epoch.
func TestOwnCoverageSurvivesNewLeaseEpoch(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	row := ownedRow{slotRow: slotRow{slot: 2}, epoch: 9}
	w.acceptHandover(leaseHandover(3, peer.HandoverRow{Slot: 2, Epoch: 9, SinceMs: coveredSinceMs}))
	w.applyServe(context.Background(), keyedServe(5, 3, row))
	w.applyServe(context.Background(), keyedServe(6, 5, row))
	since, known := w.core.SlotCoveredSince(keyedTarget, dispatch.SlotRow{Slot: 2, Epoch: 9})
	is.True(known)
	is.Equal(since, int64(coveredSinceMs))
}

// release makes the worker hand slot 2 over to the dispatcher on nextVM.
func release(w *testWorker) {
	row := ownedRow{slotRow: slotRow{slot: 2}, epoch: 9}
	w.applyServe(context.Background(), keyedServe(5, 0, row))
	<-w.drained // the drain of the takeover itself
	row.nextHolder = nextVM
	change := keyedServe(5, 0)
	change.number, change.released = 6, []ownedRow{row}
	w.applyServe(context.Background(), change)
}

// Guards against a release that waits for an unreachable dispatcher.
func TestHandoverWithoutLinkDoesNotDelayRelease(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	release(w)
	is.Equal(len(w.drained), 1) // reported within the step, not at the next wake-up
	is.Equal((<-w.drained).Number, uint64(6))
}

// Guards against handing rows over although some of their entries were lost, and against a failed call that delays or
// prevents the release.
func TestFailedHandoverStillReleasesRows(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	h := &handover{to: nextVM, target: keyedTarget, started: true, pending: 2, rows: map[slotRow]bool{}}
	h.message = *leaseHandover(0, peer.HandoverRow{Slot: 2, Epoch: 7})
	link := peer.NewLink("next", nil) // not running: queued calls stay in its ring
	w.links = map[types.VM]*peer.Link{nextVM: link}
	w.pendingDrains[keyedTarget] = &pendingDrain{target: keyedTarget, number: 8, stopped: true, handovers: []*handover{h}}
	w.applyHandoverResult(&handoverResult{handover: h, stored: false})
	is.Equal(len(w.drained), 0) // the other call is still in flight
	w.applyHandoverResult(&handoverResult{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 0) // no rows
	is.Equal((<-w.drained).Number, uint64(8))
}

// Guards against sending rows before all entries are stored: the next dispatcher would rely on incomplete entries.
func TestHandoverRowsAreSentAfterEntries(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	h := &handover{to: nextVM, target: keyedTarget, started: true, pending: 2, rows: map[slotRow]bool{}}
	h.message = *leaseHandover(0, peer.HandoverRow{Slot: 2, Epoch: 7})
	link := peer.NewLink("next", nil)
	w.links = map[types.VM]*peer.Link{nextVM: link}
	w.pendingDrains[keyedTarget] = &pendingDrain{target: keyedTarget, number: 8, stopped: true, handovers: []*handover{h}}
	w.applyHandoverResult(&handoverResult{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 0)
	w.applyHandoverResult(&handoverResult{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 1)
	is.Equal(len(w.drained), 0) // the call with the rows is still in flight
	w.applyHandoverResult(&handoverResult{handover: h, stored: true})
	is.Equal(link.Ring().Depth(), 1) // the rows are sent once
	is.Equal((<-w.drained).Number, uint64(8))
}
