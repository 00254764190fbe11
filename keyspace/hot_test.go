package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sequoiasail.example/types"
)

// excess returns the share of the load that exceeds the capacity of the owners of its keys. rates holds the true
// request rates.
func excess(c *Core, rates map[Key]float64, slots int, serviceTime time.Duration) float64 {
	load := make(map[types.Target]float64)
	total := 0.0
	for k, r := range rates {
		load[c.table.Ranges[c.table.Index(k)].Owner.Target] += r
		total += r
	}
	exceeding := 0.0
	for _, r := range load {
		exceeding += max(0, r-float64(slots)/serviceTime.Seconds())
	}
	return exceeding / total
}

// readyFleet is readyCore for a number of targets with 4 slots each.
func readyFleet(t *testing.T, targets int) (*Core, types.Instant) {
	t.Helper()
	var names []types.Target
	for i := range targets {
		names = append(names, types.Target(fmt.Sprintf("t%03d", i)))
	}
	c, now := readyCore(t, names...)
	for i, m := range c.members {
		m.Slots = 4
		c.members[i] = m
	}
	return c, now
}

// Fails if neighbouring hot keys stay with the same owners for seconds after their load has risen. Reproduces hot keys
// of the test run zcsp-brana-grown: for 4 s, a third of 1,500 requests a second go to 60 neighbouring keys, with 148
// targets of 4 slots, and VMs report their requests every 0.3 s. An earlier version moved halves of the busy range and
// left an excess of 0.298 after 2 s.
func TestHotKeysAreSpreadWithinTwoSeconds(t *testing.T) {
	for seed := range uint64(8) {
		if after := excessAfterHotKeys(t, seed); after > 0.05 {
			t.Errorf("seed %d: %.3f of the load is beyond the owners' slots after 2 s", seed, after)
		}
	}
}

// excessAfterHotKeys simulates hot keys and returns the excess 2 s after their load has risen.
func excessAfterHotKeys(t *testing.T, seed uint64) (after float64) {
	c, now := readyFleet(t, 148)
	r := rand.New(rand.NewPCG(seed, 1))
	rates := make(map[Key]float64)
	var usual []Key
	for range 4000 {
		k := Key(r.IntN(Keys))
		usual = append(usual, k)
		rates[k] += 1000.0 / 4000
	}
	hot := false
	pick := func() Key {
		if hot && r.IntN(3) == 0 {
			return Key(30000 + r.IntN(60))
		}
		return usual[r.IntN(len(usual))]
	}
	var unreported []Key
	next := now.Add(time.Duration(seed) * 35 * time.Millisecond)
	requests := func(at types.Instant) []Message {
		for range 75 {
			unreported = append(unreported, pick())
		}
		if at.Before(next) {
			return nil
		}
		next = at.Add(300 * time.Millisecond)
		m := []Message{KeysRequested{Keys: unreported}}
		unreported = nil
		return m
	}
	now = runCore(c, now, 5*time.Second, requests)
	hot = true
	for k := range 60 {
		rates[Key(30000+k)] += 500.0 / 60
	}
	runCore(c, now, 2*time.Second, requests)
	after = excess(c, rates, 4, 190*time.Millisecond)
	t.Logf("seed %d: %.3f of the load is beyond the owners' slots, %d ranges", seed, after, len(c.table.Ranges))
	return after
}
