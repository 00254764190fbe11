package edge

import (
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// addressRetention returns how long the address of a target is kept after it has left the list of targets. It may still hold keys
// then; grants of targets that are not listed are not renewed.
func addressRetention(s keyspace.Settings) time.Duration { return 2 * s.LongGrantTTL }

// targetAddresses holds the addresses of targets and the connections for grant and release calls to them.
type targetAddresses struct {
	// retention is how long an address is kept after its target has left the list of targets, which may still hold keys then.
	retention time.Duration
	known     map[keyspace.Owner]*targetAddress
	// hosts holds the connections by address.
	hosts map[string]*forward.Host
}

type targetAddress struct {
	address string
	// unlistedSince is when the target left the list of targets; 0 while it is listed.
	unlistedSince types.Instant
}

func newTargetAddresses(retention time.Duration) *targetAddresses {
	return &targetAddresses{retention: retention, known: make(map[keyspace.Owner]*targetAddress), hosts: make(map[string]*forward.Host)}
}

// update takes the list of targets and drops addresses and connections of targets that left it longer ago than the retention.
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
		if k.unlistedSince != 0 && now.Sub(k.unlistedSince) > a.retention {
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
