package catalog

import (
	"crypto/sha256"
	"crypto/subtle"

	"sequoiasail.example/types"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are not kept in any other form.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is a holder of API keys, with the limit on its requests at all VMs together.
type Customer struct {
	Name types.Customer
	// Keys holds the digests of the customer's API keys.
	Keys []KeyDigest
	// Priority replaces the priority of the route, nil if the customer has none.
	Priority *int
	// Rate is the number of requests a second that the customer may send, 0 for no limit. Burst is the number of requests that
	// it may send on top of that.
	Rate, Burst float64
}

// Limited reports whether the customer has a quota.
func (c *Customer) Limited() bool { return c != nil && c.Rate > 0 }

// indexCustomers maps each digest to its customer.
func indexCustomers(customers []Customer) map[KeyDigest]*Customer {
	byKey := make(map[KeyDigest]*Customer)
	for i := range customers {
		for _, k := range customers[i].Keys {
			byKey[k] = &customers[i]
		}
	}
	return byKey
}

// HasCustomers reports whether requests need the API key of a customer, unless their route is public.
func (t *RouteTable) HasCustomers() bool { return len(t.configuration.Customers) > 0 }

// Customers returns the customers. The list must not be changed.
func (t *RouteTable) Customers() []Customer { return t.configuration.Customers }

// Authorize returns the customer that sends a request on route r with the given API keys, nil if it is none. It returns false if
// the request must not be served: without a customer, only requests on public routes are. A request with several keys belongs to
// no customer. It must not be called without customers.
func (t *RouteTable) Authorize(r *Route, keys []string) (*Customer, bool) {
	if len(keys) == 1 && keys[0] != "" {
		if c, ok := t.CustomerByKey(keys[0]); ok {
			return c, true
		}
	}
	return nil, r.Public
}

// CustomerByKey returns the customer that holds an API key. The time that it takes tells nothing about the known keys: the map
// is indexed by digests, which a caller can't choose, and the comparison takes constant time.
func (t *RouteTable) CustomerByKey(key string) (*Customer, bool) {
	digest := DigestOf(key)
	c, ok := t.byKey[digest]
	if !ok {
		return nil, false
	}
	for _, k := range c.Keys {
		if subtle.ConstantTimeCompare(k[:], digest[:]) == 1 {
			return c, true
		}
	}
	return nil, false
}
