package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasail.example/types"
)

// serviceKey identifies a key of a service.
type serviceKey struct {
	service types.Service
	key     string
}

// outageTracker measures the outages of each key, from the time at which the first failed call was due to the end of
// the next call that was done. Results arrive out of order, so it orders calls by the times at which they were due.
type outageTracker struct {
	openSince map[serviceKey]time.Time // due time of the first call that was not done, for keys with an open outage
	lastDone  map[serviceKey]time.Time // due time of the last call that was done
	ended     *hdrhistogram.Histogram  // durations of the outages that ended
}

func newOutageTracker() *outageTracker {
	return &outageTracker{
		openSince: map[serviceKey]time.Time{},
		lastDone:  map[serviceKey]time.Time{},
		ended:     hdrhistogram.New(minTime, maxTime, precision),
	}
}

// add updates the outage of the key of r. A call that was not done starts the outage, or moves its start back if it was
// due earlier. It is ignored if it was due before the last call that was done. For calls that were done see addDone.
func (o *outageTracker) add(r result) {
	k := serviceKey{service: r.call.service, key: r.call.key}
	if r.outcome == types.OutcomeDone.String() {
		o.addDone(k, r)
		return
	}
	if r.call.due.Before(o.lastDone[k]) {
		return
	}
	if since, open := o.openSince[k]; !open || r.call.due.Before(since) {
		o.openSince[k] = r.call.due
	}
}

// addDone ends the open outage of k if the call was due after its start.
func (o *outageTracker) addDone(k serviceKey, r result) {
	if r.call.due.After(o.lastDone[k]) {
		o.lastDone[k] = r.call.due
	}
	if since, open := o.openSince[k]; open && r.call.due.After(since) {
		recordDuration(o.ended, r.ended.Sub(since))
		delete(o.openSince, k)
	}
}

// Outages reports how long keys were not served. An outage shows only in the calls of its key, so rarely called keys
// seem to be out for longer than they are.
type Outages struct {
	// Ended counts the outages that ended within the run, and Open the keys without service at its end. Time is the
	// length of the ended ones.
	Ended int64     `json:"ended"`
	Open  int       `json:"open"`
	Time  Quantiles `json:"time"`
}

func (o *outageTracker) report() Outages {
	return Outages{Ended: o.ended.TotalCount(), Open: len(o.openSince), Time: quantilesOf(o.ended)}
}
