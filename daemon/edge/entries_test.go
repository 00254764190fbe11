package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// oddDatagrams are datagrams that no VM of the fleet sends.
func oddDatagrams(t testing.TB) map[string][]byte {
	encode := func(d datagram) []byte {
		data, err := cbor.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	sample := func(s sampleField) datagram {
		s.Target = "i-1"
		return datagram{VM: "vm-2", HasLoad: true, Samples: []sampleField{s}, CoordinatorSamples: []sampleField{s}}
	}
	odd := map[string][]byte{
		"infinite slowness": encode(sample(sampleField{Slowness: float32(math.Inf(1))})),
		"no number":         encode(sample(sampleField{Slowness: float32(math.NaN())})),
		"huge time":         encode(sample(sampleField{Micros: math.MaxInt64})),
		"time that wraps":   encode(sample(sampleField{Micros: math.MaxInt64/1000 + 1})),
		"negative time":     encode(sample(sampleField{Micros: math.MinInt64})),
		"huge load":         encode(sample(sampleField{Load: math.MaxInt})),
		"huge counts": encode(datagram{
			VM: "vm-2", HasLoad: true, InFlight: map[string]int{"i-1": math.MaxInt}, Waiting: map[string]int{"i-1": math.MinInt},
		}),
		"range that ends before it starts": encode(datagram{VM: "vm-2", Moving: map[string][]movingField{"maps": {{From: 9, To: 3, Fence: 1}}}}),
		"owners that end before they start": encode(datagram{VM: "vm-2", Owners: []ownerChangeField{
			{Service: "maps", Base: 1, Next: math.MaxUint64, Ranges: []ownedRangeField{{From: 9, To: 3, Target: "i-1", Fence: 1}}},
		}}),
		"huge array":        {0x8a, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge text":         {0x8a, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite length": {0x9f, 0x7f, 0x61, 'v', 0xff, 0xff},
		"empty":             {},
	}
	deep := make([]byte, maxDatagram)
	for i := range deep {
		deep[i] = 0x81
	}
	odd["deeply nested"] = deep
	return odd
}

// reportIsPlausible reports whether the numbers of a report are such as a VM can measure.
func reportIsPlausible(r report) bool {
	samples := r.coordinatorSamples
	if r.load != nil {
		samples = append(samples, r.load.Samples...)
		for _, n := range r.load.InFlight {
			if n < 0 || n > 1_000_000 {
				return false
			}
		}
		for _, n := range r.load.Waiting {
			if n < 0 || n > 1_000_000 {
				return false
			}
		}
	}
	for _, s := range samples {
		if math.IsNaN(s.Slowness) || s.Slowness < 0 || s.Slowness > 1000 || s.Load < -1 || s.Load > 1_000_000 || s.ResponseTime < 0 || s.ResponseTime.Minutes() > 10 {
			return false
		}
	}
	for _, ranges := range r.moving {
		for _, m := range ranges {
			if m.To < m.From {
				return false
			}
		}
	}
	for _, o := range r.owners {
		for _, m := range o.ranges {
			if m.To < m.From || m.Fence >= o.next || m.Fence < o.base {
				return false
			}
		}
	}
	return true
}

// Guards against numbers in a report that no VM measures: they spoiled the coordinator's averages for good (an infinite or
// undefined slowness) and the choice of targets.
func TestOddReportsHaveNoEffect(t *testing.T) {
	for name, data := range oddDatagrams(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, r, err := decodeReport(data)
			if err != nil {
				is.Equal(types.CodeOf(err), types.CodeBadRequest)
				return
			}
			is.True(reportIsPlausible(r))
		})
	}
}

// goodRegistration returns the store entry of a target of the service maps.
func goodRegistration(t types.Target, revision types.Revision) store.Entry {
	settings := standin.TargetSettings{Target: t, Incarnation: 1, Service: "maps", DataCentre: "north", Slots: 4}
	key, value := standin.Registration(settings, "127.0.0.9:80", false, 0)
	return store.Entry{Key: key, Value: value, Revision: revision}
}

// newRegistryCache returns the store cache of a VM whose rings take all messages.
func newRegistryCache(now types.Instant) *storeCache {
	sc, _ := newTestCache(now)
	sc.admission, sc.coordinator = ring.New[any](64), ring.New[any](64)
	sc.memberships = ring.New[membership](1)
	sc.watchState.storeAnsweredAt = now
	return sc
}

// Guards against requests to a target whose registration was good and then became unreadable, within the time for which
// missing registrations are kept after a store outage.
func TestRegistrationThatBecomesOddIsNotUsed(t *testing.T) {
	odd := store.Entry{Key: "servers/i-1", Value: []byte("\x00"), Revision: 9}
	for name, u := range map[string]update{
		"event":    {prefix: "servers/", events: []store.Event{{Entry: odd}}},
		"snapshot": {prefix: "servers/", snapshot: true, revision: 9, entries: []store.Entry{odd}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := telemetry.Now()
			sc := newRegistryCache(now)
			sc.apply(t.Context(), update{prefix: "servers/", snapshot: true, revision: 6, entries: []store.Entry{goodRegistration("i-1", 6)}})
			is.Equal(len(sc.registry.List()), 1)
			is.True(sc.registry.StoreAnswered(sc.now().Add(time.Minute)) > 0)
			sc.apply(t.Context(), u)
			is.Equal(len(sc.registry.List()), 0)
		})
	}
}

// Guards against a target that stays unused because its registration is written again unchanged after a list without it.
func TestUnchangedRegistrationReturns(t *testing.T) {
	is := is.New(t)
	sc := newRegistryCache(telemetry.Now())
	sc.apply(t.Context(), update{prefix: "servers/", snapshot: true, revision: 6, entries: []store.Entry{goodRegistration("i-1", 6)}})
	sc.apply(t.Context(), update{prefix: "servers/", snapshot: true, revision: 7})
	is.Equal(len(sc.registry.List()), 0)
	sc.apply(t.Context(), update{prefix: "servers/", events: []store.Event{{Entry: goodRegistration("i-1", 8)}}})
	is.Equal(len(sc.registry.List()), 1)
}

// oddVMEntries are entries at sail/vm/vm-2 that name no VM to talk to.
func oddVMEntries() map[string]string {
	const good = `{"vm":"vm-2","incarnation":5,"dataCentre":"north","cores":1,"peerAddress":"127.0.0.2:7540","mirrorAddress":"127.0.0.2:8544"}`
	with := func(old, changed string) string { return strings.Replace(good, old, changed, 1) }
	return map[string]string{
		"empty":                   ``,
		"null":                    `null`,
		"deeply nested":           strings.Repeat("[", 1_000_000),
		"no VM":                   with(`"vm-2"`, `""`),
		"another VM":              with(`"vm-2"`, `"vm-3"`),
		"VM of 1 MB":              with(`"vm-2"`, `"`+strings.Repeat("v", 1<<20)+`"`),
		"huge cores":              with(`"cores":1`, `"cores":1e300`),
		"negative cores":          with(`"cores":1`, `"cores":-1`),
		"cores above 64 bits":     with(`"cores":1`, `"cores":1e999`),
		"number of 1 MB":          with(`"incarnation":5`, `"incarnation":`+strings.Repeat("9", 1<<20)),
		"peer address by name":    with(`127.0.0.2:7540`, `vm-2.example:7540`),
		"peer port 0":             with(`:7540`, `:0`),
		"mirror port 65536":       with(`:8544`, `:65536`),
		"empty mirror address":    with(`127.0.0.2:8544`, ``),
		"unspecified address":     with(`127.0.0.2:8544`, `0.0.0.0:8544`),
		"no data centre":          with(`"north"`, `""`),
		"data centre of 1 MB":     with(`"north"`, `"`+strings.Repeat("n", 1<<20)+`"`),
		"negative incarnation":    with(`"incarnation":5`, `"incarnation":-5`),
		"field of another type":   with(`"incarnation":5`, `"incarnation":"5"`),
		"null in place of the VM": with(`"vm-2"`, `null`),
	}
}

// Guards against a VM entry of another writer that is used: an address by name made the sender of reports wait for its
// resolution, an entry at another key replaced the addresses of a good VM, and one that had been good stayed in use.
func TestOddVMEntriesNameNoVM(t *testing.T) {
	for name, value := range oddVMEntries() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sc := newRegistryCache(telemetry.Now())
			sc.vms["vm-3"] = vmEntry{VM: "vm-3", DataCentre: "north", MirrorAddress: "127.0.0.3:8544"}
			sc.apply(t.Context(), update{prefix: "sail/", events: []store.Event{{Entry: store.Entry{Key: "sail/vm/vm-2", Value: []byte(value), Revision: 9}}}})
			is.Equal(sc.vmNames(), []types.VM{"vm-1", "vm-3"})
			is.Equal(sc.vms["vm-3"].MirrorAddress, "127.0.0.3:8544")
			sc.apply(t.Context(), update{prefix: "sail/", events: []store.Event{{Entry: store.Entry{Key: "sail/vm/" + strings.Repeat("\n", 3), Value: []byte(value), Revision: 10}}}})
			is.Equal(sc.vmNames(), []types.VM{"vm-1", "vm-3"})
		})
	}
}

// oddCoordinatorEntries are values of the coordinator entry that name nobody.
func oddCoordinatorEntries() map[string]string {
	return map[string]string{
		"empty":                 ``,
		"null":                  `null`,
		"empty object":          `{}`,
		"no VM":                 `{"vm":"","incarnation":3}`,
		"null VM":               `{"vm":null,"incarnation":3}`,
		"VM with a line break":  `{"vm":"a\nb","incarnation":3}`,
		"VM of 1 MB":            `{"vm":"` + strings.Repeat("v", 1<<19) + `"}`,
		"incarnation too large": `{"vm":"vm-2","incarnation":99999999999999999999}`,
		"deeply nested":         strings.Repeat(`{"vm":`, 100_000),
		"bytes":                 "\x00\xff",
	}
}

// Guards against a fleet without a coordinator, whose keys have no owner: an entry that names nobody held the role, or kept
// every VM from writing its own.
func TestOddCoordinatorEntryIsReplaced(t *testing.T) {
	for name, value := range oddCoordinatorEntries() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			group, backendStore := duty.NewGroup(), backend.New(backend.DefaultHistory)
			group.Add(backendStore.Duty())
			is.NoErr(group.Start(ctx))
			defer func() { is.NoErr(group.Abort(context.Background())) }()
			client := backendStore.Client("vm-1")
			is.NoErr(standin.Replace(ctx, client, store.Write{Key: coordinatorKey, Value: []byte(value)}))
			odd, err := client.Get(ctx, coordinatorKey)
			is.NoErr(err)
			sc := newRegistryCache(telemetry.Now())
			sc.apply(ctx, update{prefix: "sail/", snapshot: true, revision: odd.Revision, entries: []store.Entry{odd}})
			state, ok := sc.session.TryGet()
			is.True(ok)
			s := newCandidate(client, sc)
			s.updateState(ctx, state)
			is.True(s.mayCampaign())
			began := telemetry.Now()
			s.campaign(ctx)
			is.True(s.elected)
			// The odd entry may have replaced that of a coordinator, which may still act.
			is.True(!firstMove(t, s).Before(began.Add(roleTTL - clockMargin)))
		})
	}
}

// Guards against an odd entry that the operator doesn't see, that is logged again with each change of another entry, or that
// fills the log with its content.
func TestOddEntryIsLoggedOncePerChange(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	sc := newRegistryCache(telemetry.Now())
	sc.log = telemetry.NewLog(&output, nil)
	sc.invalid = newInvalidEntries(sc.log, telemetry.NewMetrics())
	huge := strings.Repeat("9", 200_000)
	odd := []store.Entry{
		{Key: "servers/i-1", Value: []byte(`{"slots":` + huge + `}`), Revision: 3},
		{Key: "servers/i\n2", Value: goodRegistration("i-2", 4).Value, Revision: 4},
		{Key: "sail/vm/vm-2", Value: []byte(`{"incarnation":` + huge + `}`), Revision: 5},
		{Key: "sail/vm/" + strings.Repeat("v", 100_000), Value: []byte(`{}`), Revision: 6},
		{Key: "sail/keeper", Value: []byte(`{"vm":` + huge + `}`), Revision: 7},
		{Key: "op/config", Value: []byte(`{"version":"` + huge + `"}`), Revision: 8},
	}
	revision := types.Revision(20)
	for round := range 3 {
		for _, prefix := range watchedPrefixes {
			revision++
			u := update{prefix: prefix, snapshot: true, revision: revision}
			for _, e := range odd {
				if strings.HasPrefix(e.Key, prefix) {
					u.entries = append(u.entries, e)
				}
			}
			u.entries = append(u.entries, store.Entry{Key: prefix + "other", Revision: types.Revision(10 + round)})
			sc.apply(t.Context(), u)
		}
	}
	odd[0].Revision, odd[0].Value = 30, []byte(`{}`)
	sc.apply(t.Context(), update{prefix: "servers/", events: []store.Event{{Entry: odd[0]}}})
	is.NoErr(sc.log.Duty().Stop(t.Context()))
	is.NoErr(sc.log.Duty().Run(t.Context()))
	lines := strings.Split(output.String(), "\n")
	ignored := 0
	for _, line := range lines {
		is.True(len(line) < 1000)
		if strings.Contains(line, "ignored") && !strings.Contains(line, `other"`) {
			ignored++
		}
	}
	is.Equal(ignored, len(odd)+1)
	count := func(entry string) int { return int(sc.invalid.counters[entry].Get()) }
	is.Equal(count(vmKind), 2)
	is.Equal(count(coordinatorKind), 1)
	is.Equal(count(configurationKind), 1)
	is.Equal(count(registrationKind), 4) // one of them is the other entry, whose fault stays the same
	sc.apply(t.Context(), update{prefix: "servers/", events: []store.Event{{Entry: store.Entry{Key: "servers/i-1", Revision: 31}, Deleted: true}}})
	sc.apply(t.Context(), update{prefix: "servers/", events: []store.Event{{Entry: store.Entry{Key: "servers/i-1", Revision: 32, Value: odd[0].Value}}}})
	is.Equal(count(registrationKind), 5) // written again
	sc.apply(t.Context(), update{prefix: "servers/", snapshot: true, revision: 99})
	for key := range sc.invalid.faults {
		is.True(!strings.HasPrefix(key, "servers/")) // the faults of entries that are gone are forgotten
	}
}

// Guards against a watch that never gets past the list of its prefix, because the list has more pages than can be read within
// a time limit for all of them.
func TestListOfManyPagesIsFollowed(t *testing.T) {
	is := is.New(t)
	const pages, pageTime = 12, 200 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/kv-range" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(pageTime)
		page, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("after"), "servers/"))
		page++
		fmt.Fprintf(w, `{"items":[{"key":"servers/%02d","value":"","revision":3}],"more_pages":%t,"current_rev":6}`, page, page < pages)
	}))
	defer server.Close()
	out := ring.New[any](1)
	w := &watch{
		prefix: "servers/", store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), out: out,
		log: telemetry.NewLog(io.Discard, nil), jitter: jitter,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*pages*pageTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.perform(ctx, 1)
	}()
	for m, err := out.Get(ctx); ; m, err = out.Get(ctx) {
		is.NoErr(err) // the list was not read in time
		if u := m.(update); u.snapshot {
			is.Equal(len(u.entries), pages)
			break
		}
	}
	cancel()
	<-done
}

// Guards against memory of the coordinator duty that grows with each start of a target ever seen: another writer can announce a
// start with each change.
func TestAddressesOfFormerTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := &coordinator{
		batches:       ring.New[callBatch](1),
		keyedServices: make(map[types.Service]*keyedService), settings: keyspace.Defaults(10 * time.Second),
	}
	c.addresses = newTargetAddresses(addressRetention(c.settings))
	now := types.Instant(time.Hour)
	for n := range int64(1000) {
		listed := catalog.Listing{Registration: catalog.Registration{Target: "i-1", Incarnation: n, Address: fmt.Sprintf("127.0.0.1:%d", n+1)}}
		c.setTargets(t.Context(), now, targetList{targets: []catalog.Listing{listed}})
		c.queueBatch(t.Context(), "maps", keyspace.CallBatch{Owner: ownerOf(listed.Registration)})
		c.batches.Drain(func(callBatch) {})
		now = now.Add(time.Second)
	}
	kept := int(2*c.settings.LongGrantTTL/time.Second) + 2
	is.True(len(c.addresses.known) <= kept)
	is.True(len(c.addresses.hosts) <= kept)
	// A target that has just left may still hold keys, which are released at its address.
	c.setTargets(t.Context(), now, targetList{})
	is.True(c.addresses.host(keyspace.Owner{Target: "i-1", Incarnation: 999}) != nil)
}
