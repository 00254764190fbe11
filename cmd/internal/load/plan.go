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

// DefaultSkew is the exponent of the Zipf distribution of keys for which the performance goals are stated.
const DefaultSkew = 1.1

// Path tells whether a call goes through a gateway or directly to a target.
type Path uint8

// Values of Path.
const (
	PathGateway Path = iota
	PathDirect
	pathCount // number of paths
)

var pathNames = [pathCount]string{"gateway", "direct"}

// String returns the name of the path in reports.
func (p Path) String() string { return pathNames[p] }

// call is one request to make.
type call struct {
	due     time.Time // scheduled start
	path    Path
	address string // host:port of the gateway or target
	class   types.Class
	service types.Service
	key     string
	id      string // request identifier
}

// Share is the weight of a class in the mix of calls, relative to the sum of all weights.
type Share struct {
	Class  types.Class
	Weight float64
}

// ParseMix parses a list of classes and weights such as "lookup=70,order=25,confirmation=5".
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
		mix = append(mix, Share{Class: class, Weight: n})
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
	// Skew is the exponent of the Zipf distribution of keys and must be above 1. With 0 all keys are called equally often.
	Skew float64
	// Seed initialises the random choice of class, service and key.
	Seed uint64
	// Name is the name of the caller and the prefix of all request identifiers. Runs with different names share no
	// identifier.
	Name string
}

// generator produces the calls of a plan one after the other.
type generator struct {
	plan            Plan
	random          *rand.Rand
	zipf            *rand.Zipf // nil when all keys are called equally often
	servicesByClass [types.ClassCount][]types.Service
	totalWeight     float64 // sum of the weights in the mix
	count           int     // calls produced so far
}

func newGenerator(p Plan) (*generator, error) {
	if p.Keys < 1 || len(p.Gateways) == 0 || len(p.Mix) == 0 {
		return nil, types.NewFault(types.CodeBadSettings, "a plan needs keys, gateways and a mix")
	}
	if p.Skew != 0 && !(p.Skew > 1) {
		return nil, types.NewFault(types.CodeBadSettings, "skew must be 0 or above 1, not %v", p.Skew)
	}
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	g := &generator{plan: p, random: random}
	if p.Skew != 0 {
		g.zipf = rand.NewZipf(random, p.Skew, 1, uint64(p.Keys-1))
	}
	for _, s := range p.Services {
		g.addService(s)
	}
	for _, share := range p.Mix {
		if len(g.servicesByClass[share.Class]) == 0 {
			return nil, types.NewFault(types.CodeBadSettings, "no service takes requests of class %s", share.Class)
		}
		g.totalWeight += share.Weight
	}
	return g, nil
}

// addService adds a service to the lists of the classes that it accepts.
func (g *generator) addService(s config.Service) {
	g.servicesByClass[types.ClassLookup] = append(g.servicesByClass[types.ClassLookup], s.Name)
	class, err := types.ParseClass(s.WriteClass)
	if err == nil && !class.Idempotent() {
		g.servicesByClass[class] = append(g.servicesByClass[class], s.Name)
	}
}

// call returns the next call, scheduled for due.
func (g *generator) call(due time.Time) call {
	n := g.count
	g.count++
	class := g.class()
	services := g.servicesByClass[class]
	service := services[g.random.IntN(len(services))]
	return call{
		due:     due,
		address: g.plan.Gateways[n%len(g.plan.Gateways)],
		class:   class,
		service: service,
		key:     keyName(service, g.key()),
		id:      fmt.Sprintf("%s-%d", g.plan.Name, n),
	}
}

// key chooses the number of a key at random, by the skew of the plan.
func (g *generator) key() uint64 {
	if g.zipf == nil {
		return g.random.Uint64N(uint64(g.plan.Keys))
	}
	return g.zipf.Uint64()
}

// class chooses a class at random, by the weights of the mix.
func (g *generator) class() types.Class {
	remaining := g.random.Float64() * g.totalWeight
	i := slices.IndexFunc(g.plan.Mix, func(s Share) bool {
		remaining -= s.Weight
		return remaining < 0
	})
	return g.plan.Mix[max(i, 0)].Class
}

// keyName returns the n-th key of a service.
func keyName(service types.Service, n uint64) string { return fmt.Sprintf("%s-%d", service, n) }
