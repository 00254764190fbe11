package measure

import (
	"fmt"
	"io"
	"time"

	"sequoiasail.example/placement"
	"sequoiasail.example/types"
)

// Sizes of the simulated service.
const (
	simulatedKeys     = 1_000_000
	simulatedExponent = 1.1 // of the Zipf distribution of key popularity
	simulatedSlots    = 1024
	// simulatedRate is the request rate of the whole service, per second.
	simulatedRate = 2000
	// hottestKeys is the number of most popular keys that change together and that should have hot-key rows.
	hottestKeys = 13
)

// Source returns a new random source that depends on the seed and n only.
type Source func(n uint64) Random

// printResult prints one result: the value of a variant, and its ratio to plannerValue, which is the value of the planner
// with hot-key rows.
func printResult(out io.Writer, measurement, variant string, value, plannerValue float64, unit string) {
	fmt.Fprintf(out, "%-34s %-22s %10.3f %-9s %6.2f x product\n", measurement, variant, value, unit, value/plannerValue)
}

// Imbalance compares the peak-to-mean ratio of the targets' loads after ten minutes of requests.
func Imbalance(out io.Writer, source Source) {
	for _, n := range []int{16, 20} {
		w := NewWorkload(simulatedKeys, simulatedExponent, source(uint64(n)))
		plannerValue := settledImbalance(w, n, false)
		name := fmt.Sprintf("imbalance targets=%d", n)
		printResult(out, name, "planner", plannerValue, plannerValue, "peak/mean")
		printResult(out, name, "no hot-key rows", settledImbalance(w, n, true), plannerValue, "peak/mean")
		printResult(out, name, "modulo", staticImbalance(w, moduloHash(simulatedSlots, targetNames(n)), n), plannerValue, "peak/mean")
		printResult(out, name, "consistent hashing", staticImbalance(w, consistentHash(simulatedSlots, targetNames(n)), n), plannerValue, "peak/mean")
		printResult(out, name, "bound of hottest key", max(1, w.Share(0)*float64(n)), plannerValue, "peak/mean")
	}
}

// settledImbalance returns the peak-to-mean load ratio of n targets after ten minutes of requests.
func settledImbalance(w *Workload, n int, withoutHotKeys bool) float64 {
	f := NewFleet(simulatedSlots, n)
	f.WithoutHotKeys = withoutHotKeys
	f.Run(10*time.Minute, simulatedRate, w)
	return f.Imbalance(w)
}

// Recovery compares the peak-to-mean load ratio while the hottest keys change every three minutes. It reports the mean of
// the ratio over 15 minutes, sampled every 10 s.
func Recovery(out io.Writer, source Source) {
	const n = 16
	plannerValue, moved := simulateRecovery(NewWorkload(simulatedKeys, simulatedExponent, source(1)), n, false)
	const name = "imbalance while hot keys change"
	printResult(out, name, "planner", plannerValue, plannerValue, "peak/mean")
	without, movedWithout := simulateRecovery(NewWorkload(simulatedKeys, simulatedExponent, source(1)), n, true)
	printResult(out, name, "no hot-key rows", without, plannerValue, "peak/mean")
	printResult(out, "keys moved while hot keys change", "planner", moved, moved, "keys")
	printResult(out, "keys moved while hot keys change", "no hot-key rows", movedWithout, moved, "keys")
	for _, b := range baselines {
		w := NewWorkload(simulatedKeys, simulatedExponent, source(1))
		sum := 0.0
		for range 5 {
			w.ChangeHottest(hottestKeys)
			sum += staticImbalance(w, b.assignment(simulatedSlots, targetNames(n)), n)
		}
		printResult(out, name, b.name, sum/5, plannerValue, "peak/mean")
	}
}

// simulateRecovery changes the hottest keys every three minutes. It returns the mean of the peak-to-mean load ratio and
// the number of keys that moved, those in moved slots included.
func simulateRecovery(w *Workload, n int, withoutHotKeys bool) (mean, movedKeys float64) {
	f := NewFleet(simulatedSlots, n)
	f.WithoutHotKeys = withoutHotKeys
	f.Run(3*time.Minute, simulatedRate, w)
	f.MovedSlots, f.MovedKeys = 0, 0
	sum, samples := 0.0, 0
	for range 5 {
		w.ChangeHottest(hottestKeys)
		for range 18 {
			f.Run(10*time.Second, simulatedRate, w)
			sum += f.Imbalance(w)
			samples++
		}
	}
	return sum / float64(samples), float64(f.MovedKeys) + float64(f.MovedSlots)*simulatedKeys/simulatedSlots
}

// baselines are the static assignments that the planner is compared with.
var baselines = []struct {
	name       string
	assignment assignment
}{{"modulo", moduloHash}, {"consistent hashing", consistentHash}}

// Churn compares the share of slots that change their owner when one target leaves, when one joins, and over an hour
// with 36 restarts.
func Churn(out io.Writer, source Source) {
	for _, n := range []int{16, 20} {
		w := NewWorkload(simulatedKeys, simulatedExponent, source(uint64(n)))
		leave, join, hour := plannerChurn(w, n)
		names := targetNames(n)
		for _, c := range []struct {
			event        string
			plannerValue float64
			static       func(assignment) float64
		}{
			{"one leaves", leave, func(a assignment) float64 { return staticChurn(a, names, names[:n-1]) }},
			{"one joins", join, func(a assignment) float64 { return staticChurn(a, names[:n-1], names) }},
			{"36 restarts in an hour", hour, func(a assignment) float64 { return staticHourlyChurn(a, names) }},
		} {
			measurement := fmt.Sprintf("churn targets=%d %s", n, c.event)
			printResult(out, measurement, "planner", 100*c.plannerValue, 100*c.plannerValue, "% slots")
			for _, b := range baselines {
				printResult(out, measurement, b.name, 100*c.static(b.assignment), 100*c.plannerValue, "% slots")
			}
		}
	}
}

// plannerChurn returns the share of slots that the planner moves when a target leaves, when it joins, and in an hour.
func plannerChurn(w *Workload, n int) (leave, join, hour float64) {
	f := NewFleet(simulatedSlots, n)
	names := targetNames(n)
	f.Run(3*time.Minute, simulatedRate, w)
	share := func() float64 { return float64(f.MovedSlots) / simulatedSlots }
	f.MovedSlots = 0
	f.SetState(names[n-1], placement.StateDraining)
	f.Run(30*time.Second, simulatedRate, w)
	leave = share()
	f.Remove(names[n-1])
	f.Run(time.Minute, simulatedRate, w)
	f.MovedSlots = 0
	f.Add(names[n-1], placement.StateCold)
	f.Run(2*time.Minute, simulatedRate, w)
	join = share()
	f.MovedSlots = 0
	for i := range 36 {
		restart(f, names[i%n], w)
	}
	return leave, join, share()
}

// restart drains a target, removes it and adds it again as cold, within 100 s.
func restart(f *Fleet, name types.Target, w *Workload) {
	f.SetState(name, placement.StateDraining)
	f.Run(10*time.Second, simulatedRate, w)
	f.Remove(name)
	f.Run(20*time.Second, simulatedRate, w)
	f.Add(name, placement.StateCold)
	f.Run(60*time.Second, simulatedRate, w)
	f.SetState(name, placement.StateActive)
	f.Run(10*time.Second, simulatedRate, w)
}

// staticChurn returns the share of slots whose owner differs between two lists of targets.
func staticChurn(a assignment, before, after []types.Target) float64 {
	n := countChangedOwners(a(simulatedSlots, before), before, a(simulatedSlots, after), after)
	return float64(n) / simulatedSlots
}

// staticHourlyChurn returns the share of slots that move in 36 restarts, each a leave and a join.
func staticHourlyChurn(a assignment, names []types.Target) float64 {
	sum := 0.0
	for i := range 36 {
		var without []types.Target
		for j, name := range names {
			if j != i%len(names) {
				without = append(without, name)
			}
		}
		sum += staticChurn(a, names, without) + staticChurn(a, without, names)
	}
	return sum
}

// HotKeys measures how long the hottest keys take to get rows of their own after they change, and how many keys the
// sketches hold in place of a counter for each key.
func HotKeys(out io.Writer, source Source) {
	w := NewWorkload(simulatedKeys, simulatedExponent, source(1))
	f := NewFleet(simulatedSlots, 16)
	f.Run(3*time.Minute, simulatedRate, w)
	worst := 0.0
	for range 5 {
		w.ChangeHottest(hottestKeys)
		worst = max(worst, awaitHotKeyRows(f, w).Seconds())
		f.Run(3*time.Minute, simulatedRate, w)
	}
	printResult(out, "hottest 13 have rows after change", "planner, worst of 5", worst, worst, "s")
	listedSlots := float64(f.ListedSlots) / float64(f.Reports)
	printResult(out, "slots listed in one report", "those that stand out", listedSlots, listedSlots, "slots")
	printResult(out, "slots listed in one report", "all of a target", simulatedSlots/16, listedSlots, "slots")
	seen := map[types.KeyHash]bool{}
	for range simulatedRate * 600 {
		seen[w.Sample()] = true
	}
	sketched := float64(16 * placement.DefaultSketchSize)
	printResult(out, "counters kept, 10 min", "sketches", sketched, sketched, "counters")
	printResult(out, "counters kept, 10 min", "one for each key", float64(len(seen)), sketched, "counters")
}

// awaitHotKeyRows runs the fleet until the hottest keys have rows, for five minutes at most, and returns the simulated
// time that this took.
func awaitHotKeyRows(f *Fleet, w *Workload) time.Duration {
	start := f.Elapsed()
	for f.Elapsed()-start < 5*time.Minute {
		f.Run(time.Second, simulatedRate, w)
		found := 0
		for _, key := range w.Hottest(hottestKeys) {
			if f.HasRow(key) {
				found++
			}
		}
		if found == hottestKeys {
			break
		}
	}
	return f.Elapsed() - start
}

// Runs compares how fragmented the table of a large service is at first and after the 36 restarts of a day: each run of
// neighbouring slots with the same owner is one entry of the stored documents.
func Runs(out io.Writer, _ Source) {
	const slots, n = 16384, 430
	f := NewFleet(slots, n)
	runIdle(f, 5*time.Second)
	first := float64(f.Runs())
	name := fmt.Sprintf("runs slots=%d targets=%d", slots, n)
	printResult(out, name, "planner, at first", first, first, "runs")
	for i := range 36 {
		t := targetNames(n)[i]
		f.SetState(t, placement.StateDraining)
		runIdle(f, 10*time.Second)
		f.Remove(t)
		runIdle(f, 10*time.Second)
		f.Add(t, placement.StateCold)
		runIdle(f, 80*time.Second)
	}
	day := float64(f.Runs())
	printResult(out, name, "planner, after a day", day, first, "runs")
	owner := consistentHash(slots, targetNames(n))
	runs := 1.0
	for s := 1; s < slots; s++ {
		if owner[s] != owner[s-1] {
			runs++
		}
	}
	printResult(out, name, "consistent hashing", runs, first, "runs")
}

// runIdle advances the fleet without requests.
func runIdle(f *Fleet, d time.Duration) {
	for end := f.Elapsed() + d; f.Elapsed() < end; {
		f.Second()
	}
}
