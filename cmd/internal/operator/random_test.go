package operator_test

import (
	"context"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// unreliable loses writes, loses answers, and delivers writes late, in an order given by a seed. It is used by one
// operator at a time.
type unreliable struct {
	operator.Store
	random *rand.Rand
	late   *sync.WaitGroup
	// attempted holds the write identifiers that were sent for the configuration in force.
	attempted map[string]bool
}

func (u *unreliable) CAS(ctx context.Context, w store.Write) (types.Revision, error) {
	if w.Key == config.KeyCurrent {
		u.attempted[w.WriteID] = true
	}
	lost := types.NewFault(types.CodeAnswerLost, "connection closed")
	switch u.random.Intn(4) {
	case 0:
		return 0, lost
	case 1:
		_, _ = u.Store.CAS(ctx, w)
		time.Sleep(time.Duration(u.random.Intn(60)) * time.Millisecond) // lets others replace the write before it is read back
		return 0, lost
	case 2:
		delay := time.Duration(u.random.Intn(30)) * time.Millisecond
		u.late.Go(func() {
			time.Sleep(delay)
			_, _ = u.Store.CAS(context.WithoutCancel(ctx), w)
		})
		return 0, lost
	}
	return u.Store.CAS(ctx, w)
}

// Guards against a wrong answer to an operator in any mix of races, lost writes, lost answers and late writes: whoever
// is told "accepted" put the own write in force under that version, and whoever is told "conflict" never did, also after
// the last late write has arrived. The truth comes from the store's own log of changes.
func TestAnswersAreTrueOverAnUnreliableStore(t *testing.T) {
	const operators, attempts = 4, 6
	for seed := range int64(3) {
		t.Run("seed "+strconv.FormatInt(seed, 10), func(t *testing.T) {
			f := start(t)
			var late, working sync.WaitGroup
			results := make([]outcome, operators)
			for i := range operators {
				u := &unreliable{Store: f.client, random: rand.New(rand.NewSource(seed*100 + int64(i))), late: &late, attempted: map[string]bool{}}
				o := f.person("operator-"+strconv.Itoa(i), u)
				working.Go(func() { results[i] = work(t, o, u, attempts, i) })
			}
			working.Wait()
			late.Wait()
			owner := map[string]types.Version{}
			events, _, err := f.client.Watch(t.Context(), config.KeyCurrent, 0)
			f.NoErr(err)
			for _, e := range events {
				c, err := config.Parse(e.Value)
				f.NoErr(err)
				owner[e.WriteID] = c.Version
			}
			for _, r := range results {
				for id, v := range r.accepted {
					f.Equal(owner[id], v) // told accepted, but the version is another operator's or does not exist
				}
				for id := range r.refused {
					f.Equal(owner[id], types.Version(0)) // told refused, but the write took effect
				}
			}
		})
	}
}

// outcome is what one operator was told, by write identifier.
type outcome struct {
	accepted map[string]types.Version
	refused  map[string]bool
}

func work(t *testing.T, o *operator.Operator, u *unreliable, attempts, who int) outcome {
	out := outcome{accepted: map[string]types.Version{}, refused: map[string]bool{}}
	for n := range attempts {
		now, err := o.Current(t.Context())
		if err != nil {
			t.Error(err)
			return out
		}
		u.attempted = map[string]bool{}
		a, err := o.Apply(t.Context(), revision(t, now.Configuration.Version, int64(1000+100*who+n)))
		switch {
		case err == nil:
			out.accepted[a.WriteID] = a.Version
		case types.CodeOf(err) == types.CodeConflict:
			for id := range u.attempted {
				out.refused[id] = true
			}
		default:
			t.Error(err)
		}
	}
	return out
}
