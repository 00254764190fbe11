package edge

import (
	"time"

	"github.com/apex/log"

	"sequoiasail.example/types"
)

// A coordinator that stops as planned gives the role up by revoking its lease, which the other VMs learn from their watches. A watch
// may hear nothing for seconds: on a day of the deployment bbmpl-swap-grown the role was vacant for 5.6 s, and grants ended. So the
// coordinator tells all VMs, and the first candidates read the entry if their watches have not shown its end.
const (
	// resignationDelay is how long the watches of the first candidates have to show that the coordinator has resigned: the pause
	// between two calls of a watch.
	resignationDelay = watchSpacing
	// resignationReaders is the number of VMs that then read the store. The second and the third one cover the loss of the others.
	resignationReaders = 3
	// resignationPrefix takes the place of a watched prefix in the digest that announces a resignation. VMs that don't know it ignore
	// the digest.
	resignationPrefix = "resigned:" + coordinatorKey
)

// roleResigned tells the store cache that this VM has given up the coordinator role.
type roleResigned struct{}

// announceResignation tells all VMs that this VM is no longer the coordinator.
func (sc *storeCache) announceResignation() {
	_ = sc.reports.Replace(report{to: toAll, digests: []digest{{prefix: resignationPrefix}}})
}

// noteResignation records that the coordinator has announced its resignation.
func (sc *storeCache) noteResignation(now types.Instant, from types.VM) {
	if from == sc.coordinatorVM {
		sc.resignedAt = now
	}
}

// checkResignation requests a read of the entries of VMs if this VM is among the first candidates and its copy still names the
// coordinator that has resigned.
func (sc *storeCache) checkResignation(now types.Instant) {
	if sc.resignedAt == 0 || now.Sub(sc.resignedAt) < resignationDelay {
		return
	}
	sc.resignedAt = 0
	if c := sc.lastCoordinator; c == nil || !c.present || c.rank >= resignationReaders {
		return
	}
	sc.log.Info("the coordinator has resigned, its entry is read", log.Fields{"coordinator": sc.coordinatorVM})
	sc.requestRead(now, daemonPrefix, time.Duration(0))
}
