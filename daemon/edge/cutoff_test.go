package edge

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/types"
)

// Guards against a VM that is cut off from the store and does not ask the neighbour whose digest shows a change: because its own
// watch, which the store does not answer, counts as working, or because it has just asked another neighbour.
func TestCutOffVMAsksNeighbourThatShowsChange(t *testing.T) {
	for name, cutOff := range map[string]func(sc *storeCache, now types.Instant){
		"its watch is not answered": func(sc *storeCache, now types.Instant) {
			followAll(sc, now.Add(-watcherStoreSilence))
			sc.watchState.active = true
		},
		"it has asked another neighbour": func(sc *storeCache, now types.Instant) {
			sc.vms["vm-3"] = vmEntry{VM: "vm-3", DataCentre: "north", Cores: 1, MirrorAddress: "10.0.0.3:1"}
			sc.queryMirrors(now.Add(-mirrorSpacing))
			sc.mirrorRequests.Drain(func(mirrorRequest) {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := types.Instant(time.Hour)
			sc, _ := newTestCache(now)
			sc.vms["vm-2"] = vmEntry{VM: "vm-2", DataCentre: "north", Cores: 1, MirrorAddress: "10.0.0.2:1"}
			sc.watchState.storeAnsweredAt = now.Add(-storeSilence - mirrorSpacing)
			cutOff(sc, now)
			sc.receiveDigest(now, "vm-2", digest{prefix: platform.OperatorPrefix, atRevision: 9, newestRevision: 9, count: 1})
			request, asked := sc.mirrorRequests.TryGet()
			is.True(asked)
			is.Equal(request.address, "10.0.0.2:1")
		})
	}
}

// Guards against requests to a leaving target from VMs that the store does not answer, while their neighbours know that it leaves.
// On zcsp-brana-grown such a VM sent one 2.3 s after the acknowledgement, 1 s after its neighbours had learnt of the leaving.
func TestCutOffVMsLearnOfLeavingFromNeighbours(t *testing.T) {
	for seed := range 24 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t.Context(), t, propagationCase{deadline: removalDeadline, revoke: seed%2 == 0, loadReports: true})
				defer f.stop(context.Background(), t)
				duty.Pause(t.Context(), simSettleTime+time.Duration(seed)*80*time.Millisecond)
				away := f.watchingVMs(t.Context(), t)
				away["vm-07"], away["vm-11"] = true, true
				f.silence(t.Context(), t, away)
				f.register(t.Context(), t, "leaving", 1, true)
				leftAt := time.Since(f.began)
				duty.Pause(t.Context(), removalDeadline)
				for name, v := range f.vms {
					took := time.Duration(v.learntAt.Load()) - leftAt
					if took <= 0 || took > removalDeadline-forwardingReserve {
						t.Errorf("%s learnt of the leaving %v after it (negative: not at all), cut off: %v", name, took, away[name])
					}
				}
			})
		})
	}
}
