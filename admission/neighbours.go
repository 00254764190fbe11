package admission

import (
	"slices"

	"sequoiasail.example/types"
)

// neighbourTTL is how long after its last report a VM that is not listed counts as a neighbour. A VM that no longer hears the
// others stops sending to cold targets after activePeerTTL, and what it has sent counts for coldWindow after that.
const neighbourTTL = activePeerTTL + coldWindow

// neighbourhood holds the other VMs of the data centre as this VM knows them. They are the VMs in the store's list and those that
// report although they are not in it, because the store may drop the entry of a VM that goes on.
type neighbourhood struct {
	// listed are the neighbours in the store's list, living these and the others that report.
	listed, living []types.VM
	// heardAt is when the last report of each neighbour arrived.
	heardAt map[types.VM]types.Instant
	// nextExpiry is when the next neighbour that is not listed may have been silent for neighbourTTL, 0 without one.
	nextExpiry types.Instant
}

func newNeighbourhood() neighbourhood {
	return neighbourhood{heardAt: make(map[types.VM]types.Instant)}
}

// setListed replaces the listed neighbours.
func (n *neighbourhood) setListed(now types.Instant, listed []types.VM) {
	n.listed = listed
	n.update(now)
}

// hear records a report.
func (n *neighbourhood) hear(now types.Instant, vm types.VM) {
	n.expire(now)
	n.heardAt[vm] = now
	if !slices.Contains(n.living, vm) {
		n.update(now)
	}
}

// expire drops the neighbours that are not listed and have been silent for neighbourTTL.
func (n *neighbourhood) expire(now types.Instant) {
	if n.nextExpiry != 0 && !now.Before(n.nextExpiry) {
		n.update(now)
	}
}

// update derives living and nextExpiry.
func (n *neighbourhood) update(now types.Instant) {
	n.living, n.nextExpiry = slices.Clone(n.listed), 0
	for vm, at := range n.heardAt {
		if slices.Contains(n.listed, vm) {
			continue
		}
		expiry := at.Add(neighbourTTL)
		if !now.Before(expiry) {
			delete(n.heardAt, vm)
			continue
		}
		n.living = append(n.living, vm)
		if n.nextExpiry == 0 || expiry.Before(n.nextExpiry) {
			n.nextExpiry = expiry
		}
	}
}

// reporting returns how many neighbours have reported within activePeerTTL.
func (n *neighbourhood) reporting(now types.Instant) int {
	reporting, _ := n.count(now)
	return reporting
}

// count returns how many neighbours have reported within activePeerTTL, and how many are listed and have ever reported or do so
// without being listed.
func (n *neighbourhood) count(now types.Instant) (reporting, known int) {
	for vm, at := range n.heardAt {
		switch {
		case now.Sub(at) <= activePeerTTL:
			reporting++
			known++
		case slices.Contains(n.listed, vm):
			known++
		}
	}
	return reporting, known
}

// hearsMajority reports whether this VM and the neighbours that it hears are more than half of the data centre. Neighbours that
// have never reported do not count, nor silent ones that are not listed any more: they have ended. A VM without a majority may be
// cut off from neighbours that have dropped it from their lists.
func (n *neighbourhood) hearsMajority(now types.Instant) bool {
	reporting, known := n.count(now)
	return 2*(reporting+1) > known+1
}

// scale estimates a number of VMs of all data centres from the number that the store lists, if the same share of each data
// centre is not listed.
func (n *neighbourhood) scale(listed int) int {
	own := len(n.listed) + 1
	return (listed*(len(n.living)+1) + own - 1) / own
}
