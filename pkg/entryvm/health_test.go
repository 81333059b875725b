package entryvm_test

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/entryvm"
)

var _ = Describe("the health server", func() {
	// start serves on a listener whose first Accept fails, and returns the listener and the result of the server.
	start := func(ctx context.Context, err error) (net.Listener, <-chan error) {
		l, listenErr := net.Listen("tcp", "127.0.0.1:0")
		Expect(listenErr).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		served := make(chan error, 1)
		go func() { served <- entryvm.ServeHealthForTest(ctx, &testsupport.FailingListener{Listener: l, Err: err}) }()
		return l, served
	}

	// Guards against a process that ends when it runs out of file descriptors for a moment.
	DescribeTable("serves on after a temporary error of its listener, and ends with its context", func(err error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l, served := start(ctx, err)
		status, _, getErr := fasthttp.GetTimeout(nil, "http://"+l.Addr().String()+"/metrics", 2*time.Second)
		Expect(getErr).NotTo(HaveOccurred())
		Expect(status).To(Equal(fasthttp.StatusOK))
		Expect(served).NotTo(Receive())
		cancel()
		Eventually(served).Should(Receive(BeNil()))
	},
		Entry("no file descriptors of the process", syscall.EMFILE),
		Entry("no file descriptors of the system", syscall.ENFILE),
		Entry("a connection that failed before", syscall.ECONNABORTED),
	)

	// Guards against a process that continues without its health checks.
	It("ends on a permanent error", func() {
		_, served := start(context.Background(), syscall.EINVAL)
		Eventually(served).Should(Receive(MatchError(syscall.EINVAL)))
	})
})
