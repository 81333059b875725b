package upstream

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// Body is a streamed response body. Close returns the connection to the idle connections if the body was read to the end,
// and closes the connection otherwise. Body is not safe for concurrent use.
type Body struct {
	exchange *exchange
	source   *fasthttp.Response
	// length is the length of the body in bytes, negative if unknown; remaining is the number of bytes not read yet.
	length, remaining int
	pushedBack        []byte
	complete          bool
	stopContextFunc   func() bool
	onClose           []func()
	pacer             func(bytes int) error
}

// OnClose adds a function that runs once after Close. Functions run in the order in which they were added.
func (b *Body) OnClose(f func()) { b.onClose = append(b.onClose, f) }

// SetPacer sets a function that Read calls with the number of bytes before it returns them. If f returns an error, Read returns
// that error and no bytes.
func (b *Body) SetPacer(f func(bytes int) error) { b.pacer = f }

// SetDeadline limits the time until which the body can be read; the zero value removes the limit. Without it each read has the
// body idle timeout only, so that a server that never stops sending can hold its reader forever.
func (b *Body) SetDeadline(t time.Time) { b.exchange.conn.readDeadline = t }

// Unread pushes bytes that were already read back in front of the unread part. It may be called only once.
func (b *Body) Unread(p []byte) { b.pushedBack = p }

// Read implements io.Reader. A truncated body ends with io.ErrUnexpectedEOF, never with io.EOF.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.readUnpaced(p)
	if n > 0 && b.pacer != nil {
		if paceErr := b.pacer(n); paceErr != nil {
			return 0, paceErr
		}
	}
	return n, err
}

// readUnpaced reads the bytes pushed back by Unread first, then from the connection. It does not call the pacer.
func (b *Body) readUnpaced(p []byte) (int, error) {
	switch {
	case len(b.pushedBack) > 0:
		n := copy(p, b.pushedBack)
		b.pushedBack = b.pushedBack[n:]
		return n, nil
	case b.complete:
		return 0, io.EOF
	case b.source == nil:
		return 0, io.ErrClosedPipe
	}
	n, err := b.source.BodyStream().Read(p)
	return n, b.recordRead(n, err)
}

// recordRead accounts for n bytes read and detects the end of the body. A reader of a body of known length stops at the last
// byte and does not see io.EOF.
func (b *Body) recordRead(n int, err error) error {
	if b.length >= 0 {
		b.remaining -= n
		b.complete = b.remaining == 0
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if b.length >= 0 && b.remaining > 0 {
		return io.ErrUnexpectedEOF
	}
	if trailerErr := b.copyTrailers(); trailerErr != nil {
		return trailerErr
	}
	b.complete = true
	return err
}

// copyTrailers copies the trailers, which follow the last chunk, to the headers of the caller's response. fasthttp has checked their
// values, but not that there is no blank in a name.
func (b *Body) copyTrailers() error {
	keys := b.source.Header.PeekTrailerKeys()
	for _, key := range keys {
		if !httpguts.ValidHeaderFieldName(string(key)) {
			malformedResponses.Inc()
			return malformed("trailer", key)
		}
	}
	for _, key := range keys {
		b.exchange.resp.Header.SetBytesKV(key, b.source.Header.PeekBytes(key))
	}
	return nil
}

// Close implements io.Closer.
func (b *Body) Close() error {
	if b.source == nil {
		return nil
	}
	cancelled := !b.stopContextFunc()
	c := b.exchange.conn
	reusable := b.complete && !cancelled && !c.noReuse && !b.source.Header.ConnectionClose() &&
		b.source.Header.ContentLength() != identityBody
	_ = b.source.CloseBodyStream()
	fasthttp.ReleaseResponse(b.source)
	b.source = nil
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
