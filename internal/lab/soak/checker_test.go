package soak

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

var _ = Describe("the checker", func() {
	const vmName = "vm-01"
	var (
		c      *checker
		now    time.Time
		server *platformserver.Server
		sent   int
	)
	BeforeEach(func() {
		c, now, sent = newChecker(), time.Unix(1000, 0), 0
		c.now = func() time.Time { return now }
		server = &platformserver.Server{ID: "i-001", Service: services[0]}
	})

	// send makes a caller send a request to a VM. The request reaches the server.
	send := func(vm string, s *platformserver.Server) *request {
		sent++
		r := &request{id: fmt.Sprint(sent), vm: vm, sent: now}
		c.requestSent(r)
		c.RequestArrived(s, platformserver.Exchange{RequestID: r.id, ConnRequestID: r.id})
		return r
	}
	healthCheck := func(connRequestID string) {
		c.RequestArrived(server, platformserver.Exchange{ConnRequestID: connRequestID, HealthCheck: true})
	}
	// passOnLeaving makes the server respond that it is leaving, and the VM pass that response on.
	passOnLeaving := func() {
		r := send(vmName, server)
		c.ResponseSent(server, platformserver.Exchange{RequestID: r.id, ConnRequestID: r.id},
			platformserver.Response{Status: 500, Leaving: true})
		c.responseReceived(r, response{status: 500, requestID: r.id, signature: server.ID + "." + r.id})
	}
	// refuse makes the server refuse a request with a hold-off of 3 s.
	refuse := func() *request {
		r := send(vmName, server)
		c.ResponseSent(server, platformserver.Exchange{RequestID: r.id, ConnRequestID: r.id},
			platformserver.Response{Status: 503, RetryAt: now.Add(3 * time.Second)})
		return r
	}
	violated := func() []string { return lo.Map(c.violations, func(v violation, _ int) string { return v.guarantee() }) }
	disturb := func(key string) { c.beginDisturbance(key)() }

	Describe("for servers that state that they leave", func() {
		// Guards against a VM that sends requests to a server after it has passed on that the server is leaving.
		It("reports a request sent later than the drain bound", func() {
			passOnLeaving()
			now = now.Add(drainBound + time.Millisecond)
			send(vmName, server)
			Expect(violated()).To(Equal([]string{"DRAIN"}))
		})

		// Guards against a VM that passes on the statement of an unsigned refusal and does not apply it.
		It("counts an unsigned response that states it", func() {
			r := send(vmName, server)
			c.ResponseSent(server, platformserver.Exchange{RequestID: r.id, ConnRequestID: r.id},
				platformserver.Response{Status: 503, Leaving: true})
			c.responseReceived(r, response{status: 503, requestID: r.id, leaving: true})
			now = now.Add(drainBound + time.Millisecond)
			send(vmName, server)
			Expect(violated()).To(Equal([]string{"DRAIN"}))
		})

		// Guards against a checker that excuses a request by a disturbance which does not make the VM forget the statement.
		It("is not excused by disturbances of the store and of links", func() {
			passOnLeaving()
			disturb(allVMs)
			disturb(storeLink(vmName))
			disturb(server.ID)
			now = now.Add(drainBound + time.Millisecond)
			send(vmName, server)
			Expect(violated()).To(Equal([]string{"DRAIN"}))
		})

		// Guards against a checker that excuses a VM for good after a restart, although it has passed on a further statement since.
		It("applies again after a disturbance of the VM once it passes on a further response", func() {
			passOnLeaving()
			disturb(vmName)
			now = now.Add(time.Second)
			passOnLeaving()
			now = now.Add(drainBound + time.Millisecond)
			send(vmName, server)
			Expect(violated()).To(Equal([]string{"DRAIN"}))
		})

		// Guards against reports of requests that the rule permits.
		DescribeTable("reports nothing", func(act func()) {
			passOnLeaving()
			now = now.Add(drainBound + time.Millisecond)
			act()
			Expect(violated()).To(BeEmpty())
		},
			Entry("at the drain bound", func() { now = now.Add(-time.Millisecond); send(vmName, server) }),
			Entry("for another VM", func() { send("vm-02", server) }),
			Entry("for another start of the server", func() { send(vmName, &platformserver.Server{ID: server.ID}) }),
			Entry("after a disturbance of the VM's process", func() { disturb(vmName); send(vmName, server) }),
			Entry("for a health check", func() { healthCheck("1") }),
			Entry("for a request that is addressed to another server", func() {
				c.requestSent(&request{id: "b", vm: vmName, sent: now})
				c.RequestArrived(server, platformserver.Exchange{RequestID: "b", ConnRequestID: "b", Misdirected: true})
			}),
			Entry("if only another server's response was passed on", func() {
				other := &platformserver.Server{ID: "i-002"}
				r := send(vmName, other)
				c.ResponseSent(other, platformserver.Exchange{RequestID: r.id, ConnRequestID: r.id}, platformserver.Response{Leaving: true})
				c.responseReceived(r, response{status: 500, requestID: r.id, signature: server.ID + "." + r.id})
				now = now.Add(drainBound + time.Millisecond)
				send(vmName, other)
			}),
		)
	})

	Describe("for servers that ask for no requests", func() {
		// Guards against VMs that keep sending requests and health checks to a server that refuses them.
		It("reports the third request or attributable health check", func() {
			r := refuse()
			now = now.Add(holdOffSlack + time.Millisecond)
			send(vmName, server)
			healthCheck(r.id)
			Expect(violated()).To(BeEmpty())
			send(vmName, server)
			Expect(violated()).To(Equal([]string{"BUDGET"}))
		})

		// Guards against reports of requests that the rule permits.
		DescribeTable("reports nothing", func(act func()) {
			refuse()
			now = now.Add(holdOffSlack + time.Millisecond)
			act()
			for range holdOffLimit {
				send(vmName, server)
			}
			Expect(violated()).To(BeEmpty())
		},
			Entry("up to the limit", func() {}),
			Entry("within the slack", func() { now = now.Add(-time.Millisecond); send(vmName, server) }),
			Entry("after the stated time", func() { now = now.Add(3 * time.Second); send(vmName, server) }),
			Entry("beside requests of another VM", func() { send("vm-02", server) }),
			Entry("beside a health check of an unknown VM", func() { healthCheck("") }),
			Entry("after a disturbance of the VM", func() { disturb(vmName); send(vmName, server) }),
			Entry("after a cut of the VM from the store", func() { disturb(storeLink(vmName)); send(vmName, server) }),
			Entry("after a disturbance of the server's link", func() { disturb(server.ID); send(vmName, server) }),
		)
	})
})
