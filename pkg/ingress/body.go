package ingress

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLarge reports a request body that exceeds the route's limit. A body of unknown length fails with it
// as soon as it exceeds the limit.
var ErrBodyTooLarge = errors.New("request body is larger than the route allows")

// ReadPrefix reads up to limit+1 bytes of a body; length is the length of the body, negative if unknown. A result of at most
// limit bytes is the whole body.
func ReadPrefix(source io.Reader, length, limit int) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(source, int64(limit)+1))
	}
	prefix := make([]byte, min(length, limit+1))
	_, err := io.ReadFull(source, prefix)
	return prefix, err
}

// BodyStream is a request body that is relayed while the caller sends it. Only one attempt can read it.
type BodyStream struct {
	Source io.Reader
	Length int // -1: unknown
	// Limit is the maximum body size in bytes.
	Limit int
	// BytesRead is the number of bytes read so far.
	BytesRead int
	// ReadStarted is set once reading has begun, so that the body cannot be sent again.
	ReadStarted bool
	// Err is the error on the caller's side that ended the body, nil if there was none.
	Err error
	// OnEnd is called when Source reaches its end (io.EOF).
	OnEnd func()
}

// Read implements io.Reader. A truncated or too large body ends with an error, so that it is never forwarded as a complete
// one.
func (s *BodyStream) Read(p []byte) (int, error) {
	s.ReadStarted = true
	n, err := s.Source.Read(p)
	s.BytesRead += n
	switch {
	case s.BytesRead > s.Limit:
		err = ErrBodyTooLarge
	case errors.Is(err, io.EOF) && s.BytesRead < s.Length:
		err = io.ErrUnexpectedEOF
	}
	switch {
	case errors.Is(err, io.EOF):
		s.OnEnd()
	case err != nil:
		s.Err = err
	}
	return n, err
}
