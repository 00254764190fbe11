package edge

import (
	"cmp"
	"time"

	"sequoiasail.example/daemon/capacity"
	"sequoiasail.example/daemon/httpserver"
	"sequoiasail.example/platform"
)

// initialHTTPLimits are the limits of requests before a configuration is known, and for what it does not state.
var initialHTTPLimits = httpserver.Limits{HeaderBytes: 64 << 10, HeaderTime: 10 * time.Second, IdleTime: 60 * time.Second}

// largestBody is the memory of a body of the largest size.
const largestBody = platform.MaxBodyBytes + 2*httpserver.MaxSegmentBytes

// bodyMemory returns how many bytes the bodies of all requests and answers may have, on a VM with the given memory.
func bodyMemory(memoryBytes int64) int64 { return capacity.BodyMemory(memoryBytes, largestBody) }

// limits returns the limits of callers' requests: those of the configuration in force, and initialHTTPLimits for what it does not
// state.
func (f *frontend) limits() httpserver.Limits {
	l := initialHTTPLimits
	if table := f.storeCache.published.Load().table; table != nil {
		c := table.Limits()
		l.HeaderBytes = cmp.Or(c.HeaderBytes, l.HeaderBytes)
		l.HeaderTime = cmp.Or(c.HeaderTimeout, l.HeaderTime)
		l.IdleTime = cmp.Or(c.IdleTimeout, l.IdleTime)
	}
	return l
}
