package edge

import (
	"time"

	"sequoiasail.example/types"
)

// The time between the store's acknowledgement of a change and the last request that is handled by the state before it is
// bounded by the platform, see platform.Settings.ChangeDeadline. If the watching neighbours of a VM are cut off from the store,
// that time is the sum of the delays below and of the time for which the VM relies on them.
const (
	// hedgeDelay is how long after a VM begins to watch the store a second read is sent for a prefix whose first read has no
	// answer.
	hedgeDelay = 200 * time.Millisecond
	// readReserve is the time of that second read: the call, the decoding and the wait for the read before it.
	readReserve = 300 * time.Millisecond
	// forwardingReserve is the time of a request from the last check of its target by a sender to its arrival: a new connection
	// and the network.
	forwardingReserve = 250 * time.Millisecond
	// watchCallReserve is the time of a call of a watch that has changes to tell.
	watchCallReserve = 100 * time.Millisecond
	// minReliance keeps VMs from watching the store all the time where the platform's bound is very short.
	minReliance = 400 * time.Millisecond
)

// relianceTime returns how old the proof that a VM's copy of the store is current may get before the VM reads the store itself.
// A change may be unknown to the VM that gave the proof for watchSpacing, the pause between two calls of its watch.
func relianceTime(changeDeadline time.Duration) time.Duration {
	return max(minReliance, changeDeadline-watchSpacing-hedgeDelay-readReserve-forwardingReserve)
}

// leavingUntil returns when a target must get no more requests whose leaving was not known at currentAt, the last time for which the
// copy of the registrations was proved to be current. It may have begun up to watchSpacing before that.
func leavingUntil(currentAt types.Instant, changeDeadline time.Duration) types.Instant {
	return currentAt.Add(changeDeadline - watchSpacing - forwardingReserve)
}

// watcherRenewal returns the time between two renewals of a watching VM's lease. The answers prove that it is not cut off. One
// lost proof must not make the neighbours watch.
func watcherRenewal(reliance time.Duration) time.Duration {
	return min(watcherRenewInterval, reliance/2)
}
