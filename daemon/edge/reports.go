package edge

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sequoiasail.example/admission"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/quota"
	"sequoiasail.example/types"
)

const (
	// maxReportedKeys and maxReportedSamples keep a report within one datagram of usual size.
	maxReportedKeys    = 100
	maxReportedSamples = 20
	// maxForwardBytes is the size up to which forwarded reports are put in one datagram, below the usual limit of a link.
	maxForwardBytes = 1200
)

// audience selects the recipients of a report.
type audience uint8

const (
	// toDataCentre selects the VMs of the sender's data centre only, since traffic between data centres is expensive.
	toDataCentre audience = iota
	toCoordinator
	toAll
	// toRelays selects the relays of all data centres but the sender's, which forward the report to their neighbours.
	toRelays
	// toDataCentreAndRelays selects the recipients of both.
	toDataCentreAndRelays
)

// report is a message from one VM to others: load, measurements for the coordinator, and owners of keys from the coordinator.
type report struct {
	to audience
	// load is for the VMs of the data centre.
	load *admission.PeerReport
	// keys and coordinatorSamples are for the coordinator.
	keys               map[types.Service][]keyspace.Key
	coordinatorSamples []admission.Sample
	// moving and owners are sent by the coordinator.
	moving map[types.Service][]keyspace.Range
	owners []ownerChange
	// digests sum up the sender's copy of the store, so that others notice changes that they missed.
	digests []digest
	// quota has the sender's counters of customers with a limit, nil for none. Its VM is set by the receiver.
	quota *quota.Report
	// forwarded has counters of VMs of other data centres, which this VM passes on as a relay.
	forwarded []quota.Report
}

// datagram is the encoding of a report. Reports are sent over UDP because they may be lost and are useless when late; net/rpc
// would add connections to maintain and an answer to each report. The order of the fields is the wire format.
type datagram struct {
	_                  struct{} `cbor:",toarray"`
	VM                 string
	HasLoad            bool
	InFlight           map[string]int
	Waiting            map[string]int
	Samples            []sampleField
	Keys               map[string][]uint16
	CoordinatorSamples []sampleField
	Moving             map[string][]movingField
	Owners             []ownerChangeField
	Digests            []digestField
}

// quotaField follows the datagram of a report that has counters, as a further CBOR item: without customers with a limit, datagrams
// stay as they were, and VMs of both versions understand each other.
type quotaField struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Leaving     bool
	NextMillis  uint32
	Levels      bool
	// Counters holds three numbers for each customer: its hash, used and rejected; with Levels also the level.
	Counters []int64
}

// forwardedField is a report of another VM that a relay passes on. Any number of them follow the quotaField, as further CBOR items;
// the quotaField is null in such a datagram.
type forwardedField struct {
	_      struct{} `cbor:",toarray"`
	VM     string
	Report quotaField
}

// digestField is a digest in a datagram.
type digestField struct {
	_                          struct{} `cbor:",toarray"`
	Prefix                     string
	AtRevision, NewestRevision uint64
	Count                      int
	AgeMillis                  int64
	Hash                       uint64
}

// sampleField is an admission.Sample in a datagram. Micros is its response time in microseconds.
type sampleField struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Micros   int64
	Slowness float32
	Load     int
	Failed   bool
}

// movingField is a range of keys that changes owner, in a datagram.
type movingField struct {
	_        struct{} `cbor:",toarray"`
	From, To uint16
	Fence    uint64
}

// ownerChangeField is an ownerChange in a datagram.
type ownerChangeField struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Base, Next uint64
	Ranges     []ownedRangeField
}

// ownedRangeField is a range of keys with its owner, in a datagram. Incarnation is that of the owner's registration.
type ownedRangeField struct {
	_           struct{} `cbor:",toarray"`
	From, To    uint16
	Target      string
	Incarnation int64
	Fence       uint64
}

func encodeReport(vm types.VM, r report) ([]byte, error) {
	d := datagram{VM: string(vm), CoordinatorSamples: encodeSamples(r.coordinatorSamples)}
	if r.load != nil {
		d.HasLoad = true
		d.InFlight = make(map[string]int, len(r.load.InFlight))
		for t, n := range r.load.InFlight {
			d.InFlight[string(t)] = n
		}
		d.Waiting = make(map[string]int, len(r.load.Waiting))
		for t, n := range r.load.Waiting {
			d.Waiting[string(t)] = n
		}
		d.Samples = encodeSamples(r.load.Samples)
	}
	if len(r.keys) > 0 {
		d.Keys = make(map[string][]uint16, len(r.keys))
		for s, keys := range r.keys {
			d.Keys[string(s)] = keys
		}
	}
	if len(r.moving) > 0 {
		d.Moving = make(map[string][]movingField, len(r.moving))
		for s, ranges := range r.moving {
			for _, m := range ranges {
				d.Moving[string(s)] = append(d.Moving[string(s)], movingField{From: m.From, To: m.To, Fence: uint64(m.Fence)})
			}
		}
	}
	for _, o := range r.owners {
		d.Owners = append(d.Owners, encodeOwners(o))
	}
	for _, g := range r.digests {
		d.Digests = append(d.Digests, digestField{Prefix: g.prefix, AtRevision: uint64(g.atRevision), NewestRevision: uint64(g.newestRevision), Count: g.count, AgeMillis: g.age.Milliseconds(), Hash: g.hash})
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "encode report")
	}
	if r.quota == nil {
		return data, nil
	}
	counters, err := cbor.Marshal(encodeQuota(*r.quota))
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "encode counters of customers")
	}
	return append(data, counters...), nil
}

// encodeForwarded returns the datagrams for forwarded reports. A report is never split.
func encodeForwarded(vm types.VM, reports []quota.Report) ([][]byte, error) {
	start, err := encodeReport(vm, report{})
	if err != nil {
		return nil, err
	}
	noQuota, err := cbor.Marshal(nil)
	if err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "encode forwarded reports")
	}
	start = append(start, noQuota...)
	var datagrams [][]byte
	for _, r := range reports {
		item, err := cbor.Marshal(forwardedField{VM: string(r.VM), Report: encodeQuota(r)})
		if err != nil {
			return nil, types.WrapFault(types.CodeInternal, err, "encode a forwarded report")
		}
		last := len(datagrams) - 1
		if last < 0 || len(datagrams[last])+len(item) > maxForwardBytes {
			datagrams, last = append(datagrams, slices.Clone(start)), last+1
		}
		datagrams[last] = append(datagrams[last], item...)
	}
	return datagrams, nil
}

// decodeForwarded reads the forwarded reports of a datagram.
func decodeForwarded(data []byte) (reports []quota.Report, err error) {
	for len(data) > 0 {
		var f forwardedField
		if data, err = cbor.UnmarshalFirst(data, &f); err != nil {
			return nil, types.WrapFault(types.CodeBadRequest, err, "decode a forwarded report")
		}
		r := f.Report.report()
		r.VM, r.Forwarded = types.VM(f.VM), true
		reports = append(reports, r)
	}
	return reports, nil
}

func encodeQuota(r quota.Report) quotaField {
	f := quotaField{
		Incarnation: uint64(r.Incarnation), Leaving: r.Leaving, NextMillis: uint32(r.Next.Milliseconds()), Levels: r.Levels,
		Counters: make([]int64, 0, 4*len(r.Counters)),
	}
	for _, n := range r.Counters {
		f.Counters = append(f.Counters, int64(n.Customer), int64(n.Used), int64(n.Rejected))
		if r.Levels {
			f.Counters = append(f.Counters, n.Level)
		}
	}
	return f
}

// report returns the report of a field. Counters with numbers that no VM reports are left out.
func (f quotaField) report() quota.Report {
	r := quota.Report{
		Incarnation: types.Incarnation(f.Incarnation), Leaving: f.Leaving, Next: time.Duration(f.NextMillis) * time.Millisecond,
		Levels: f.Levels,
	}
	size := 3
	if f.Levels {
		size = 4
	}
	for n := f.Counters; len(n) >= size && len(r.Counters) < quota.MaxCounters; n = n[size:] {
		if n[0] < 0 || n[0] > math.MaxUint32 || n[1] < 0 || n[2] < 0 {
			continue
		}
		counter := quota.Counter{Customer: quota.CustomerHash(n[0]), Used: uint64(n[1]), Rejected: uint64(n[2])}
		if f.Levels {
			counter.Level = n[3]
		}
		r.Counters = append(r.Counters, counter)
	}
	return r
}

// decodeQuota reads what follows the first item of a datagram: the sender's counters, nil if it has none, and forwarded reports.
func decodeQuota(vm types.VM, data []byte) (*quota.Report, []quota.Report, error) {
	if len(data) == 0 {
		return nil, nil, nil
	}
	var f *quotaField
	rest, err := cbor.UnmarshalFirst(data, &f)
	if err != nil {
		return nil, nil, types.WrapFault(types.CodeBadRequest, err, "decode counters of customers")
	}
	forwarded, err := decodeForwarded(rest)
	if err != nil || f == nil {
		return nil, forwarded, err
	}
	r := f.report()
	r.VM = vm
	return &r, forwarded, nil
}

func encodeSamples(samples []admission.Sample) []sampleField {
	var list []sampleField
	for _, s := range samples[:min(len(samples), maxReportedSamples)] {
		list = append(list, sampleField{
			Target: string(s.Target), Micros: s.ResponseTime.Microseconds(), Slowness: float32(s.Slowness), Load: s.Load, Failed: s.Failed,
		})
	}
	return list
}

func encodeOwners(o ownerChange) ownerChangeField {
	f := ownerChangeField{Service: string(o.service), Base: uint64(o.base), Next: uint64(o.next)}
	for _, r := range o.ranges {
		f.Ranges = append(f.Ranges, ownedRangeField{
			From: r.From, To: r.To, Target: string(r.Owner.Target), Incarnation: r.Owner.Incarnation, Fence: uint64(r.Fence),
		})
	}
	return f
}

// decodeReport reads a datagram. It returns a CodeBadRequest fault for anything that is not a report. Numbers and ranges that
// no VM reports are left out.
func decodeReport(data []byte) (types.VM, report, error) {
	var d datagram
	rest, err := cbor.UnmarshalFirst(data, &d)
	if err != nil {
		return "", report{}, types.WrapFault(types.CodeBadRequest, err, "decode report")
	}
	counters, forwarded, err := decodeQuota(types.VM(d.VM), rest)
	if err != nil {
		return "", report{}, err
	}
	r := report{keys: make(map[types.Service][]keyspace.Key, len(d.Keys)), coordinatorSamples: decodeSamples(d.CoordinatorSamples), quota: counters, forwarded: forwarded}
	if d.HasLoad {
		r.load = &admission.PeerReport{
			VM: types.VM(d.VM), InFlight: make(map[types.Target]int, len(d.InFlight)), Samples: decodeSamples(d.Samples),
			Waiting: make(map[types.Target]int, len(d.Waiting)),
		}
		for t, n := range d.Waiting {
			r.load.Waiting[types.Target(t)] = n
		}
		for t, n := range d.InFlight {
			r.load.InFlight[types.Target(t)] = n
		}
		*r.load = r.load.WithinLimits()
	}
	for s, keys := range d.Keys {
		r.keys[types.Service(s)] = keys
	}
	r.moving = make(map[types.Service][]keyspace.Range, len(d.Moving))
	for s, list := range d.Moving {
		for _, m := range list {
			if m.To < m.From {
				continue
			}
			r.moving[types.Service(s)] = append(r.moving[types.Service(s)], keyspace.Range{From: m.From, To: m.To, Fence: types.Epoch(m.Fence)})
		}
	}
	for _, f := range d.Owners {
		if o := decodeOwners(f); o.plausible() {
			r.owners = append(r.owners, o)
		}
	}
	for _, g := range d.Digests {
		r.digests = append(r.digests, digest{
			prefix: g.Prefix, atRevision: types.Revision(g.AtRevision), newestRevision: types.Revision(g.NewestRevision), count: g.Count,
			age: time.Duration(max(0, g.AgeMillis)) * time.Millisecond, hash: g.Hash,
		})
	}
	return types.VM(d.VM), r, nil
}

func decodeSamples(fields []sampleField) []admission.Sample {
	var list []admission.Sample
	for _, s := range fields {
		// Beyond this number of microseconds the product overflows.
		const maxMicros = math.MaxInt64 / int64(time.Microsecond)
		micros := min(max(s.Micros, -1), maxMicros)
		list = append(list, admission.Sample{
			Target: types.Target(s.Target), ResponseTime: time.Duration(micros) * time.Microsecond,
			Slowness: float64(s.Slowness), Load: s.Load, Failed: s.Failed,
		})
	}
	return admission.SamplesWithinLimits(list)
}

// plausible reports whether a coordinator can have sent the change: its ranges hold keys, and it assigned their fences between
// the two versions, at most one for each key. A version that is too high would hide all later tables.
func (c ownerChange) plausible() bool {
	if len(c.ranges) == 0 {
		return true
	}
	if c.next < c.base || c.next-c.base > keyspace.Keys {
		return false
	}
	return !slices.ContainsFunc(c.ranges, func(r keyspace.Range) bool {
		return r.To < r.From || r.Fence < c.base || r.Fence >= c.next
	})
}

func decodeOwners(f ownerChangeField) ownerChange {
	o := ownerChange{service: types.Service(f.Service), base: types.Epoch(f.Base), next: types.Epoch(f.Next)}
	for _, r := range f.Ranges {
		o.ranges = append(o.ranges, keyspace.Range{
			From: r.From, To: r.To, Fence: types.Epoch(r.Fence),
			Owner: keyspace.Owner{Target: types.Target(r.Target), Incarnation: r.Incarnation},
		})
	}
	return o
}
