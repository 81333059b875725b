package ingress_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
)

// startFailing serves HTTP on a listener whose first Accept fails with err, and returns its address and the result of Serve.
func startFailing(t *testing.T, err error) (l net.Listener, served <-chan error) {
	plain, listenErr := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(listenErr).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = plain.Close() })
	l = ingress.NewListener(&testsupport.FailingListener{Listener: plain, Err: os.NewSyscallError("accept4", err)},
		ingress.Options{Connections: 10, ConnectionsPerCaller: 10, BodyIdleTimeout: time.Second})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	result := make(chan error, 1)
	go func() { result <- server.Serve(l) }()
	return l, result
}

// Guards against a process that ends when it runs out of file descriptors for a moment.
func TestServerContinuesAfterTemporaryAcceptError(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		t.Run(err.Error(), func(t *testing.T) {
			g := NewWithT(t)
			l, served := startFailing(t, err)
			started := time.Now()
			status, _, getErr := fasthttp.GetTimeout(nil, "http://"+l.Addr().String()+"/", 2*time.Second)
			g.Expect(getErr).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(fasthttp.StatusOK))
			g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			g.Expect(served).NotTo(Receive())
			g.Expect(l.Close()).To(Succeed())
			g.Eventually(served).Should(Receive(BeNil()))
		})
	}
}

// Guards against a process that continues without a listener.
func TestServerEndsOnPermanentAcceptError(t *testing.T) {
	_, served := startFailing(t, syscall.EINVAL)
	var err error
	NewWithT(t).Eventually(served).Should(Receive(&err))
	NewWithT(t).Expect(errors.Is(err, syscall.EINVAL)).To(BeTrue())
}
