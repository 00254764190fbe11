package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against shares of a small or a large process that leave no room for one request of the largest size, or that exceed its
// memory together.
func TestSharesFitIntoTheMemory(t *testing.T) {
	is := is.New(t)
	const largest = 66 << 20
	for mb := int64(64); mb <= 64<<10; mb += 16 {
		memory := mb << 20
		header, body := HeaderMemory(memory), BodyMemory(memory, largest)
		connections := int64(Connections(memory, 0)) * connectionBytes
		is.True(header >= 4<<20)
		is.True(body >= min(largest, memory*smallBodyPercent/100))
		is.True(header+body+connections <= memory*7/8)
		limit, known := RuntimeLimit(memory)
		is.True(known && limit >= memory/2 && limit < memory)
	}
}

// Guards against a memory that is not known being taken for none.
func TestUnknownMemoryHasDefaults(t *testing.T) {
	is := is.New(t)
	is.True(HeaderMemory(0) > 0)
	is.Equal(BodyMemory(0, 1<<20), int64(1<<20))
	is.Equal(Connections(0, 0), 0)
	is.Equal(Connections(0, 100), 100)
	is.Equal(Connections(64<<20, 100), 100)
	_, known := RuntimeLimit(0)
	is.True(!known)
}
