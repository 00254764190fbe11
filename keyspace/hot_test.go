package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sequoiasail.example/types"
)

// excess returns the share of the load that is beyond what its owners can serve. rates are the real ones.
func excess(c *Core, rates map[Key]float64, slots int, work time.Duration) float64 {
	load := make(map[types.Target]float64)
	total := 0.0
	for k, r := range rates {
		load[c.table.Ranges[c.table.Index(k)].Owner.Target] += r
		total += r
	}
	over := 0.0
	for _, r := range load {
		over += max(0, r-float64(slots)/work.Seconds())
	}
	return over / total
}

// Guards against busy keys that stay together for seconds after they have become busy. Replays a hot set of
// zcsp-brana-grown: a third of 1,500 requests a second turn to 60 neighbouring keys for 4 s, 148 targets of 4 slots. VMs
// report every 0.3 s. The version before moved halves of the busy range: 0.298 after 2 s.
func TestHotKeysAreSpreadWithinTwoSeconds(t *testing.T) {
	for seed := range uint64(8) {
		if after := spreadHotKeys(t, seed); after > 0.05 {
			t.Errorf("seed %d: %.3f of the load is beyond the owners' slots after 2 s", seed, after)
		}
	}
}

// spreadHotKeys returns the excess 2 s after keys have become busy.
func spreadHotKeys(t *testing.T, seed uint64) (after float64) {
	var names []types.Target
	for i := range 148 {
		names = append(names, types.Target(fmt.Sprintf("t%03d", i)))
	}
	c, now := ready(t, names...)
	for i, m := range c.members {
		m.Slots = 4
		c.members[i] = m
	}
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
	var waiting []Key
	next := now.Add(time.Duration(seed) * 35 * time.Millisecond)
	requests := func(at types.Instant) []Message {
		for range 75 {
			waiting = append(waiting, pick())
		}
		if at.Before(next) {
			return nil
		}
		next = at.Add(300 * time.Millisecond)
		m := []Message{Requested{Keys: waiting}}
		waiting = nil
		return m
	}
	now = run(c, now, 5*time.Second, requests)
	hot = true
	for k := range 60 {
		rates[Key(30000+k)] += 500.0 / 60
	}
	run(c, now, 2*time.Second, requests)
	after = excess(c, rates, 4, 190*time.Millisecond)
	t.Logf("seed %d: %.3f of the load is beyond the owners' slots, %d ranges", seed, after, len(c.table.Ranges))
	return after
}
