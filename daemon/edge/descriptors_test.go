package edge

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/admission"
	"sequoiasail.example/daemon/capacity"
	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// Guards against shares that exceed the descriptors of a VM or leave none for a purpose, and against a process that starts with too
// few of them.
func TestDescriptorsAreDivided(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 20_000; n += 7 {
		d, err := divideDescriptors(n)
		if err != nil {
			is.True(n < 200)
			continue
		}
		is.Equal(d.own+d.neighbours+d.targets+d.clients, n)
		is.True(d.own >= ownDescriptors && d.neighbours >= minNeighbourDescriptors && d.targets >= minTargetDescriptors && d.clients >= minClientDescriptors)
	}
	d, err := divideDescriptors(0)
	is.NoErr(err)
	is.Equal(d, descriptorShares{})
	is.Equal(capacity.Connections(0, d.clients), 0) // without limits in the settings nothing changes
}

// Guards against a VM of the smallest size, or of the small deployment, that does not start or has few connections for callers.
func TestSmallVMsHaveConnectionsForCallers(t *testing.T) {
	is := is.New(t)
	for _, vm := range []standin.VM{{MemoryMB: 144, MaxFDs: 3075}, {MemoryMB: 284, MaxFDs: 4100}, {MaxFDs: 3075}} {
		vm.Name, vm.DataCentre, vm.IP, vm.StoreAddress = "vm-1", "north", "127.0.0.1", "127.0.0.1:1"
		vm.StopGracePeriod, vm.MaxGrantTTL, vm.RetryWindow = 1e9, 1e9, 1e9
		s, err := platform.DecodeSettings(vm.SettingsFile())
		is.NoErr(err)
		is.NoErr(checkDescriptors(s))
		d, err := divideDescriptors(s.Sockets)
		is.NoErr(err)
		is.True(capacity.Connections(s.MemoryBytes, d.clients) > 1500)
		vm.MaxFDs = 320
		s, err = platform.DecodeSettings(vm.SettingsFile())
		is.NoErr(err)
		err = checkDescriptors(s)
		is.True(err != nil && strings.Contains(err.Error(), "limits.max_fds"))
	}
}

// Guards against refused requests that leave their connections open while those of callers run short: each comes again on a new
// one. Answers of targets keep theirs.
func TestRefusalsCloseTheirConnectionsWhenTheseAreShort(t *testing.T) {
	is := is.New(t)
	for _, short := range []bool{true, false} {
		w := httptest.NewRecorder()
		a := &answerWriter{ResponseWriter: w, request: httptest.NewRequest("GET", "/", nil), short: func() bool { return short }}
		a.refuse(platform.CallerRequest{ID: "1"}, types.CodeOverloaded)
		is.Equal(w.Header().Get("Connection") == "close", short)
	}
	w := httptest.NewRecorder()
	a := &answerWriter{ResponseWriter: w, request: httptest.NewRequest("GET", "/", nil), short: func() bool { return true }}
	a.answer(&pending{}, admission.Reply{Answer: forward.Answer{Status: 200}})
	is.Equal(w.Header().Get("Connection"), "")
}
