package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var size = Size{VMs: 6, Targets: 12, Length: time.Minute, Gap: 200 * time.Millisecond}

// Guards against a seed that can't be played again.
func TestSeedGivesTheSameFaults(t *testing.T) {
	is := is.New(t)
	is.Equal(Draw(7, size), Draw(7, size))
}

// Guards against a kind of fault that is never drawn.
func TestAllKindsAreDrawn(t *testing.T) {
	is := is.New(t)
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		for _, f := range Draw(seed, size) {
			seen[f.Kind] = true
		}
	}
	is.Equal(len(seen), len(shapes))
}
