package vmlist_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/standin/vmlist"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	api "github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

func TestVMList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "vmlist")
}

func vm(id string) api.VM {
	return api.VM{ID: id, Role: api.RoleEntry, Region: "dakar", State: api.StateLive, Address: "127.0.0.1:1"}
}

var _ = Describe("the VM list", func() {
	var (
		manualClock *clock.Manual
		service     *vmlist.Service
		client      *api.Client
		address     string
	)

	BeforeEach(func() {
		manualClock = clock.NewManual(time.Unix(1_000_000, 0))
		var err error
		service, err = vmlist.New(vmlist.Options{Clock: manualClock, VMs: []api.VM{vm("a"), vm("b")}, Lag: 2 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		go func() { _ = service.Serve(ln) }()
		DeferCleanup(service.Close)
		client = api.NewClient(address)
	})

	sendRequest := func(method, path, body string) int {
		req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		return response.StatusCode
	}
	listedIDs := func() string {
		vms, _, err := client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		for _, vm := range vms {
			text.WriteString(vm.ID)
		}
		return text.String()
	}

	// Guards against a change that becomes visible before the lag has passed or out of order.
	It("shows changes after the lag", func() {
		Expect(sendRequest("PUT", "/vms/c", `{"role": "backend", "state": "leaving", "service": "s"}`)).To(Equal(http.StatusNoContent))
		manualClock.Advance(time.Second)
		Expect(sendRequest("DELETE", "/vms/a", "")).To(Equal(http.StatusNoContent))
		Expect(listedIDs()).To(Equal("ab"))
		manualClock.Advance(time.Second)
		Expect(listedIDs()).To(Equal("abc"))
		manualClock.Advance(time.Second)
		Expect(listedIDs()).To(Equal("bc"))
		Expect(sendRequest("PUT", "/vms", `{"vms": [{"id": "z", "role": "entry", "state": "live"}]}`)).To(Equal(http.StatusNoContent))
		manualClock.Advance(2 * time.Second)
		Expect(listedIDs()).To(Equal("z"))
	})

	// Guards against an unchanged list that is sent again, and against a changed list with an unchanged ETag.
	It("does not send a list whose ETag is unchanged", func() {
		_, changed, err := client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		_, changed, err = client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
		service.Remove("a")
		manualClock.Advance(2 * time.Second)
		vms, changed, err := client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(vms).To(HaveLen(1))
	})

	// Guards against faults that modify the true list.
	It("injects faults and recovers", func() {
		Expect(sendRequest("POST", "/faults",
			`{"wrong": [{"id": "x", "role": "entry", "state": "live"}], "hidden": ["a"], "lagMs": 0}`)).To(Equal(http.StatusOK))
		Expect(listedIDs()).To(Equal("bx"))
		Expect(sendRequest("POST", "/faults", `{"wrong": [], "hidden": [], "frozen": true}`)).To(Equal(http.StatusOK))
		service.Remove("b")
		Expect(listedIDs()).To(Equal("ab"))
		Expect(sendRequest("POST", "/faults", `{"frozen": false, "down": true}`)).To(Equal(http.StatusOK))
		_, _, err := client.Get(context.Background())
		Expect(err).To(MatchError(api.ErrUnavailable))
		Expect(sendRequest("POST", "/faults", `{"down": false}`)).To(Equal(http.StatusOK))
		Expect(listedIDs()).To(Equal("a"))
	})

	// Guards against a misspelt or contradictory change that is silently accepted.
	DescribeTable("rejects invalid changes", func(method, path, body string) {
		Expect(sendRequest(method, path, body)).To(Equal(http.StatusBadRequest))
		manualClock.Advance(time.Minute)
		Expect(listedIDs()).To(Equal("ab"))
	},
		Entry("unknown fault", "POST", "/faults", `{"frosen": true}`),
		Entry("unknown role", "PUT", "/vms/c", `{"role": "x", "state": "live"}`),
		Entry("unknown state", "PUT", "/vms/c", `{"role": "entry", "state": "gone"}`),
		Entry("ID differs from the path", "PUT", "/vms/c", `{"id": "d", "role": "entry", "state": "live"}`),
		Entry("duplicate ID", "PUT", "/vms",
			`{"vms": [{"id": "d", "role": "entry", "state": "live"}, {"id": "d", "role": "entry", "state": "live"}]}`),
	)
})
