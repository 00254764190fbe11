// Package quota limits the requests of each customer at all VMs together. Each VM counts the requests that it admits, tells the
// others, and keeps a token bucket for each customer that all of these counts lower.
//
// A Core decides for one VM. It performs no I/O and reads no clock: messages and the time are passed in. docs/design/quota.md
// states what it guarantees and at which cost.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiasail.example/types"
)

// Limit is the quota of one customer.
type Limit struct {
	// Rate is in requests a second, Burst the number of requests on top of it.
	Rate, Burst float64
}

// Limits holds the quotas of all limited customers.
type Limits map[types.Customer]Limit

// CustomerHash identifies a customer in reports.
type CustomerHash uint32

// HashOf returns the hash of a customer's name. Two customers of one configuration with the same hash, about one case in a million
// with 77 customers, count each other's requests as theirs: they get less than their limit, never more.
func HashOf(name types.Customer) CustomerHash { return CustomerHash(xxhash.Sum64String(string(name))) }

// Counter tells what one VM has done with the requests of a customer since its process started.
type Counter struct {
	Customer CustomerHash
	// Used counts the requests that were admitted and not returned, Rejected those that were rejected. Both only rise.
	Used, Rejected uint64
	// Level is the sender's level of the bucket, in complete reports only.
	Level int64
}

// Report is what a VM tells others. A lost one loses nothing, because counters are cumulative.
type Report struct {
	VM          types.VM
	Incarnation types.Incarnation
	// Leaving is true once the VM has begun a planned stop: nobody keeps a share for it when it falls silent.
	Leaving bool
	// Levels is true if the counters have levels. They let a VM that starts continue from the state of the others.
	Levels bool
	// Next is the time within which the sender promises its next report, 0 without a promise.
	Next     time.Duration
	Counters []Counter
	// Forwarded is true if a relay has passed the report on. It is not forwarded again.
	Forwarded bool
}

// Fleet lists the VMs.
type Fleet struct {
	// VMs holds all VMs of the fleet, with or without this one.
	VMs []types.VM
	// Neighbours holds the VMs of this data centre, whose reports arrive more often.
	Neighbours []types.VM
	// Relays holds the VMs of this data centre that get the reports of other data centres and forward them to their neighbours. All
	// VMs of the data centre have them in the same order.
	Relays []types.VM
	// NearInterval is the time between two reports of a neighbour, FarInterval between two of any other VM.
	NearInterval, FarInterval time.Duration
}

// Random is a source of uniform numbers in [0, 1).
type Random interface{ Float64() float64 }

// Settings are fixed for the life of a Core.
type Settings struct {
	VM          types.VM
	Incarnation types.Incarnation
	// Window, Overshoot and Slack state the bound of the platform: within Window a customer may use
	// (Rate x Window + Burst) x (1 + Overshoot) + Slack requests at all VMs together.
	Window           time.Duration
	Overshoot, Slack float64
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Counter is the customer's new counter, for the next report to the neighbours.
	Counter Counter
	// RetryAfter is when the caller of a rejected request may send it again.
	RetryAfter time.Duration
}
