package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// unmergedBackoff is the rejected alternative to backoff: each broken connection and each failed attempt doubles the
// delay.
type unmergedBackoff struct{ backoff }

func (b *unmergedBackoff) fail(now types.Instant, random Random) {
	b.failures++
	b.until = max(b.until, now.Add(jittered(reconnectBase, reconnectMax, b.failures, random)))
}

// reconnectPolicy decides when to connect again after failures.
type reconnectPolicy interface {
	fail(now types.Instant, random Random)
	end() types.Instant
}

func (b *backoff) end() types.Instant { return b.until }

const (
	reconnectSeeds = 500
	// breakSpread is the time within which all connections of a crashed target break.
	breakSpread  = 50 * time.Millisecond
	connectDelay = time.Millisecond
)

// reconnect simulates a target that is down for outage and all of whose connections break. It returns the number of
// connection attempts until one succeeds, and the time from the target's return until then.
func reconnect(p reconnectPolicy, seed uint64, connections int, outage time.Duration) (int, time.Duration) {
	random := rand.NewPCG(seed, 0)
	breaks := make([]types.Instant, connections)
	for n := range breaks {
		breaks[n] = start.Add(time.Duration(random.Uint64() % uint64(breakSpread)))
	}
	up := start.Add(outage)
	now := start
	for attempts := 0; ; {
		next := len(breaks)
		for n, at := range breaks {
			if next == len(breaks) || at < breaks[next] {
				next = n
			}
		}
		if next < len(breaks) && (breaks[next] <= p.end() || attempts == 0 && p.end() == 0) {
			now = max(now, breaks[next])
			breaks = append(breaks[:next], breaks[next+1:]...)
			p.fail(now, random)
			continue
		}
		now = max(now, p.end()).Add(connectDelay)
		attempts++
		if now >= up {
			return attempts, now.Sub(up)
		}
		p.fail(now, random)
	}
}

// Guards against a reconnect delay that depends on how many connections broke at once. It also measures the alternative,
// unmergedBackoff, for comparison.
func TestReconnectAfterManyConnectionsBreak(t *testing.T) {
	is := is.New(t)
	for _, connections := range []int{4, 45, 110} {
		for _, outage := range []time.Duration{100, 300, 1000, 3000} {
			outage *= time.Millisecond
			var attempts [2]int
			var wait [2]time.Duration
			for seed := range uint64(reconnectSeeds) {
				for n, p := range []reconnectPolicy{&backoff{}, &unmergedBackoff{}} {
					a, w := reconnect(p, seed, connections, outage)
					attempts[n] += a
					wait[n] += w
				}
			}
			t.Logf("%3d connections, outage %4d ms: merged %4.1f attempts, back after %5.1f ms; per failure %4.1f attempts, back after %5.1f ms",
				connections, outage.Milliseconds(),
				float64(attempts[0])/reconnectSeeds, wait[0].Seconds()*1000/reconnectSeeds,
				float64(attempts[1])/reconnectSeeds, wait[1].Seconds()*1000/reconnectSeeds)
			is.True(wait[0] <= time.Duration(reconnectSeeds)*reconnectMax)
			if connections == 110 && outage <= 300*time.Millisecond {
				is.True(wait[0] < wait[1])
			}
		}
	}
}
