package process

import (
	"strconv"
	"sync/atomic"
	"time"

	"sequoiasail.example/types"
)

// writeCounter makes write identifiers of one process unique.
var writeCounter atomic.Uint64

// NewIncarnation returns a number that is higher than that of earlier runs on the same VM, from the wall clock.
func NewIncarnation() types.Incarnation { return types.Incarnation(time.Now().UnixNano()) }

// NewWriteID returns an identifier that no other write carries.
func NewWriteID(vm types.VM, incarnation types.Incarnation) string {
	n := writeCounter.Add(1)
	return string(vm) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-" + strconv.FormatUint(n, 36)
}
