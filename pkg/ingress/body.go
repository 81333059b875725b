package ingress

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLarge ends a body of unknown length at the route's limit.
var ErrBodyTooLarge = errors.New("request body is larger than the route allows")

// ReadPrefix reads up to keep+1 bytes. A result of at most keep bytes is the whole body.
func ReadPrefix(source io.Reader, length, keep int) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(source, int64(keep)+1))
	}
	prefix := make([]byte, min(length, keep+1))
	_, err := io.ReadFull(source, prefix)
	return prefix, err
}

// BodyStream is a request body that is relayed while the caller sends it. One attempt reads it.
type BodyStream struct {
	Source io.Reader
	Length int // -1: not known
	// Limit is the largest body in bytes.
	Limit int
	// Taken is the number of bytes read so far.
	Taken int
	// Touched says that bytes were taken, so that the body cannot be sent again.
	Touched bool
	// Err is the error of the caller's side, nil while it is well.
	Err error
	// OnEnd runs when the last byte was read.
	OnEnd func()
}

// Read implements io.Reader. A body that is cut short or too large ends with an error, so that it is never sent as a
// complete one.
func (s *BodyStream) Read(p []byte) (int, error) {
	s.Touched = true
	n, err := s.Source.Read(p)
	s.Taken += n
	switch {
	case s.Taken > s.Limit:
		err = ErrBodyTooLarge
	case errors.Is(err, io.EOF) && s.Taken < s.Length:
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
