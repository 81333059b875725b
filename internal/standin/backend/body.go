package backend

import (
	"io"
	"sync"
)

// Pattern fills p with the bytes that an answer of /bytes/{n} has from offset on. Neighbouring blocks differ, so that
// lost, repeated or exchanged parts are seen.
func Pattern(offset int64, p []byte) {
	for i := range p {
		at := uint64(offset) + uint64(i)
		p[i] = byte(at ^ at>>8*31 ^ at>>16*131)
	}
}

// patternReader streams n bytes of the pattern. release is called once, when all is read or the reader is closed.
type patternReader struct {
	offset, n int64
	once      sync.Once
	release   func()
}

// Read implements io.Reader.
func (r *patternReader) Read(p []byte) (int, error) {
	if r.offset >= r.n {
		r.once.Do(r.release)
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), r.n-r.offset)]
	Pattern(r.offset, p)
	r.offset += int64(len(p))
	if r.offset >= r.n {
		r.once.Do(r.release)
	}
	return len(p), nil
}

// Close implements io.Closer.
func (r *patternReader) Close() error {
	r.once.Do(r.release)
	return nil
}
