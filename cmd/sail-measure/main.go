// Command sail-measure compares placement and quotas with baseline algorithms in a simulated fleet and prints one line for each
// measured figure.
package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"sequoiasail.example/placement/measure"
	quotas "sequoiasail.example/quota/measure"
)

// exitUsage is the exit code for a wrong command line.
const exitUsage = 2

// measurements maps each argument to the function that runs the measurement.
var measurements = map[string]func(io.Writer, measure.Source){
	"imbalance": measure.Imbalance,
	"recovery":  measure.Recovery,
	"churn":     measure.Churn,
	"hot-keys":  measure.HotKeys,
	"runs":      measure.Runs,
	"quota":     compareQuotas,
}

// compareQuotas adapts the source of the placement measurements to that of the quotas.
func compareQuotas(out io.Writer, source measure.Source) {
	quotas.Compare(out, func(n uint64) quotas.Random { return source(n) })
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random source")
	flag.Parse()
	run := measurements[flag.Arg(0)]
	if run == nil || flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: sail-measure [-seed N] imbalance|recovery|churn|hot-keys|runs|quota")
		os.Exit(exitUsage)
	}
	run(os.Stdout, func(n uint64) measure.Random { return rand.NewPCG(*seed, n) })
}
