package edge

import (
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// addressRetention is how long the address of a target is kept after it has left the list of targets. It may still hold keys
// then; the longest time to live of a grant is a small part of this time.
const addressRetention = 10 * time.Minute

// targetAddresses holds the addresses of targets and the connections for grant and release calls to them.
type targetAddresses struct {
	known map[keyspace.Owner]*targetAddress
	// hosts holds the connections by address.
	hosts map[string]*forward.Host
}

type targetAddress struct {
	address string
	// unlistedSince is when the target left the list of targets; 0 while it is listed.
	unlistedSince types.Instant
}

func newTargetAddresses() *targetAddresses {
	return &targetAddresses{known: make(map[keyspace.Owner]*targetAddress), hosts: make(map[string]*forward.Host)}
}

// update takes the list of targets and drops addresses and connections of targets that left it addressRetention ago.
func (a *targetAddresses) update(now types.Instant, list []catalog.Listing) {
	for _, k := range a.known {
		if k.unlistedSince == 0 {
			k.unlistedSince = now
		}
	}
	for _, t := range list {
		a.known[ownerOf(t.Registration)] = &targetAddress{address: t.Address}
	}
	used := make(map[string]bool, len(a.known))
	for o, k := range a.known {
		if k.unlistedSince != 0 && now.Sub(k.unlistedSince) > addressRetention {
			delete(a.known, o)
			continue
		}
		used[k.address] = true
	}
	for address, h := range a.hosts {
		if !used[address] {
			h.Close()
			delete(a.hosts, address)
		}
	}
}

// host returns the connection for calls to an owner, or nil if its address is not known.
func (a *targetAddresses) host(o keyspace.Owner) *forward.Host {
	k := a.known[o]
	if k == nil {
		return nil
	}
	h := a.hosts[k.address]
	if h == nil {
		h = platform.NewOrderHost(k.address)
		a.hosts[k.address] = h
	}
	return h
}
