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
	// attempted holds the write identifiers that were sent for key.
	key       string
	attempted map[string]bool
}

func (u *unreliable) CAS(ctx context.Context, w store.Write) (types.Revision, error) {
	if w.Key == u.key {
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
// is told "accepted" put the own write in force, and whoever is told "conflict" never did, also after the last late
// write has arrived. The truth comes from the store's own log of changes.
func TestAnswersAreTrueOverAnUnreliableStore(t *testing.T) {
	kinds := map[string]func(context.Context, *operator.Operator, int) (took bool, err error){
		config.KeyCurrent: apply,
		takeOut.Key:       decide,
	}
	for key, act := range kinds {
		for seed := range int64(3) {
			t.Run(key+" seed "+strconv.FormatInt(seed, 10), func(t *testing.T) { race(t, key, seed, act) })
		}
	}
}

// race lets operators act at the same time and compares what they were told with the changes of key.
func race(t *testing.T, key string, seed int64, act func(context.Context, *operator.Operator, int) (bool, error)) {
	const operators, attempts = 4, 6
	f := startApplied(t)
	var late, working sync.WaitGroup
	told := make([]map[string]bool, operators)
	for i := range operators {
		u := &unreliable{Store: f.client, random: rand.New(rand.NewSource(seed*100 + int64(i))), late: &late, key: key}
		o := f.person("operator-"+strconv.Itoa(i), u)
		told[i] = map[string]bool{}
		working.Go(func() {
			for n := range attempts {
				u.attempted = map[string]bool{}
				took, err := act(t.Context(), o, 100*i+n)
				if err != nil {
					t.Error(err)
				}
				for id := range u.attempted {
					told[i][id] = took
				}
			}
		})
	}
	working.Wait()
	late.Wait()
	changed := map[string]bool{}
	events, _, err := f.client.Watch(t.Context(), key, 0)
	f.NoErr(err)
	for _, e := range events {
		changed[e.WriteID] = true
	}
	for _, writes := range told {
		for id, took := range writes {
			f.Equal(changed[id], took) // what the store did, and what the operator was told
		}
	}
}

// apply makes a revision of the version in force and reports whether it was accepted.
func apply(ctx context.Context, o *operator.Operator, n int) (bool, error) {
	now, err := o.Current(ctx)
	if err != nil {
		return false, err
	}
	r := operator.Revision{Configuration: now.Configuration, Expect: now.Configuration.Version}
	r.Configuration.Ownership.SuspicionMs = 1000 + int64(n)
	_, err = o.Apply(ctx, r)
	return won(err)
}

// decide takes a data centre out or brings it back and reports whether the own write took effect.
func decide(ctx context.Context, o *operator.Operator, n int) (bool, error) {
	states := []config.OpsState{config.OpsOut, config.OpsIn, config.OpsDraining}
	out, err := o.Decide(ctx, operator.Decision{Key: takeOut.Key, State: states[n%len(states)]})
	took, err := won(err)
	return took && !out.Unchanged, err
}

// won reports whether err is nil, and returns any error that is no conflict.
func won(err error) (bool, error) {
	if types.CodeOf(err) == types.CodeConflict {
		return false, nil
	}
	return err == nil, err
}
