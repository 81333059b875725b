package ingress_test

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
)

// FuzzHead guards against request smuggling, that is, accepting a head whose body length or path another server could interpret
// differently, and against a panic.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET /view?a=b HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET http://shop/view/../x?y HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /view HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST /view HTTP/1.1\nHost: x\nContent-Length : 4\n\n",
		"OPTIONS * HTTP/1.1\r\nHost: x\r\nX: 1\r\n 2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost:0\r\n\n",
		"GET ://?/%2e%2e HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(bytes.NewReader(data))) != nil {
			return
		}
		path := string(ingress.RequestPath(&h))
		if strings.Contains(path, "?") {
			t.Fatalf("path %q has a query", path)
		}
		if ingress.CheckHeaders(&h) != nil {
			return
		}
		raw := strings.ToLower(string(h.RawHeaders()))
		lengths := strings.Count("\n"+raw, "\ncontent-length:")
		encodings := strings.Count("\n"+raw, "\ntransfer-encoding:")
		if lengths+encodings > 1 {
			t.Fatalf("accepted %d Content-Length and %d Transfer-Encoding headers", lengths, encodings)
		}
		if strings.Count(raw, "\n") != strings.Count(raw, "\r\n") || strings.Contains(raw, "\n ") || strings.Contains(raw, "\n\t") {
			t.Fatalf("accepted header lines %q", raw)
		}
		for segment := range strings.SplitSeq(strings.ReplaceAll(strings.ToLower(path), "%2e", "."), "/") {
			if segment == "." || segment == ".." {
				t.Fatalf("accepted path %q", path)
			}
		}
	})
}

// FuzzHeadEnd guards against an end of the head that depends on how the bytes are split into reads, or that lies after the end
// that the HTTP library finds: a request hidden in between would be run.
func FuzzHeadEnd(f *testing.F) {
	f.Add([]byte("\r\nGET /view HTTP/1.1\r\nHost: x\r\n\r\nGET /view HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(7))
	f.Add([]byte("GET / HTTP/1.1\nHost: x\n\nrest"), uint8(1))
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		endWhole, endInParts := ingress.HeadEndForTest(data, len(data)+1), ingress.HeadEndForTest(data, int(step)+1)
		if endWhole != endInParts {
			t.Fatalf("head ends at %d in one read, at %d in reads of %d bytes", endWhole, endInParts, int(step)+1)
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReaderSize(source, len(data)+1024)
		var h fasthttp.RequestHeader
		if h.Read(reader) != nil || ingress.CheckHeaders(&h) != nil {
			return
		}
		if end := len(data) - source.Len() - reader.Buffered(); end < endWhole {
			t.Fatalf("the HTTP library finds the end of the head at %d, the connection at %d: %q", end, endWhole, data)
		}
	})
}
