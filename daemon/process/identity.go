package process

import (
	"strconv"
	"sync/atomic"
	"time"

	"sequoiasail.example/types"
)

// writeCounter numbers the write identifiers of this process.
var writeCounter atomic.Uint64

// NewIncarnation returns the incarnation of a process that starts now. It is taken from the wall clock and so is higher
// than those of earlier processes on the same VM, provided that the clock was not set back.
func NewIncarnation() types.Incarnation { return types.Incarnation(time.Now().UnixNano()) }

// NewWriteID returns a unique identifier for a store write. It consists of the VM, the incarnation and a counter.
func NewWriteID(vm types.VM, incarnation types.Incarnation) string {
	n := writeCounter.Add(1)
	return string(vm) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-" + strconv.FormatUint(n, 36)
}
