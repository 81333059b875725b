package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Body is a streamed answer. Close gives the connection back if the answer was read to the end, and closes it otherwise.
// It is not safe for concurrent use.
type Body struct {
	exchange *exchange
	inner    *fasthttp.Response
	// length is the length of the body, negative if it is not known; left is how much of it was not read.
	length, left int
	unread       []byte
	complete     bool
	stopCancel   func() bool
	onClose      []func()
	pace         func(bytes int) error
}

// OnClose adds a function that runs once after Close. Functions run in the order in which they were added.
func (b *Body) OnClose(f func()) { b.onClose = append(b.onClose, f) }

// Pace adds a function that is called with the number of bytes before they are handed on. Its error ends the body.
func (b *Body) Pace(f func(bytes int) error) { b.pace = f }

// Unread puts bytes that were read back in front of the rest. It may be called once.
func (b *Body) Unread(p []byte) { b.unread = p }

// Read implements io.Reader. A body that is cut short ends with io.ErrUnexpectedEOF, never with io.EOF.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.readNext(p)
	if n > 0 && b.pace != nil {
		if paceErr := b.pace(n); paceErr != nil {
			return 0, paceErr
		}
	}
	return n, err
}

// readNext reads from the bytes that were put back, then from the connection.
func (b *Body) readNext(p []byte) (int, error) {
	switch {
	case len(b.unread) > 0:
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	case b.complete:
		return 0, io.EOF
	case b.inner == nil:
		return 0, io.ErrClosedPipe
	}
	n, err := b.inner.BodyStream().Read(p)
	return n, b.advance(n, err)
}

// advance notes n bytes and the end of the body. The reader of a body of known length stops at its last byte and does not
// see the end of the stream.
func (b *Body) advance(n int, err error) error {
	if b.length >= 0 {
		b.left -= n
		b.complete = b.left == 0
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if b.length >= 0 && b.left > 0 {
		return io.ErrUnexpectedEOF
	}
	b.complete = true
	b.copyTrailers()
	return err
}

// copyTrailers sets the trailers, which arrive behind the last chunk, on the answer.
func (b *Body) copyTrailers() {
	for _, key := range b.inner.Header.PeekTrailerKeys() {
		b.exchange.resp.Header.SetBytesKV(key, b.inner.Header.PeekBytes(key))
	}
}

// Close implements io.Closer.
func (b *Body) Close() error {
	if b.inner == nil {
		return nil
	}
	cancelled := !b.stopCancel()
	c := b.exchange.conn
	reusable := b.complete && !cancelled && !c.broken && !b.inner.Header.ConnectionClose() && b.inner.Header.ContentLength() != identityBody
	_ = b.inner.CloseBodyStream()
	fasthttp.ReleaseResponse(b.inner)
	b.inner = nil
	if reusable {
		c.host.put(c)
	} else {
		c.host.discard(c)
	}
	for _, f := range b.onClose {
		f()
	}
	return nil
}
