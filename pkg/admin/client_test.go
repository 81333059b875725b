package admin_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
)

// Guards against a customer who takes a veto for done that may not be in the log: its change came into force later.
var _ = DescribeTable("tells what became of a veto", func(status int, body string, want any) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}}
	go func() { _ = server.Serve(ln) }()
	DeferCleanup(server.Shutdown)
	client := admin.NewClient(ln.Addr().String(), "credential")
	Expect(client.Veto("p")).To(MatchError(want))
	Expect(client.Withdraw("p")).To(MatchError(want))
},
	Entry("undecided", 504, `{"error":"effect of the append is not known yet"}`, ContainSubstring("not known yet")),
	Entry("too late", 409, `{"error":"proposal p is already accepted"}`, ContainSubstring("already accepted")),
)
