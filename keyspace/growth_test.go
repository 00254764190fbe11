package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// Guards against the measured speeds of ended targets that a VM keeps for ever.
func TestEndedTargetsLeaveNoSpeeds(t *testing.T) {
	is := is.New(t)
	c := New("vm-1", "/health", Defaults(10*time.Second))
	now := types.Instant(time.Hour)
	for n := range 200 {
		name := types.Target(fmt.Sprintf("t%d", n))
		c.Step(now, Members{Members: []Member{{Owner: Owner{Target: name, Incarnation: 1}, Slots: 2, Usable: true}}})
		c.Step(now, SpeedSample{Target: name, Slowness: 1, ResponseTime: time.Second})
	}
	is.Equal(len(c.speeds), 1)
}
