package testsupport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// RawServer is a server that answers each request with the bytes of its response, whether they are valid HTTP or not, and then closes the
// connection.
type RawServer struct {
	Address string
	// Requests is the number of requests that were received.
	Requests atomic.Int64
	response string
}

// StartRawServer starts a RawServer that runs until the end of the test.
func StartRawServer(tb testing.TB, response string) *RawServer {
	s := &RawServer{response: response}
	s.Address = ServeConns(tb, s.serve)
	return s
}

func (s *RawServer) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	s.Requests.Add(1)
	_, _ = io.WriteString(c, s.response)
}
