package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// DefaultSkew is the exponent of the Zipf distribution of keys that the goals name.
const DefaultSkew = 1.1

// Path says how a call reaches its target.
type Path uint8

// Paths of calls.
const (
	PathGateway Path = iota
	PathDirect
	pathCount
)

var pathNames = [pathCount]string{"gateway", "direct"}

// String returns the name used in reports.
func (p Path) String() string { return pathNames[p] }

// call is one request to make.
type call struct {
	due     time.Time
	path    Path
	address string
	class   types.Class
	service types.Service
	key     string
	id      string
}

// Share is the part of a class in all calls.
type Share struct {
	Class types.Class
	Part  float64
}

// ParseMix reads "lookup=70,order=25,confirmation=5". The numbers are relative to their sum.
func ParseMix(text string) ([]Share, error) {
	var mix []Share
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		class, err := types.ParseClass(name)
		if err != nil {
			return nil, err
		}
		n, err := strconv.ParseFloat(number, 64)
		if err != nil || !(n > 0) || math.IsInf(n, 1) {
			return nil, types.NewFault(types.CodeBadSettings, "share of %s must be above 0, not %q", name, number)
		}
		mix = append(mix, Share{Class: class, Part: n})
	}
	return mix, nil
}

// Plan describes the calls of a run. Equal plans make equal calls.
type Plan struct {
	Services []config.Service
	Gateways []string
	Mix      []Share
	// Keys is the number of keys of each service.
	Keys int
	// Skew is the exponent of the Zipf distribution of keys, above 1. 0 calls all keys equally often.
	Skew float64
	// Seed drives the choice of class, service and key.
	Seed uint64
	// Name starts every request identifier, so that runs do not share any.
	Name string
}

// planner chooses one call after the other.
type planner struct {
	plan   Plan
	random *rand.Rand
	zipf   *rand.Zipf // nil when all keys are equal
	offers [types.ClassCount][]types.Service
	total  float64
	next   int
}

func newPlanner(p Plan) (*planner, error) {
	if p.Keys < 1 || len(p.Gateways) == 0 || len(p.Mix) == 0 {
		return nil, types.NewFault(types.CodeBadSettings, "a plan needs keys, gateways and a mix")
	}
	if p.Skew != 0 && !(p.Skew > 1) {
		return nil, types.NewFault(types.CodeBadSettings, "skew must be 0 or above 1, not %v", p.Skew)
	}
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	l := &planner{plan: p, random: random}
	if p.Skew != 0 {
		l.zipf = rand.NewZipf(random, p.Skew, 1, uint64(p.Keys-1))
	}
	for _, s := range p.Services {
		l.offer(s)
	}
	for _, share := range p.Mix {
		if len(l.offers[share.Class]) == 0 {
			return nil, types.NewFault(types.CodeBadSettings, "no service takes requests of class %s", share.Class)
		}
		l.total += share.Part
	}
	return l, nil
}

// offer records the classes that a service takes.
func (l *planner) offer(s config.Service) {
	l.offers[types.ClassLookup] = append(l.offers[types.ClassLookup], s.Name)
	class, err := types.ParseClass(s.WriteClass)
	if err == nil && !class.Idempotent() {
		l.offers[class] = append(l.offers[class], s.Name)
	}
}

// call returns the next call, which is due at due.
func (l *planner) call(due time.Time) call {
	n := l.next
	l.next++
	class := l.class()
	services := l.offers[class]
	service := services[l.random.IntN(len(services))]
	return call{
		due:     due,
		address: l.plan.Gateways[n%len(l.plan.Gateways)],
		class:   class,
		service: service,
		key:     keyOf(service, l.key()),
		id:      fmt.Sprintf("%s-%d", l.plan.Name, n),
	}
}

func (l *planner) key() uint64 {
	if l.zipf == nil {
		return l.random.Uint64N(uint64(l.plan.Keys))
	}
	return l.zipf.Uint64()
}

func (l *planner) class() types.Class {
	at := l.random.Float64() * l.total
	i := slices.IndexFunc(l.plan.Mix, func(s Share) bool {
		at -= s.Part
		return at < 0
	})
	return l.plan.Mix[max(i, 0)].Class
}

func keyOf(service types.Service, n uint64) string { return fmt.Sprintf("%s-%d", service, n) }
