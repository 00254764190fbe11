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

// unreliableStore passes a write on, loses it, loses its answer or delays it, as chosen by random. Each operator has
// its own.
type unreliableStore struct {
	operator.Store
	random  *rand.Rand
	delayed *sync.WaitGroup
	key     string
	// sent holds the identifiers of the writes to key.
	sent map[string]bool
}

func (u *unreliableStore) CAS(ctx context.Context, w store.Write) (types.Revision, error) {
	if w.Key == u.key {
		u.sent[w.WriteID] = true
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
		u.delayed.Go(func() {
			time.Sleep(delay)
			_, _ = u.Store.CAS(context.WithoutCancel(ctx), w)
		})
		return 0, lost
	}
	return u.Store.CAS(ctx, w)
}

// Guards against a wrong result for an operator in any mix of races, lost writes, lost answers and delayed writes. A write
// that is reported as accepted must have taken effect, and one that is reported as a conflict must not, also after the
// last delayed write has arrived. The store's list of changes shows which writes took effect.
func TestResultsMatchUnreliableStore(t *testing.T) {
	kinds := map[string]func(context.Context, *operator.Operator, int) (applied bool, err error){
		config.KeyCurrent: apply,
		kladnoOut.Key:     decide,
	}
	for key, act := range kinds {
		for seed := range int64(3) {
			t.Run(key+" seed "+strconv.FormatInt(seed, 10), func(t *testing.T) { checkResults(t, key, seed, act) })
		}
	}
}

// checkResults lets operators act concurrently and compares their results with the changes of key.
func checkResults(t *testing.T, key string, seed int64, act func(context.Context, *operator.Operator, int) (bool, error)) {
	const operators, attempts = 4, 6
	f := startConfigured(t)
	var delayed, working sync.WaitGroup
	reported := make([]map[string]bool, operators)
	for i := range operators {
		u := &unreliableStore{Store: f.client, random: rand.New(rand.NewSource(seed*100 + int64(i))), delayed: &delayed, key: key}
		o := f.newOperator("operator-"+strconv.Itoa(i), u)
		reported[i] = map[string]bool{}
		working.Go(func() {
			for n := range attempts {
				u.sent = map[string]bool{}
				applied, err := act(t.Context(), o, 100*i+n)
				if err != nil {
					t.Error(err)
				}
				for id := range u.sent {
					reported[i][id] = applied
				}
			}
		})
	}
	working.Wait()
	delayed.Wait()
	changed := map[string]bool{}
	events, _, err := f.client.Watch(t.Context(), key, 0)
	f.NoErr(err)
	for _, e := range events {
		changed[e.WriteID] = true
	}
	for _, writes := range reported {
		for id, applied := range writes {
			f.Equal(changed[id], applied) // the store's changes agree with the operator's result
		}
	}
}

// apply applies a changed copy of the configuration in force and reports whether it was accepted.
func apply(ctx context.Context, o *operator.Operator, n int) (bool, error) {
	now, err := o.Current(ctx)
	if err != nil {
		return false, err
	}
	r := operator.ApplyRequest{Configuration: now.Configuration, Expect: now.Configuration.Version}
	r.Configuration.Ownership.SuspicionMs = 1000 + int64(n)
	_, err = o.Apply(ctx, r)
	return accepted(err)
}

// decide sets the state of kladno and reports whether its own write took effect.
func decide(ctx context.Context, o *operator.Operator, n int) (bool, error) {
	states := []config.OpsState{config.OpsOut, config.OpsIn, config.OpsDraining}
	out, err := o.Decide(ctx, operator.Decision{Key: kladnoOut.Key, State: states[n%len(states)]})
	applied, err := accepted(err)
	return applied && !out.Unchanged, err
}

// accepted returns true for a nil error and false for a conflict, and any other error as it is.
func accepted(err error) (bool, error) {
	if types.CodeOf(err) == types.CodeConflict {
		return false, nil
	}
	return err == nil, err
}
