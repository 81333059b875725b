package peer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const secret = "0123456789abcdef"

// text is the parameter and the result of the test methods.
type text struct {
	Text string `json:"text"`
}

// options returns options with short timeouts and low limits.
func options() peer.Options {
	return peer.Options{ID: "vm-1", Secret: secret, CallTimeout: 300 * time.Millisecond, MaxCalls: 2,
		FrameLimit: 4096, Metrics: metrics.NewSet()}
}

// start runs a server until the end of the spec.
func start(o peer.Options, address string) (*peer.Server, string) {
	s := peer.NewServer(o)
	l, err := peer.Listen(address)
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	DeferCleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

var _ = Describe("Server", func() {
	// Guards against a process that ends when it runs out of file descriptors for a moment, and against one that continues without a
	// listener.
	DescribeTable("serves on after a temporary error of its listener, and ends with it", func(err error) {
		l, listenErr := peer.Listen("127.0.0.1:0")
		Expect(listenErr).NotTo(HaveOccurred())
		s := peer.NewServer(options())
		DeferCleanup(func() { _ = s.Close() })
		peer.Handle(s, "echo", func(_ context.Context, t text) (text, error) { return t, nil })
		served := make(chan error, 1)
		go func() { served <- s.Serve(&testsupport.FailingListener{Listener: l, Err: err}) }()
		var result text
		Expect(pool(options()).Call(context.Background(), l.Addr().String(), "echo", text{"hello"}, &result)).To(Succeed())
		Expect(result.Text).To(Equal("hello"))
		Expect(served).NotTo(Receive())
		Expect(l.Close()).To(Succeed())
		Eventually(served).Should(Receive(MatchError(net.ErrClosed)))
	},
		Entry("no file descriptors of the process", syscall.EMFILE),
		Entry("no file descriptors of the system", syscall.ENFILE),
		Entry("a connection that failed before", syscall.ECONNABORTED),
	)
})

// pool returns a pool that is closed at the end of the spec.
func pool(o peer.Options) *peer.Pool {
	p := peer.NewPool(o)
	DeferCleanup(p.Close)
	return p
}

var _ = Describe("calls", func() {
	ctx := context.Background()

	// Guards against concurrent calls whose responses are lost or swapped, and against a wrong caller id in a handler.
	It("answers concurrent calls and identifies the caller", func() {
		o := options()
		o.MaxCalls = 32
		s, address := start(o, "127.0.0.1:0")
		peer.Handle(s, "echo", func(ctx context.Context, r text) (text, error) {
			return text{peer.Caller(ctx) + r.Text}, nil
		})
		o.ID = "vm-2"
		p := pool(o)
		results := make(chan string, 20)
		for i := range 20 {
			go func() {
				r, err := peer.Call[text](ctx, p, address, "echo", text{string(rune('a' + i))})
				results <- r.Text + map[bool]string{true: "", false: " failed"}[err == nil]
			}()
		}
		seen := map[string]bool{}
		for range 20 {
			seen[<-results] = true
		}
		Expect(seen).To(HaveLen(20))
		Expect(seen).To(HaveKey("vm-2t"))
		Expect(p.Traffic().BytesSent).To(Equal(s.Traffic().BytesReceived))
		Expect(p.Traffic().WireBytes()).To(BeNumerically(">", p.Traffic().BytesSent+p.Traffic().BytesReceived))
	})

	// Guards against calls that are run without the shared secret, from a pool and from a raw connection without peer.hello.
	It("refuses a wrong secret and a method before peer.hello", func() {
		s, address := start(options(), "127.0.0.1:0")
		ran := make(chan struct{}, 1)
		peer.Handle(s, "echo", func(context.Context, text) (text, error) { ran <- struct{}{}; return text{}, nil })
		o := options()
		o.Secret = "another secret of the same kind"
		Expect(pool(o).Call(ctx, address, "echo", text{}, nil)).To(MatchError(peer.ErrUnauthorized))
		raw, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		body := `{"jsonrpc":"2.0","id":1,"method":"echo","params":{}}`
		_, err = raw.Write(append([]byte{byte(len(body))}, body...))
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 4096)
		for err == nil { // until the server closes the connection
			_, err = raw.Read(answer)
		}
		Expect(string(answer)).To(ContainSubstring("refused the shared secret"))
		Expect(ran).NotTo(Receive())
	})

	// Guards against reuse of a connection whose peer has stopped responding, and against unbounded calls on one connection.
	It("closes a connection whose call timed out and bounds concurrent calls", func() {
		s, address := start(options(), "127.0.0.1:0")
		entered, release := make(chan struct{}, 3), make(chan struct{})
		peer.Handle(s, "block", func(context.Context, text) (text, error) {
			entered <- struct{}{}
			<-release
			return text{}, nil
		})
		peer.Handle(s, "echo", func(_ context.Context, r text) (text, error) { return r, nil })
		p := pool(options())
		results := make(chan error, 2)
		for range 2 {
			go func() { results <- p.Call(ctx, address, "block", text{}, nil) }()
			<-entered
		}
		Expect(p.Call(ctx, address, "echo", text{}, nil)).To(MatchError(peer.ErrBusy))
		kinds := []error{<-results, <-results}
		Expect(kinds).To(ContainElement(MatchError(peer.ErrTimeout)))
		Expect(p.Call(ctx, address, "echo", text{}, nil)).To(Succeed())
		close(release)
	})

	// Guards against a pool that does not reconnect to a peer after the peer's restart.
	It("reports a refused connection and reconnects after a restart", func() {
		s, address := start(options(), "127.0.0.1:0")
		Expect(s.Close()).To(Succeed())
		p := pool(options())
		Expect(p.Call(ctx, address, "echo", text{}, nil)).To(MatchError(peer.ErrUnreachable))
		s, _ = start(options(), address)
		received := make(chan string, 1)
		peer.Handle(s, "note", func(_ context.Context, r text) (text, error) { received <- r.Text; return r, nil })
		Eventually(func() error { return p.Notify(ctx, address, "note", text{"hello"}) }, "5s").Should(Succeed())
		Eventually(received, "5s").Should(Receive(Equal("hello")))
	})

	// Guards against errors of a peer's handler that close the connection or are reported as transport errors.
	It("returns the peer's errors and keeps the connection open", func() {
		s, address := start(options(), "127.0.0.1:0")
		peer.Handle(s, "fail", func(context.Context, text) (text, error) { return text{}, errors.New("no such record") })
		peer.Handle(s, "large", func(context.Context, text) (text, error) { return text{strings.Repeat("x", 9000)}, nil })
		p := pool(options())
		Expect(p.Call(ctx, address, "fail", text{}, nil)).To(And(MatchError(peer.ErrRemote),
			MatchError(ContainSubstring("no such record"))))
		Expect(p.Call(ctx, address, "none", text{}, nil)).To(MatchError(ContainSubstring("no method none")))
		Expect(p.Call(ctx, address, "fail", []int{1}, nil)).To(MatchError(ContainSubstring("cannot unmarshal")))
		Expect(p.Call(ctx, address, "large", text{}, nil)).To(MatchError(ContainSubstring("exceed the limit")))
		Expect(p.Call(ctx, address, "fail", text{strings.Repeat("x", 9000)}, nil)).To(MatchError(peer.ErrFrame))
		Expect(p.Call(ctx, address, "fail", text{}, nil)).To(MatchError(peer.ErrRemote))
	})

	// Guards against idle connections that are never closed, and against messages that are lost because their connection was
	// closed as idle.
	It("closes idle connections and reopens them", func() {
		o := options()
		o.IdleTimeout = 20 * time.Millisecond
		s, address := start(options(), "127.0.0.1:0")
		peer.Handle(s, "echo", func(_ context.Context, r text) (text, error) { return r, nil })
		p := pool(o)
		Expect(p.Call(ctx, address, "echo", text{}, nil)).To(Succeed())
		Eventually(s.Connections, "5s").Should(BeZero())
		Expect(p.Call(ctx, address, "echo", text{}, nil)).To(Succeed())
	})
})
