package process

import (
	"runtime/debug"
	"syscall"

	"sequoiasail.example/daemon/capacity"
	"sequoiasail.example/daemon/httpserver"
)

const (
	minMemoryMB, maxMemoryMB       = 64, 1 << 20
	minDescriptors, maxDescriptors = 256, 1 << 20
	// ownDescriptors is for listeners, the store, the runtime and the admin interface. linkShare is the part of all descriptors, as
	// a divisor, for links to other processes, minLinks the least number of them.
	ownDescriptors = 40
	linkShare      = 4
	minLinks       = 32
	// adminConnections is the number of connections to the admin interface.
	adminConnections = 16
)

// memory returns the memory of the process in bytes, 0 if it is not known.
func (s *Settings) memory() int64 { return s.MemoryMB << 20 }

// descriptors returns the number of descriptors that the process may open, 0 if it is not known.
func (s *Settings) descriptors() int {
	if s.Descriptors != 0 {
		return s.Descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// callerConnections returns how many connections callers may have, 0 for no limit.
func (s *Settings) callerConnections() int {
	all, callers := s.descriptors(), 0
	if all != 0 {
		callers = max(1, all-ownDescriptors-max(minLinks, all/linkShare))
	}
	return capacity.Connections(s.memory(), callers)
}

// PeerConnections returns how many connections from other processes a dispatcher may have, 0 for no limit. As many descriptors are
// for its connections to targets and to other dispatchers.
func (s *Settings) PeerConnections() int { return s.descriptors() / 2 }

// limitRuntime sets the memory limit of the Go runtime if the memory of the process is known.
func (s *Settings) limitRuntime() {
	if limit, known := capacity.RuntimeLimit(s.memory()); known {
		debug.SetMemoryLimit(limit)
	}
}

// BodyMemory returns how many bytes the bodies of all requests and answers may have, if the largest has the given size.
func (s *Settings) BodyMemory(largest int64) int64 { return capacity.BodyMemory(s.memory(), largest) }

// RememberedMemory returns the estimated memory of requests that a dispatcher may remember with their answers, in bytes.
func (s *Settings) RememberedMemory() int64 { return capacity.RememberedMemory(s.memory()) }

// LimitCallers bounds what the callers of a server may take of the memory and the descriptors of the process. It publishes the
// metrics of the server.
func (b *Base) LimitCallers(s *httpserver.Server) {
	s.Headers, s.MaxConnections = b.headers, b.callerConnections
	s.LogShortage(b.Log)
	s.Publish(b.Metrics)
}
