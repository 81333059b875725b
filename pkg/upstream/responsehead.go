package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedResponse reports a response whose head is not that of an HTTP/1.1 or HTTP/1.0 response. Nothing that it states is used, and
// the request may have been run.
var ErrMalformedResponse = errors.New("malformed response")

// malformedResponses is the number of responses that were rejected with ErrMalformedResponse.
var malformedResponses = metrics.NewCounter(`hornbeamway_upstream_malformed_responses_total`)

// readResponseHead reads the head of a response. All heads are checked here, before any of their values are used, because fasthttp
// accepts malformed ones: it takes status 000 for 200, keeps names with blanks, and ignores an encoding in HTTP/1.0.
func readResponseHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	err := awaitValidHead(r)
	if err == nil {
		// The whole head is in the buffer of r, so that an error is not one of the connection.
		if err = h.Read(r); err != nil {
			err = errors.Wrapf(ErrMalformedResponse, "%v", err)
		}
	}
	if errors.Is(err, ErrMalformedResponse) {
		malformedResponses.Inc()
	}
	return err
}

// awaitValidHead waits until the whole head of a response is in the buffer of r, and checks it. It reads nothing from r.
func awaitValidHead(r *bufio.Reader) error {
	var check headCheck
	for {
		head, _ := r.Peek(r.Buffered())
		if complete, err := check.next(head); complete || err != nil {
			return err
		}
		switch _, err := r.Peek(len(head) + 1); {
		case errors.Is(err, bufio.ErrBufferFull):
			return errors.Wrapf(ErrMalformedResponse, "the head is larger than %d bytes", r.Size())
		case errors.Is(err, io.EOF) && len(head) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// headCheck checks the lines of a response head as they arrive.
type headCheck struct {
	// checked is the number of bytes of the lines that were checked.
	checked int
	// earlierVersion is true for HTTP/1.0, hasLength and hasEncoding if there is a Content-Length or a Transfer-Encoding.
	earlierVersion, hasLength, hasEncoding bool
}

// next checks the lines in head, which begins with the status line, that were not checked before. It reports whether head is complete.
func (c *headCheck) next(head []byte) (complete bool, err error) {
	for {
		line, _, found := bytes.Cut(head[c.checked:], []byte("\n"))
		if !found {
			return false, nil
		}
		first := c.checked == 0
		c.checked += len(line) + 1
		line, terminated := bytes.CutSuffix(line, []byte("\r"))
		switch {
		case !terminated:
			err = malformed("line ends with a bare line feed", line)
		case first:
			c.earlierVersion = bytes.HasPrefix(line, []byte(earlierVersion))
			err = checkStatusLine(line)
		case len(line) == 0:
			return true, c.checkFraming()
		default:
			err = c.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// checkStatusLine checks the first line of a response (RFC 9112, section 4). The space before an empty reason may be missing.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isSupportedVersion(version) || !isStatus(status) || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed("status line", line)
	}
	return nil
}

// checkField checks a header field (RFC 9112, section 5). A name with a blank is rejected, as is one that a blank precedes or follows: the
// line would be relayed, or taken for the continuation of the one before it, so that a length or an encoding is lost.
func (c *headCheck) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("header field", line)
	}
	c.hasLength = c.hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
	c.hasEncoding = c.hasEncoding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	return nil
}

// checkFraming rejects heads of which two readers may derive different bodies (RFC 9112, section 6.1).
func (c *headCheck) checkFraming() error {
	switch {
	case c.hasEncoding && c.hasLength:
		return errors.Wrap(ErrMalformedResponse, "both Transfer-Encoding and Content-Length")
	case c.hasEncoding && c.earlierVersion:
		return errors.Wrap(ErrMalformedResponse, "Transfer-Encoding in "+earlierVersion)
	}
	return nil
}

// The supported versions of the protocol.
const (
	currentVersion = "HTTP/1.1"
	earlierVersion = "HTTP/1.0"
)

func isSupportedVersion(version []byte) bool {
	return string(version) == currentVersion || string(version) == earlierVersion
}

// isStatus reports whether status is a number from 100 to 599 (RFC 9110, section 15).
func isStatus(status []byte) bool {
	return len(status) == 3 && status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// maxLoggedLine is the number of bytes of a malformed line that are included in an error.
const maxLoggedLine = 64

func malformed(fault string, line []byte) error {
	return errors.Wrapf(ErrMalformedResponse, "%s: %q", fault, line[:min(len(line), maxLoggedLine)])
}
