package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasail.example/types"
)

// keyName names a key across services.
type keyName struct {
	service types.Service
	key     string
}

// outages follows for each key the time from the first call that was not done to the end of the next that was. Results
// arrive out of order, so calls are ordered by the time at which they were due.
type outages struct {
	since    map[keyName]time.Time // due time of the first call that was not done
	lastDone map[keyName]time.Time // due time of the last call that was done
	ended    *hdrhistogram.Histogram
}

func newOutages() *outages {
	return &outages{
		since:    map[keyName]time.Time{},
		lastDone: map[keyName]time.Time{},
		ended:    hdrhistogram.New(minTime, maxTime, precision),
	}
}

func (o *outages) add(r result) {
	k := keyName{service: r.call.service, key: r.call.key}
	if r.outcome == types.OutcomeDone.String() {
		o.done(k, r)
		return
	}
	if r.call.due.Before(o.lastDone[k]) {
		return
	}
	if at, open := o.since[k]; !open || r.call.due.Before(at) {
		o.since[k] = r.call.due
	}
}

func (o *outages) done(k keyName, r result) {
	if r.call.due.After(o.lastDone[k]) {
		o.lastDone[k] = r.call.due
	}
	if at, open := o.since[k]; open && r.call.due.After(at) {
		record(o.ended, r.ended.Sub(at))
		delete(o.since, k)
	}
}

// Outages reports how long keys were not served. A key's outage is seen only when the key is called, so rarely called
// keys seem to be out for longer than they are.
type Outages struct {
	// Ended counts outages that ended within the run, and Open the keys that were still out at its end.
	Ended int64     `json:"ended"`
	Open  int       `json:"open"`
	Time  Quantiles `json:"time"`
}

func (o *outages) report() Outages {
	return Outages{Ended: o.ended.TotalCount(), Open: len(o.since), Time: quantilesOf(o.ended)}
}
