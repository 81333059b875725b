package backend

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrPattern reports bytes that are not those of an answer of /bytes/{n}.
var ErrPattern = errors.New("body is not the pattern")

// patternChunk is the number of bytes that are compared at once.
const patternChunk = 32 << 10

// CheckPattern reads a body to its end and compares it with an answer of /bytes/{size}. Errors: ErrPattern, or that of
// the reader.
func CheckPattern(body io.Reader, size int64) error {
	checker := &patternChecker{}
	if _, err := io.Copy(checker, body); err != nil {
		return err
	}
	if checker.offset != size {
		return errors.Wrapf(ErrPattern, "%d bytes look complete, want %d", checker.offset, size)
	}
	return nil
}

// patternChecker is a writer that compares with the pattern.
type patternChecker struct {
	offset int64
	want   [patternChunk]byte
}

// Write implements io.Writer.
func (c *patternChecker) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		n := min(len(rest), len(c.want))
		Pattern(c.offset, c.want[:n])
		if string(rest[:n]) != string(c.want[:n]) {
			return 0, errors.Wrapf(ErrPattern, "body differs between bytes %d and %d", c.offset, c.offset+int64(n))
		}
		c.offset += int64(n)
		rest = rest[n:]
	}
	return len(p), nil
}
