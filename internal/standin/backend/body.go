package backend

import (
	"io"
	"sync"
)

// FillPattern fills p with the bytes of a response to /bytes/{n}, starting at offset. Adjacent blocks differ, so that lost,
// repeated or swapped parts are detected.
func FillPattern(offset int64, p []byte) {
	for i := range p {
		position := uint64(offset) + uint64(i)
		p[i] = byte(position ^ position>>8*31 ^ position>>16*131)
	}
}

// patternReader streams size bytes of the pattern. It calls release once, when all bytes are read or the reader is closed.
type patternReader struct {
	offset, size int64
	once         sync.Once
	release      func()
}

// Read implements io.Reader.
func (r *patternReader) Read(p []byte) (int, error) {
	if r.offset >= r.size {
		r.once.Do(r.release)
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), r.size-r.offset)]
	FillPattern(r.offset, p)
	r.offset += int64(len(p))
	if r.offset >= r.size {
		r.once.Do(r.release)
	}
	return len(p), nil
}

// Close implements io.Closer.
func (r *patternReader) Close() error {
	r.once.Do(r.release)
	return nil
}
