package entryvm_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/entryvm"
)

// fakeGateway is a gateway without connections. A request arrives right before it refuses the first one.
type fakeGateway struct {
	refusing atomic.Bool
	inFlight atomic.Int64
}

// lateRequestTime is the time that the request takes.
const lateRequestTime = 200 * time.Millisecond

func (*fakeGateway) Drain()                         {}
func (*fakeGateway) RefuseDeadlinesAfter(time.Time) {}
func (*fakeGateway) Connections() int               { return 0 }
func (*fakeGateway) QuietFor() time.Duration        { return time.Hour }
func (g *fakeGateway) InFlight() int64              { return g.inFlight.Load() }

func (g *fakeGateway) Refuse() {
	if g.refusing.Swap(true) {
		return
	}
	g.inFlight.Add(1)
	time.AfterFunc(lateRequestTime, func() { g.inFlight.Add(-1) })
}

var _ = Describe("A planned stop without open connections", func() {
	// Guards against an order on a new connection that a VM accepts and passes on after it has decided to exit, and cuts off: it
	// refused nothing then, because it expected no more connections.
	It("refuses further requests before it exits, and waits for the one that came before", func() {
		const shutdownTimeout = 30 * time.Second
		g := &fakeGateway{}
		started := time.Now()
		entryvm.DrainForTest(g, shutdownTimeout)
		Expect(g.refusing.Load()).To(BeTrue())
		Expect(g.InFlight()).To(BeZero())
		Expect(time.Since(started)).To(BeNumerically("<", shutdownTimeout/2))
	})
})
