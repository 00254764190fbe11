// Package capacity divides the memory of a process among the header sections, the bodies, the connections and the remembered requests of
// its callers. It is the same for all processes.
package capacity

import "math"

const (
	// headerShare is the part of the memory, as a divisor, for the header sections of all requests that are read or in progress.
	// Together with the bodies, it leaves most of the memory to connections and to the garbage collector. minHeaderMemory has room
	// for a section of 16 KiB that consists of the shortest lines. All sizes are in bytes.
	headerShare         = 8
	minHeaderMemory     = 4 << 20
	defaultHeaderMemory = 32 << 20

	// bodyShare is the part of the memory, as a divisor, for the bodies of requests and answers. Small processes have room for one
	// body of the largest size and a few small ones, but for no more than smallBodyPercent of the memory.
	bodyShare        = 4
	smallBodyPercent = 46
	minBodyMemory    = 8 << 20

	// rememberedShare is the part of the memory, as a divisor, for requests that are remembered with their answers.
	rememberedShare = 4

	// connectionShare is the part of the memory, as a divisor, for the connections of callers, connectionBytes what one takes with
	// the buffers and stacks of net/http.
	connectionShare = 4
	connectionBytes = 20 << 10

	// runtimeMemory is the memory outside the Go runtime's limit: the code of the program, and the thread stacks. With 16 MiB and
	// a tenth, two bodies of 64 MiB one after the other took 143.8 of 144 MB.
	runtimeMemory  = 24 << 20
	runtimePercent = 85
)

// HeaderMemory returns the estimated memory, in bytes, that all header sections of a process with the given memory may have. A
// memory of 0 means that it is not known.
func HeaderMemory(memory int64) int64 {
	if memory == 0 {
		return defaultHeaderMemory
	}
	return max(memory/headerShare, minHeaderMemory)
}

// BodyMemory returns how many bytes the bodies of all requests and answers of a process with the given memory may have, if the
// largest body has the given size. A memory of 0 means that it is not known.
func BodyMemory(memory, largest int64) int64 {
	if memory == 0 {
		return largest
	}
	return max(memory/bodyShare, min(largest, memory*smallBodyPercent/100), minBodyMemory)
}

// RememberedMemory returns the estimated memory, in bytes, of the requests that a process with the given memory may remember with
// their answers. There is no limit if the memory is 0, which means that it is not known.
func RememberedMemory(memory int64) int64 {
	if memory == 0 {
		return math.MaxInt64
	}
	return memory / rememberedShare
}

// Connections returns how many connections callers of a process with the given memory and descriptors for callers may have, 0 for no
// limit. A memory or a number of descriptors of 0 means that it is not known. Connections that don't fit into the memory are no use.
func Connections(memory int64, descriptors int) int {
	if memory == 0 {
		return descriptors
	}
	byMemory := int(memory / connectionShare / connectionBytes)
	if descriptors == 0 {
		return byMemory
	}
	return min(descriptors, byMemory)
}

// RuntimeLimit returns the memory limit of the Go runtime, in bytes, for a process with the given memory, and false if that is not
// known. A part stays free, because the runtime may exceed its limit while it collects garbage.
func RuntimeLimit(memory int64) (limit int64, known bool) {
	if memory == 0 {
		return 0, false
	}
	return max((memory-runtimeMemory)*runtimePercent/100, memory/2), true
}
