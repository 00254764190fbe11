package edge

import (
	"errors"
	"io"
	"net/http"

	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

const (
	// firstBodyBytes is the size of the first buffer for a body that does not announce a smaller length.
	firstBodyBytes = 4 << 10
	// bodyMemoryShare is the share of the VM's memory for the bodies of callers. While a request is sent, its body is in memory
	// a second time.
	bodyMemoryShare = 8
	// defaultBodyMemory applies where the platform states no memory, minBodyMemory where it states little.
	defaultBodyMemory = 32 << 20
	minBodyMemory     = 8 << 20
)

// bodyMemory returns how many bytes the bodies of all callers may have, on a VM with the given memory.
func bodyMemory(memoryBytes int64) int64 {
	if memoryBytes == 0 {
		return defaultBodyMemory
	}
	return max(memoryBytes/bodyMemoryShare, minBodyMemory)
}

// callerBody is the body of a caller's request. Its memory counts against the budget of all callers until it is released.
type callerBody struct {
	budget *forward.Budget
	taken  int64
	data   []byte
}

// read reads the whole body, so that no incomplete request is sent to a target. w is the writer of net/http, which closes the
// connection after a body that is too large. The memory grows with the bytes that arrive, because a caller may announce more than
// it sends. Its faults have CodeOverloaded if the budget is used up, CodeBodyTooLarge or CodeTruncatedBody.
func (b *callerBody) read(w http.ResponseWriter, r *http.Request, limit int64) *types.Fault {
	if r.ContentLength == 0 {
		return nil
	}
	size := int64(firstBodyBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength+1)
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	for {
		if len(b.data) == cap(b.data) && !b.grow(max(size, 2*int64(cap(b.data)))) {
			return types.NotRun(types.CodeOverloaded, "no memory left for the body beside those of other requests")
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &tooLarge):
			return types.NotRun(types.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
		default:
			return types.NotRun(types.CodeTruncatedBody, "the body is incomplete: %v", err)
		}
	}
}

// grow moves the body to a buffer of the given size. It fails if the budget is used up.
func (b *callerBody) grow(size int64) bool {
	added := size - int64(cap(b.data))
	if !b.budget.Take(added) {
		return false
	}
	b.taken += added
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// release gives the memory of the body back.
func (b *callerBody) release() {
	b.budget.GiveBack(b.taken)
	b.taken = 0
}
