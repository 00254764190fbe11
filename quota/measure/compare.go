package measure

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"sequoiasail.example/quota"
	"sequoiasail.example/types"
)

const (
	customerCount, largeCount = 77, 4
	requestsPerVM             = 33
	// warmUp is when bursts begin, simulated the length of a run.
	warmUp, simulated = 8 * time.Second, 18 * time.Second
	burstTime         = 6 * time.Second
)

// Customers returns the customers of a fleet of n VMs: a few large ones with half of the requests or more, most at ten requests a
// second. Some of both send a burst, some arrive at two or three VMs only.
func Customers(n int) []*Customer {
	total := requestsPerVM * float64(n)
	small := min(10, 0.32*total/(customerCount-largeCount))
	large := (total - small*(customerCount-largeCount)) / largeCount
	list := make([]*Customer, customerCount)
	for i := range list {
		usual := small
		if i < largeCount {
			usual = large
		}
		rate := usual / usualLoad
		c := &Customer{Name: types.Customer("c" + strconv.Itoa(i)), Limit: quota.Limit{Rate: rate, Burst: rate}, Usual: usual}
		if i%2 == 1 {
			c.VMs = 2 + i%3/2
		}
		if i < 2 || (i >= largeCount && i < largeCount+8) {
			c.BurstFrom, c.BurstTo = warmUp, warmUp+burstTime
		}
		list[i] = c
	}
	return list
}

// Compare prints for each size of fleet and each design: the largest number of requests of a customer within a window, relative to
// its limit and to the platform's bound; the requests served of those within the limits, of all customers and of the worst; and
// the bytes that a VM sends. The same load runs without a failure and with a third of the VMs cut off during the bursts.
func Compare(out io.Writer, source Source) {
	designs := []struct {
		name  string
		start func(*Sim, int)
	}{
		{"counters (product)", (*Sim).StartGossip},
		{"equal shares, loans", (*Sim).StartEqualShares},
		{"coordinator", (*Sim).StartAssignedShares},
	}
	for _, n := range []int{9, 86, 430} {
		dataCentres := 3
		if n > 200 {
			dataCentres = 6
		}
		for _, cut := range []bool{false, true} {
			for _, d := range designs {
				s := NewSim(dataCentres, Customers(n), source)
				if cut {
					s.Cut = func(now time.Duration, a, b int) bool { return now >= warmUp && (a%3 == 0) != (b%3 == 0) }
				}
				d.start(s, n)
				s.Run(simulated)
				s.print(out, fmt.Sprintf("quota vms=%d cut=%v", n, cut), d.name)
			}
		}
	}
}

func (s *Sim) print(out io.Writer, measurement, design string) {
	var overLimit, overBound float64
	served, within, worst := 0, 0, 1.0
	for _, c := range s.Customers {
		most := float64(c.WorstWindow(warmUp))
		overLimit = max(overLimit, most/Nominal(c.Limit))
		overBound = max(overBound, most/Bound(c.Limit))
		_, admitted, ideal := c.Counts(warmUp, simulated)
		served += min(admitted, ideal)
		within += ideal
		worst = min(worst, float64(admitted)/float64(max(ideal, 1)))
	}
	fmt.Fprintf(out, "%-24s %-20s worst window %5.2f x limit %5.2f x bound, served %5.1f%% worst customer %5.1f%%, %7.1f KB/s, most %7.1f, between data centres %6.1f\n",
		measurement, design, overLimit, overBound, 100*float64(served)/float64(max(within, 1)), 100*worst, s.BytesPerVM()/1000,
		s.MostBytes()/1000, s.BetweenPerVM()/1000)
}
