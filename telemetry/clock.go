package telemetry

import (
	"golang.org/x/sys/unix"

	"sequoiasail.example/types"
)

// Now reads the boot-time clock. Unlike the monotonic clock, it includes the time during which the VM is suspended.
func Now() types.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every supported kernel. Without it, no lease could be held safely.
		panic(types.WrapFault(types.CodeInternal, err, "read boot-time clock"))
	}
	return types.Instant(ts.Nano())
}
