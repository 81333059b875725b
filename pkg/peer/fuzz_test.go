package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// FuzzFrame guards against frames that crash the reader, exceed the limit or change when written again.
func FuzzFrame(f *testing.F) {
	for _, body := range []string{`{"jsonrpc":"2.0","method":"peer.hello","params":{"id":"a","secret":"b"},"id":1}`, `{}`, `[]`, `{"id":null}`, `"`} {
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
			var h hello
			_ = decodeParams(*req.Params, &h)
		}
		var out bytes.Buffer
		if err := c.WriteObject(&out, req); err != nil {
			return // a re-encoded request may be larger than the limit
		}
		var again jsonrpc2.Request
		if err := c.ReadObject(bufio.NewReader(&out), &again); err != nil {
			t.Fatalf("cannot read back: %v", err)
		}
		if again.Method != req.Method || again.Notif != req.Notif {
			t.Fatalf("got %q, want %q", again.Method, req.Method)
		}
	})
}

// FuzzParams guards against parameters that crash the decoder instead of being refused.
func FuzzParams(f *testing.F) {
	f.Add([]byte(`{"id":"a","secret":"b"}`))
	f.Add([]byte(`{"id":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var h hello
		if err := decodeParams(data, &h); err == nil && len(data) > 0 && !json.Valid(data) {
			t.Fatalf("accepted invalid JSON %q", data)
		}
	})
}
