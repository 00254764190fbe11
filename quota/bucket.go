package quota

import (
	"math"
	"time"

	"sequoiasail.example/types"
)

const (
	// demandTime is the time constant of the rates of requests. It is several report intervals long, so that one late report
	// changes little, and shorter than a burst of 6 s.
	demandTime = time.Second
	// shareTime is the time constant of the admissions from which shares are computed: a share has to be stable while the VMs
	// on the two sides of a partition compute it at slightly different times.
	shareTime = 5 * time.Second
	// unseenFactor multiplies the requests that others may have admitted without this VM knowing yet. A bucket is spent in
	// proportion to its level with a delay; below a factor of 1 the level oscillates in the simulation.
	unseenFactor = 1.25
	// usualLoad is the usual load of a customer as a share of its rate, surge the load during a burst as a multiple of the rate.
	usualLoad = 1 / 1.6
	surge     = 7.5 * usualLoad
	// snapshotInterval and snapshotCount cover the longest time until a VM counts as silent in fleets of less than 400 VMs.
	snapshotInterval = 100 * time.Millisecond
	snapshotCount    = 32
	// nearLimitTime is how long after its last urgent admission a customer counts as near its limit.
	nearLimitTime = time.Second
	// farLatency and nearLatency are added to the report intervals for the way of a report.
	nearLatency = 10 * time.Millisecond
	farLatency  = 60 * time.Millisecond

	// advancePart is the part of the platform's overshoot and slack that may be spent in advance, and that the capacity
	// may exceed the burst by. The other half is for what is spent twice until a partition is noticed.
	advancePart = 0.25
	// urgentRequests and urgentPart state from which own admissions on a report is urgent; see bucket.urgent.
	urgentRequests = 3
	urgentPart     = 0.25

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// decayed is a rate of events a second that forgets with a time constant.
type decayed struct {
	rate float64
	at   types.Instant
}

// at returns the rate at a time. An earlier time than that of the last event counts as that time.
func (d decayed) when(now types.Instant, constant time.Duration) float64 {
	if d.rate == 0 || now <= d.at {
		return d.rate
	}
	return d.rate * math.Exp(-float64(now.Sub(d.at))/float64(constant))
}

func (d *decayed) add(now types.Instant, n float64, constant time.Duration) {
	d.rate = d.when(now, constant) + n/constant.Seconds()
	d.at = max(d.at, now)
}

// bucket is the state of one customer at this VM.
type bucket struct {
	name types.Customer
	hash CustomerHash
	// index is the position of the customer's counters in each peer.
	index   int
	limited bool
	limit   Limit
	// capacity is that of the whole fleet's bucket, level that of this VM's view of it, as of refilledAt.
	capacity   float64
	level      float64
	refilledAt types.Instant
	// overflow counts the tokens for which the bucket had no room.
	overflow float64
	// settled is true once the level is known: it was taken over from another VM, or the VM has been up long enough.
	settled bool
	// used and rejected are the counters in reports; returned holds tokens that the next admissions use without raising used.
	used, rejected, returned uint64
	changed                  bool
	// unreported counts the admissions since the last report to the other data centres.
	unreported int
	// own, near and far are the rates of requests at this VM, its neighbours and the other VMs. rejections are those of this VM,
	// spent is its rate of admissions with shareTime.
	own, near, far decayed
	rejections     decayed
	spent          decayed
	// nearLimitAt is when the bucket was last found half empty or likely to be; see urgent. late holds the tokens that VMs with
	// late reports may have used since their last ones, as of the last sweep.
	nearLimitAt types.Instant
	late        float64
	// total is the rate of admissions at all VMs with shareTime, snapshots its former values with those of the level.
	total        decayed
	snapshots    [snapshotCount]snapshot
	lastSnapshot int
	// advance is how far the level may become negative while other VMs spend it, too; see mayAdmit.
	advance float64
	// frozen is the sum of the shares of silent VMs.
	frozen float64
}

// refill adds the tokens since the last call for a share of the limit.
func (b *bucket) refill(now types.Instant, share float64) {
	if now > b.refilledAt {
		b.level += b.limit.Rate * share * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	if most := max(b.capacity*share, 1); b.level > most {
		b.overflow += b.level - most
		b.level = most
	}
}

// take lowers the level. Its bound keeps a faulty report from closing a customer out for longer than the window.
func (b *bucket) take(n float64, window time.Duration) {
	b.level = max(b.level-n, -b.limit.Rate*window.Seconds()-1)
}

// snapshot is the state of a bucket at a time.
type snapshot struct {
	at                     types.Instant
	level, total, overflow float64
}

// blindness is how long ago the state was that a VM sees of the others.
type blindness struct{ near, far float64 }

// unseen returns the number of requests that other VMs may have received since their last report.
func (b *bucket) unseen(now types.Instant, d blindness) float64 {
	return b.near.when(now, demandTime)*d.near + b.far.when(now, demandTime)*d.far
}

// mayAdmit decides by the level and a uniform random number. Others see the same level and spend it at the same time: all VMs
// together spend at most the available tokens within the report delay, each in proportion to its share of the requests. The
// tokens that the bucket gets within that delay are available in advance, for the part of the requests that others receive;
// without them, a bucket that is small for the delay would not be spent at its rate.
func (b *bucket) mayAdmit(now types.Instant, d blindness, random Random) bool {
	need, available := 1.0, b.level-b.late
	if unseen := b.unseen(now, d); unseen > 0 {
		need += unseenFactor * unseen
		available += b.advance * (1 - b.frozen) * unseen / (unseen + b.own.when(now, demandTime)*max(d.near, d.far))
	}
	switch {
	case available >= need:
		return true
	case available <= 0:
		return false
	default:
		return random.Float64()*need < available
	}
}

// urgent reports whether others should soon learn what this VM has admitted: the customer's bucket is half empty, or it is likely
// to be, if the requests at the other VMs have risen as those at this one.
func (b *bucket) urgent(now types.Instant) bool {
	if b.level < b.capacity/2 {
		return true
	}
	if b.unreported < urgentRequests {
		return false
	}
	own := b.own.when(now, demandTime)
	others := b.near.when(now, demandTime) + b.far.when(now, demandTime)
	return float64(b.unreported)*(own+others) > urgentPart*b.capacity*own
}

// remember keeps the current state for stateAt, at most once in snapshotInterval.
func (b *bucket) remember(now types.Instant) {
	last := &b.snapshots[b.lastSnapshot]
	if now.Sub(last.at) < snapshotInterval {
		return
	}
	b.lastSnapshot = (b.lastSnapshot + 1) % len(b.snapshots)
	b.snapshots[b.lastSnapshot] = snapshot{at: now, level: b.level, total: b.total.when(now, shareTime), overflow: b.overflow}
}

// stateAt returns the level and the rate of admissions at all VMs as of a time in the last seconds.
func (b *bucket) stateAt(at types.Instant) snapshot {
	for i := range b.snapshots {
		s := b.snapshots[(b.lastSnapshot-i+len(b.snapshots))%len(b.snapshots)]
		if s.at <= at || i == len(b.snapshots)-1 {
			return s
		}
	}
	return snapshot{}
}

// refilled returns the tokens that a share has added since a time, without those for which there was no room.
func (b *bucket) refilled(share float64, now, since types.Instant, then snapshot) float64 {
	return max(0, b.limit.Rate*share*now.Sub(since).Seconds()-(b.overflow-then.overflow))
}

// setCapacity derives the capacity from the limit. The overshoot that the platform allows has to cover what a sudden burst adds
// within the report delay; what it doesn't cover is taken from the capacity. The capacity stays large enough for the usual
// load, which reports reduce in batches.
func (b *bucket) setCapacity(s Settings, d blindness) {
	allowance := s.Overshoot*(b.limit.Rate*s.Window.Seconds()+b.limit.Burst) + s.Slack
	delay := max(d.near, d.far)
	hidden := (surge - 1) * b.limit.Rate * delay
	// needed is the level from which requests at the limit are admitted without a rejection; see mayAdmit.
	needed := func(load float64) float64 { return 1 + unseenFactor*load*b.limit.Rate*delay }
	b.advance = min(b.limit.Rate*delay, advancePart*allowance)
	smallest := max(min(needed(1), b.limit.Burst), min(needed(usualLoad), b.limit.Burst+advancePart*allowance))
	b.capacity = max(smallest, min(b.limit.Burst, b.limit.Burst+allowance-hidden))
}

// retryAfter returns the time until the level is positive, plus a random time that grows with the overload, so that the callers
// don't return together.
func (b *bucket) retryAfter(now types.Instant, share float64, random Random) time.Duration {
	refill := max(b.limit.Rate*share, 0.001)
	wait := max(0, 1-b.level) / refill
	rejected := b.rejections.when(now, demandTime)
	overload := rejected / max(b.own.when(now, demandTime)-rejected, 0.1)
	wait = min(wait, 0.5*maxRetryAfter.Seconds())
	spread := min(0.2*(1+overload), maxRetryAfter.Seconds()-wait)
	after := time.Duration((wait + spread*random.Float64()) * float64(time.Second))
	return min(max(after, minRetryAfter), maxRetryAfter)
}
