package quota

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// RefreshInterval is how often a VM sends a part of all counters to all VMs, RefreshParts the number of parts. This report
	// also tells that the VM runs. A counter that was in a lost datagram is known after RefreshParts intervals, or with the next
	// request.
	RefreshInterval = time.Second
	RefreshParts    = 12
	// MaxCounters is the largest number of counters in a report. A counter takes up to 26 bytes, usually 11.
	MaxCounters = 45

	// calmFactor multiplies the interval of reports to other data centres while no customer comes near its limit.
	calmFactor = 2

	farReportInterval = 150 * time.Millisecond
	fullRateFarVMs    = 70
	refreshFullVMs    = 200
	// maxReportWait is returned by NextReport when there is nothing to report.
	maxReportWait = time.Hour
)

// FarInterval returns the time between two reports to the VMs of other data centres. It grows with the number of VMs, so that the
// work of a receiver doesn't.
func FarInterval(vms int) time.Duration {
	return farReportInterval * time.Duration(max(vms, fullRateFarVMs)) / fullRateFarVMs
}

// RefreshEvery returns the time between two parts of the complete report.
func RefreshEvery(vms int) time.Duration {
	return RefreshInterval * time.Duration(max(1, vms/refreshFullVMs))
}

// SetLeaving makes all further reports announce that the VM stops.
func (c *Core) SetLeaving() { c.leaving = true }

// NextReport returns the time until Report is due, which is 0 or less when it is. It returns maxReportWait if nothing
// has changed, or if there is no VM in another data centre.
func (c *Core) NextReport(now types.Instant) time.Duration {
	interval := max(c.fleet.FarInterval, farReportInterval)
	switch {
	case c.far == 0:
		return maxReportWait
	case c.urgent || c.promised:
	case c.changed():
		interval *= calmFactor
	default:
		return maxReportWait
	}
	return c.reportedAt.Add(interval).Sub(now)
}

// NextRefresh returns the time until Refresh is due.
func (c *Core) NextRefresh(now types.Instant) time.Duration {
	return c.refreshedAt.Add(RefreshEvery(c.size())).Sub(now)
}

func (c *Core) changed() bool {
	for _, b := range c.buckets {
		if b.changed && b.limited {
			return true
		}
	}
	return false
}

// Report returns the counters that have changed since its last call, for the VMs of other data centres. Counters beyond
// MaxCounters are left for the next one. While a customer is near its limit, it promises the next report.
func (c *Core) Report(now types.Instant) Report {
	c.sweep(now)
	c.reportedAt = now
	r := c.emptyReport()
	if c.urgent {
		r.Next = c.fleet.FarInterval
	}
	c.urgent, c.promised = false, c.urgent
	for _, b := range c.buckets {
		if b.changed && b.limited && len(r.Counters) < MaxCounters {
			b.changed, b.unreported = false, 0
			r.Counters = append(r.Counters, b.counter())
		}
	}
	return r
}

// Refresh returns the next part of all counters, with the levels if they are known. It has no counters when no request has come.
func (c *Core) Refresh(now types.Instant) []Report {
	c.sweep(now)
	c.refreshedAt = now
	r := c.emptyReport()
	r.Levels = true
	if c.promised {
		r.Next = c.fleet.FarInterval
	}
	var reports []Report
	for i := c.refreshPart; i < len(c.buckets); i += RefreshParts {
		b := c.buckets[i]
		b.refill(now, c.share(b, now))
		if !b.limited || !b.settled {
			continue
		}
		n := b.counter()
		n.Level = int64(b.level / max(1-b.frozen, idleShare))
		r.Counters = append(r.Counters, n)
		if len(r.Counters) == MaxCounters {
			reports = append(reports, r)
			r.Counters = nil
		}
	}
	c.refreshPart = (c.refreshPart + 1) % RefreshParts
	if len(r.Counters) > 0 || len(reports) == 0 {
		reports = append(reports, r)
	}
	return reports
}

func (c *Core) emptyReport() Report {
	return Report{VM: c.settings.VM, Incarnation: c.settings.Incarnation, Leaving: c.leaving}
}

func (b *bucket) counter() Counter {
	return Counter{Customer: b.hash, Used: b.used, Rejected: b.rejected}
}
