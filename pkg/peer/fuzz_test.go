package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// FuzzFrame guards against frames that crash the reader, are accepted above the limit, or change when they are encoded
// again.
func FuzzFrame(f *testing.F) {
	for _, body := range []string{`{"jsonrpc":"2.0","method":"peer.hello","params":{"id":"a","secret":"b"},"id":1}`,
		`{}`, `[]`, `{"id":null}`, `"`} {
		f.Add(append([]byte{byte(len(body))}, body...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	c := newCodec(1 << 12)
	f.Fuzz(func(t *testing.T, data []byte) {
		var req jsonrpc2.Request
		if err := c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &req); err != nil {
			return
		}
		if req.Params != nil {
			var h helloRequest
			_ = decodeParams(*req.Params, &h)
		}
		var out bytes.Buffer
		if err := c.WriteObject(&out, req); err != nil {
			return // a re-encoded request may be larger than the limit
		}
		var decoded jsonrpc2.Request
		if err := c.ReadObject(bufio.NewReader(&out), &decoded); err != nil {
			t.Fatalf("cannot decode the encoded request again: %v", err)
		}
		if decoded.Method != req.Method || decoded.Notif != req.Notif {
			t.Fatalf("got %q, want %q", decoded.Method, req.Method)
		}
	})
}

// FuzzParams guards against malformed parameters that crash the decoder or are accepted.
func FuzzParams(f *testing.F) {
	f.Add([]byte(`{"id":"a","secret":"b"}`))
	f.Add([]byte(`{"id":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var h helloRequest
		if err := decodeParams(data, &h); err == nil && len(data) > 0 && !json.Valid(data) {
			t.Fatalf("accepted invalid JSON %q", data)
		}
	})
}
