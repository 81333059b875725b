// Package bodybuffer holds the bodies of requests and responses in memory within a common budget.
package bodybuffer

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// initialSize is the first size, in bytes, of a buffer that grows with what arrives. It is doubled as needed.
const initialSize = 16 << 10

// Budget limits the memory of all buffers that share it. It is safe for concurrent use.
type Budget struct {
	limit     int64
	used      atomic.Int64
	exhausted *metrics.Counter
}

// NewBudget returns a budget of the given number of bytes. It counts in exhausted how often a buffer found none left.
func NewBudget(limit int64, exhausted *metrics.Counter) *Budget {
	return &Budget{limit: limit, exhausted: exhausted}
}

// reserve takes the given number of bytes from the budget and reports whether that many were left.
func (b *Budget) reserve(size int) bool {
	if b.used.Add(int64(size)) <= b.limit {
		return true
	}
	b.release(size)
	b.exhausted.Inc()
	return false
}

// release gives the given number of bytes back to the budget.
func (b *Budget) release(size int) { b.used.Add(-int64(size)) }

// NewBuffer returns an empty buffer with one holder.
func (b *Budget) NewBuffer() *Buffer {
	buffer := &Buffer{budget: b}
	buffer.holders.Store(1)
	return buffer
}

// Buffer holds a body, or its beginning. Its memory counts against the budget until the last holder has called Release. Only Retain
// and Release are safe for concurrent use.
type Buffer struct {
	budget  *Budget
	holders atomic.Int32
	data    []byte
}

// Bytes returns the content. It must not be used after the last Release.
func (b *Buffer) Bytes() []byte { return b.data }

// Retain adds a holder.
func (b *Buffer) Retain() { b.holders.Add(1) }

// Release ends the use by one holder, who must call it exactly once.
func (b *Buffer) Release() {
	if b.holders.Add(-1) == 0 {
		b.budget.release(cap(b.data))
		b.data = nil
	}
}

// Grow enlarges the buffer to the given size in bytes and reports whether the budget allows it.
func (b *Buffer) Grow(size int) bool {
	if !b.budget.reserve(size) {
		return false
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.budget.release(cap(b.data))
	b.data = data
	return true
}

// Fill reads a body of the given length in bytes, negative if unknown, and reports whether it has read all of it. It stops before that
// when the buffer would exceed limit bytes or the budget is used up. The buffer grows with what arrives, so that a sender takes no
// memory for bytes that it only announces.
func (b *Buffer) Fill(source io.Reader, length, limit int) (complete bool, err error) {
	for len(b.data) != length {
		if len(b.data) == cap(b.data) && !b.growFor(length, limit) {
			return false, nil
		}
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF) && len(b.data) < length:
			return false, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return true, nil
}

// growFor enlarges a full buffer for more of a body of the given length and reports whether limit and the budget allow it.
func (b *Buffer) growFor(length, limit int) bool {
	size := min(max(initialSize, 2*cap(b.data)), limit)
	if length >= 0 {
		size = min(size, length)
	}
	return size > cap(b.data) && b.Grow(size)
}

// Reader returns a reader of the content whose Close releases the buffer.
func (b *Buffer) Reader() io.ReadCloser { return &reader{Reader: *bytes.NewReader(b.data), buffer: b} }

// reader reads the content of a buffer. Its first Close releases the buffer.
type reader struct {
	bytes.Reader
	buffer *Buffer
}

// Close implements io.Closer.
func (r *reader) Close() error {
	if r.buffer != nil {
		r.Reset(nil)
		r.buffer.Release()
		r.buffer = nil
	}
	return nil
}
