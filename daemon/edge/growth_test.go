package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/catalog"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// testRetention is how long the addresses of these tests are kept.
const testRetention = 10 * time.Minute

// Guards against connections and addresses of ended targets that a VM keeps for ever: each release of a service leaves some, and
// a VM has few descriptors.
func TestEndedTargetsLeaveNoConnections(t *testing.T) {
	is := is.New(t)
	a := newTargetAddresses(testRetention)
	now := types.Instant(time.Hour)
	var first, last catalog.Listing
	for n := range 500 {
		last = catalog.Listing{Registration: catalog.Registration{
			Target: types.Target(fmt.Sprintf("t%d", n)), Incarnation: int64(n), Service: "maps", Address: fmt.Sprintf("127.0.0.1:%d", 1000+n),
		}}
		if n == 0 {
			first = last
		}
		a.update(now, []catalog.Listing{last})
		is.True(a.host(ownerOf(last.Registration)) != nil)
		now = now.Add(time.Minute)
	}
	is.True(a.host(ownerOf(first.Registration)) == nil)
	is.True(a.host(ownerOf(last.Registration)) != nil)
	limit := int(testRetention/time.Minute) + 2
	is.True(len(a.hosts) <= limit)
	is.True(len(a.known) <= limit)
}

// Guards against the host of an address being closed while a newer target uses the address.
func TestReusedAddressKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	a := newTargetAddresses(testRetention)
	old := catalog.Listing{Registration: catalog.Registration{Target: "t1", Incarnation: 1, Address: "127.0.0.1:1"}}
	next := catalog.Listing{Registration: catalog.Registration{Target: "t2", Incarnation: 2, Address: "127.0.0.1:1"}}
	now := types.Instant(time.Hour)
	a.update(now, []catalog.Listing{old})
	host := a.host(ownerOf(old.Registration))
	a.update(now, []catalog.Listing{next})
	a.update(now.Add(2*testRetention), []catalog.Listing{next})
	is.Equal(a.host(ownerOf(next.Registration)), host)
}

// Guards against encoded registrations of targets that went while the store's history was lost: only a complete list shows that
// they are gone.
func TestListOfTargetsDropsRegistrations(t *testing.T) {
	is := is.New(t)
	sc, _ := newTestCache(types.Instant(time.Hour))
	sc.admission, sc.coordinator = ring.New[any](2), ring.New[any](2)
	key := func(n int) string { return platform.TargetPrefix + fmt.Sprintf("t%d", n) }
	for n := range 50 {
		sc.applyTargets(t.Context(), 0, update{snapshot: true, prefix: platform.TargetPrefix, entries: []store.Entry{
			{Key: key(n), Value: []byte("{}")}, {Key: key(1000), Value: []byte("{}")},
		}})
		sc.admission.Drain(func(any) {})
		sc.coordinator.Drain(func(any) {})
	}
	is.Equal(len(sc.registrations), 2)
}
