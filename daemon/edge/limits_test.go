package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/catalog"
	"sequoiasail.example/daemon/httpserver"
)

// Guards against limits of a configuration that are cut to those of the process, which are for the time before one is known.
func TestLimitsOfTheConfigurationAreInForce(t *testing.T) {
	is := is.New(t)
	f := &frontend{storeCache: newStoreCache()}
	is.Equal(f.limits(), initialHTTPLimits)
	wide := catalog.Limits{HeaderBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Hour}
	f.storeCache.published.Store(&view{table: catalog.NewRouteTable(catalog.Configuration{Limits: wide})})
	is.Equal(f.limits(), httpserver.Limits{HeaderBytes: 1 << 20, HeaderTime: time.Minute, IdleTime: time.Hour})
	f.storeCache.published.Store(&view{table: catalog.NewRouteTable(catalog.Configuration{})})
	is.Equal(f.limits(), initialHTTPLimits) // for what a configuration does not state
}
