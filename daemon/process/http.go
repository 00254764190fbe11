package process

import (
	"time"

	"sequoiasail.example/daemon/httpserver"
)

// HTTPLimits are the header size limit and the timeouts of the HTTP servers of gateways and dispatchers.
var HTTPLimits = httpserver.Limits{
	HeaderBytes: 16 << 10, HeaderTime: 2 * time.Second, ReadTime: 10 * time.Second, IdleTime: 60 * time.Second,
}
