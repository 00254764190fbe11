package dispatcher

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	hotKey  = types.KeyHash(77)
	hotSlot = types.Slot(2)
)

// secondTarget is another target of the keyed service, served by the same dispatcher.
var secondTarget = types.TargetID{Service: keyedTarget.Service, Target: "mapa-2"}

// newKeyedWorker returns a worker that holds the leases of keyedTarget and secondTarget.
func newKeyedWorker(t *testing.T) *testWorker {
	w := newTestWorker(t, &fakeTarget{})
	c := testConfiguration()
	c.Services[0].Targets = append(c.Services[0].Targets, config.Target{
		Name: secondTarget.Target, DataCentre: testCentre, Address: "127.0.0.1:1", Slots: 4, Connections: 8, Weight: 1,
	})
	w.applyControl(context.Background(), workerControl{config: c})
	return w
}

func (w *testWorker) serve(id types.TargetID, change serveChange) {
	template := keyedServe(1, 0)
	change.target, change.epoch, change.keysChanged = id, 1, true
	change.keySet, change.validUntil = template.keySet, template.validUntil
	w.applyServe(context.Background(), &change)
}

// refusalCode submits a lookup for the hot key and returns the code of its refusal, empty if it was sent to the target.
func (w *testWorker) refusalCode(id types.TargetID, hot bool, epoch types.Epoch) types.Code {
	request := lookup("r")
	request.Service, request.Target, request.KeyHash = id.Service, id.Target, hotKey
	request.HotKey, request.Slot, request.SlotEpoch = hot, hotSlot, epoch
	reply := make(chan peer.DoAnswer, 1)
	w.accept(context.Background(), requestInput{request: request, reply: reply})
	select {
	case a := <-reply:
		return a.Failure.Code
	default:
		return ""
	}
}

func hotRow(epoch types.Epoch) ownedRow {
	return ownedRow{slotRow: slotRow{key: hotKey, hot: true}, epoch: epoch}
}

// Guards against a hot key whose requests are refused for good after its slot has left another target of the same
// dispatcher.
func TestHotKeyStaysWhenItsSlotLeavesAnotherTarget(t *testing.T) {
	is := is.New(t)
	w := newKeyedWorker(t)
	defer func() { _ = w.group.Stop(context.Background()) }()
	slot := ownedRow{slotRow: slotRow{slot: hotSlot}, epoch: 4}
	w.serve(keyedTarget, serveChange{number: 1, owned: []ownedRow{slot}, excepted: []types.KeyHash{hotKey}})
	w.serve(secondTarget, serveChange{number: 1, owned: []ownedRow{hotRow(5)}})
	is.Equal(w.refusalCode(keyedTarget, false, 4), types.CodeStaleEpoch)
	w.serve(keyedTarget, serveChange{number: 2, released: []ownedRow{slot}, unexcepted: []types.KeyHash{hotKey}})
	is.Equal(w.refusalCode(secondTarget, true, 5), types.Code(""))
}

// Guards against a key whose requests are refused for good after its hot-key row was removed, in both orders in which
// the targets can receive the change.
func TestRemovedHotKeyRowReturnsKeyToItsSlot(t *testing.T) {
	for _, ownerFirst := range []bool{true, false} {
		is := is.New(t)
		w := newKeyedWorker(t)
		slot := ownedRow{slotRow: slotRow{slot: hotSlot}, epoch: 4}
		w.serve(keyedTarget, serveChange{number: 1, owned: []ownedRow{slot}, excepted: []types.KeyHash{hotKey}})
		w.serve(secondTarget, serveChange{number: 1, owned: []ownedRow{hotRow(5)}})
		removedRow := hotRow(5)
		removedRow.removed = true
		applyToOwner := func() { w.serve(secondTarget, serveChange{number: 2, released: []ownedRow{removedRow}}) }
		if ownerFirst {
			applyToOwner()
		}
		w.serve(keyedTarget, serveChange{number: 2, unexcepted: []types.KeyHash{hotKey}})
		if !ownerFirst {
			applyToOwner()
		}
		is.Equal(w.refusalCode(keyedTarget, false, 4), types.Code(""))
		is.NoErr(w.group.Stop(context.Background()))
	}
}

// Guards against a slot owner that keeps serving a key after the key got a row of its own, and against a release that
// does not distinguish a removed row from a moved one.
func TestLeaseManagerReportsHotKeyExceptions(t *testing.T) {
	is := is.New(t)
	lm, w := newTestLeaseManager(t)
	plain := &ownership.KeySet{Slots: []ownership.SlotRange{{First: hotSlot, Count: 1, Epoch: 4}}}
	excepted := &ownership.KeySet{Slots: plain.Slots, Except: []types.KeyHash{hotKey}}
	owned := &ownership.KeySet{Slots: plain.Slots, Keys: []ownership.OwnedKey{{Key: hotKey, Epoch: 5}}}
	step := func(number uint64, keySet *ownership.KeySet) *serveChange {
		lm.serve(context.Background(), ownership.Serve{
			Target: keyedTarget, Epoch: 1, Number: number, KeySet: keySet, ValidUntil: telemetry.Now(),
		})
		m, ok := w.controls.TryGet()
		is.True(ok)
		return m.serve
	}
	is.Equal(len(step(1, plain).owned), 1)
	is.Equal(step(2, excepted).excepted, []types.KeyHash{hotKey})
	c := step(3, owned)
	is.Equal(len(c.unexcepted), 0)                 // a removal would end the ownership of the hot key
	is.Equal(c.owned[0].slotEpoch, types.Epoch(0)) // the key hashes to a slot that the target does not own
	both := &ownership.KeySet{Slots: plain.Slots, Except: excepted.Except, Keys: owned.Keys}
	step(4, both)
	c = step(5, &ownership.KeySet{Keys: owned.Keys}) // the slot leaves, the key stays
	is.Equal(len(c.released), 1)
	is.Equal(len(c.unexcepted), 0)
	c = step(6, plain)
	is.Equal(len(c.released), 1)
	is.True(c.released[0].removed) // the ownership documents hold no row
}
