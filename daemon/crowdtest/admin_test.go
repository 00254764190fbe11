package crowdtest

import (
	"context"
	"net/url"
	"testing"
)

// adminCrowds are the crowds at the addresses that are not for callers, fixed together with the bounds of all tests.
var adminCrowds = map[string]crowd{
	"many-short-header-lines": {1200, shortHeaderLines},
	"silent":                  {2 * maxFDs, idleCrowds["silent"]},
}

// allStarts are the processes with an address for readiness and metrics, and those with an address for other processes.
var allStarts = map[string]start{"sail-edge": edge, "sail-gateway": gateway, "sail-dispatcher": dispatcher}

// Guards against clients that find an address for readiness and metrics, or for other processes, and take the memory or the
// descriptors of the process there.
func TestAddressesOfOperatorsAndPeersStayWithinTheBounds(t *testing.T) {
	for name, begin := range allStarts {
		for crowdName, c := range adminCrowds {
			t.Run(name+"/admin/"+crowdName, func(t *testing.T) {
				p := begin(t, memoryMB, maxFDs)
				u, err := url.Parse(p.readyURL)
				check(t, err)
				p.crowdAddress = u.Host
				p.holdsUnder(c)
			})
			if name == "sail-gateway" {
				continue // it has no address for other processes
			}
			t.Run(name+"/peer/"+crowdName, func(t *testing.T) {
				p := begin(t, memoryMB, maxFDs)
				p.crowdAddress = p.peerAddress
				p.holdsUnder(c)
			})
		}
	}
}

// holdsUnder checks the memory and the descriptors of a process while a crowd is there, and that it answers.
func (p *process) holdsUnder(c crowd) {
	p.t.Helper()
	ctx, cancel := context.WithCancel(p.t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		p.run(ctx, c.clients, c.act)
	}()
	p.checkDescriptors(crowdTime)
	p.checkMemory(memoryMB)
	p.await("an ordinary answer while the crowd is there", answerLimit, p.answersOne)
	cancel()
	<-left
	p.await("readiness", readyLimit, p.isReady)
	p.await("an ordinary answer", answerLimit, p.answersOne)
}
