package gateway_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
)

func init() { testsupport.FixRapid("20261206", "12") }

// attemptEnds are the ways in which a server ends its response, by name.
var attemptEnds = map[string]func(*receivedRequest, net.Conn) bool{
	"complete":       respondCorrectly,
	"complete-large": respondLarge,
	"broken":         breakOff,
	"broken-chunk":   breakOffChunk,
	"broken-large":   breakOffLarge,
	"reset":          resetWithinBody,
	"silent":         fallSilent,
	"silent-large":   fallSilentLarge,
	"unsigned":       respondUnsigned,
	"failed":         failLarge,
	"together":       respondLargeTogether,
	"closed":         func(*receivedRequest, net.Conn) bool { return false },
}

// attemptEndNames returns the names in a fixed order, so that a seed always gives the same calls.
func attemptEndNames() []string { return slices.Sorted(maps.Keys(attemptEnds)) }

// resetWithinBody resets the connection within the body, as the kernel does for a server that crashes.
func resetWithinBody(r *receivedRequest, c net.Conn) bool {
	writePart(r, c, 200, largeBody, largeBody/2, "Proof: p")
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// fallSilentLarge falls silent after more of the body than is buffered.
func fallSilentLarge(r *receivedRequest, c net.Conn) bool {
	writePart(r, c, 200, 2*largeBody, largeBody, "Proof: p")
	<-r.connectionClosed
	return false
}

// scriptedCall is one request with the ways in which its server and its caller end it.
type scriptedCall struct {
	path, end string
	// closeAfter is the time after which the caller closes its connection at the latest; zero: after the response.
	closeAfter time.Duration
	// closeAfterBytes is the number of bytes of the response after which it closes the connection; zero: no limit.
	closeAfterBytes int64
}

var scriptedCalls = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptedCall {
	s := scriptedCall{
		path:            rapid.SampledFrom([]string{"/safe/", "/once/"}).Draw(t, "path"),
		end:             rapid.SampledFrom(attemptEndNames()).Draw(t, "end"),
		closeAfter:      time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 20, 100, 500}).Draw(t, "closeAfterMs")) * time.Millisecond,
		closeAfterBytes: rapid.SampledFrom([]int64{0, 0, 1, streamBody / 4, largeBody / 2}).Draw(t, "closeAfterBytes"),
	}
	if s.closeAfterBytes > 0 && s.closeAfter == 0 {
		s.closeAfter = routeTimeout // The response may be shorter.
	}
	return s
}), 8, 16)

func (s scriptedCall) run(f *fixture, id string) {
	c := f.dial()
	defer c.Close()
	c.send("GET", s.path, id, nil)
	if s.closeAfter > 0 {
		_ = c.SetReadDeadline(time.Now().Add(s.closeAfter))
	}
	if s.closeAfterBytes > 0 {
		_, _ = io.CopyN(io.Discard, c, s.closeAfterBytes)
		return
	}
	_ = c.receive()
}

var _ = Describe("connections to servers", func() {
	// Guards against a connection that is counted down twice, or never: whatever ends an attempt, its connection is given back
	// exactly once.
	It("are given back exactly once after random ends of attempts", func() {
		const slots = 64
		var (
			mu    sync.Mutex
			ended = map[string]int{}
		)
		respond := func(r *receivedRequest, c net.Conn) bool {
			end, _, _ := strings.Cut(r.Header.Get("Id"), "/")
			mu.Lock()
			ended[end]++
			mu.Unlock()
			return attemptEnds[end](r, c)
		}
		first, second := startBackend(respond), startBackend(respond)
		f := startGatewayWithSlots(slots, first, second)
		gauge := metrics.GetOrCreateGauge("hornbeamway_upstream_open_connections", nil)
		Expect(gauge.Get()).To(BeZero())
		open := func() int {
			return f.Servers.OpenConnections(first.address) + f.Servers.OpenConnections(second.address)
		}
		stop := testsupport.WatchRange(500*time.Microsecond, open)
		calls := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var running sync.WaitGroup
			for _, s := range scriptedCalls.Draw(t, "calls") {
				id := fmt.Sprintf("%s/%d", s.end, calls)
				calls++
				running.Go(func() {
					defer GinkgoRecover()
					s.run(f, id)
				})
			}
			running.Wait()
			Eventually(func() int {
				f.Servers.CloseIdle(first.address)
				f.Servers.CloseIdle(second.address)
				return open()
			}, "5s", "10ms").Should(BeZero())
		})
		lowest, _ := stop()
		Expect(lowest).To(BeNumerically(">=", 0))
		Eventually(gauge.Get).Should(BeZero())
		// A request is in flight until its response has been written; its connection is given back before that.
		Eventually(f.InFlight).Should(BeZero())
		mu.Lock()
		defer mu.Unlock()
		Expect(ended).To(HaveLen(len(attemptEnds)))
	})
})
