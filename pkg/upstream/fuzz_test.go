package upstream_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// Guards against responses that callers and this VM read differently: a head that is accepted has the same status and framing for net/http,
// as it is received and as it is relayed.
func FuzzResponseHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 404\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nok",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n\tContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\nTrailer: X-A\r\nSet-Cookie: a=b\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		var header fasthttp.ResponseHeader
		header.SetNoDefaultContentType(true)
		if upstream.ReadResponseHead(bufio.NewReaderSize(bytes.NewReader(received), 16<<10), &header) != nil {
			return
		}
		compareHeads(t, &header, received)
		compareHeads(t, &header, header.Header())
	})
}

// compareHeads fails unless net/http reads the same status and framing from the text of a head.
func compareHeads(t *testing.T, header *fasthttp.ResponseHeader, text []byte) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		t.Fatalf("%q is not accepted by net/http: %v", text, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != header.StatusCode() {
		t.Fatalf("%q: status %d and %d", text, header.StatusCode(), resp.StatusCode)
	}
	if status := resp.StatusCode; status < 200 || status == http.StatusNoContent || status == http.StatusNotModified {
		return // The response has no body, whatever its head says.
	}
	length := int64(max(header.ContentLength(), -1))
	if length != resp.ContentLength {
		t.Fatalf("%q: length %d and %d", text, length, resp.ContentLength)
	}
	if chunked := header.ContentLength() == -1; chunked != (len(resp.TransferEncoding) > 0) {
		t.Fatalf("%q: chunked %t and %q", text, chunked, resp.TransferEncoding)
	}
}
