package backend

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrPatternMismatch is returned for a body that differs from the response to /bytes/{n}.
var ErrPatternMismatch = errors.New("body does not match the pattern")

// patternChunk is the number of bytes that are compared at a time.
const patternChunk = 32 << 10

// CheckPattern reads a body to its end and compares it with the response to /bytes/{size}. It returns
// ErrPatternMismatch if they differ, or the error of the reader.
func CheckPattern(body io.Reader, size int64) error {
	checker := &patternChecker{}
	if _, err := io.Copy(checker, body); err != nil {
		return err
	}
	if checker.offset != size {
		return errors.Wrapf(ErrPatternMismatch, "body ended after %d bytes, want %d", checker.offset, size)
	}
	return nil
}

// patternChecker is a writer that compares the written bytes with the pattern.
type patternChecker struct {
	offset int64
	want   [patternChunk]byte
}

// Write implements io.Writer.
func (c *patternChecker) Write(p []byte) (int, error) {
	for remaining := p; len(remaining) > 0; {
		n := min(len(remaining), len(c.want))
		FillPattern(c.offset, c.want[:n])
		if string(remaining[:n]) != string(c.want[:n]) {
			return 0, errors.Wrapf(ErrPatternMismatch, "body differs between bytes %d and %d", c.offset, c.offset+int64(n))
		}
		c.offset += int64(n)
		remaining = remaining[n:]
	}
	return len(p), nil
}
