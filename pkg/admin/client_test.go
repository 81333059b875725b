package admin_test

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
)

// Guards against reporting a veto as successful while it may not be in the log, so that the vetoed change could later come
// into force.
var _ = DescribeTable("returns an error unless a veto or withdrawal has taken effect", func(status int, body string, want any) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Shutdown)
	client := admin.NewClient(listener.Addr().String(), "credential")
	Expect(client.Veto("p")).To(MatchError(want))
	Expect(client.Withdraw("p")).To(MatchError(want))
},
	Entry("undecided", 504, `{"error":"effect of the append is not known yet"}`, ContainSubstring("not known yet")),
	Entry("too late", 409, `{"error":"proposal p is already accepted"}`, ContainSubstring("already accepted")),
)

// Guards against a veto that is reported as effective because of a response which is not HTTP.
var _ = DescribeTable("does not take a malformed response for success", func(head string) {
	server := testsupport.StartRawServer(GinkgoTB(), fmt.Sprintf("%sContent-Length: 2\r\n\r\n{}", head))
	client := admin.NewClient(server.Address, "credential")
	Expect(client.Veto("p")).To(HaveOccurred())
	_, err := client.Status()
	Expect(err).To(HaveOccurred())
},
	Entry("status 000", "HTTP/1.1 000 OK\r\n"),
	Entry("blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n"),
)
