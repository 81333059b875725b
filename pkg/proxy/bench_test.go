package proxy_test

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// BenchmarkCall measures a complete call through one VM, and through an entry VM and a dispatcher VM, from a caller on
// a keep-alive connection to a backend server in this process. The results include the client and the backend server.
func BenchmarkCall(b *testing.B) {
	backend := listen(b)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("colour 7 is green") }}
	go func() { _ = server.Serve(backend) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	local := newVM(b, "e1", []string{backend.Addr().String()}, nil)
	entry := newVM(b, "e2", nil, func(o *proxy.Options) {
		o.Placement = &fakePlacement{targets: []proxy.Target{{Pool: testPool, DispatcherID: "e1", ForwardAddress: local.forward}}}
	})
	b.Run("direct", func(b *testing.B) { benchmarkAddress(b, backend.Addr().String()) })
	b.Run("local", func(b *testing.B) { benchmarkAddress(b, local.callers) })
	b.Run("forwarded", func(b *testing.B) { benchmarkAddress(b, entry.callers) })
}

func benchmarkAddress(b *testing.B, address string) {
	client := &fasthttp.HostClient{Addr: address, MaxConns: 1, Dial: func(a string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(context.Background(), "tcp", a)
	}}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://shop/view/colours?id=7")
	req.Header.Set("Accept", "application/json")
	req.Header.Set("X-Deadline-Ms", "4000")
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
			b.Fatal(err, resp)
		}
	}
}
