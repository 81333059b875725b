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
		now     *clock.Manual
		service *vmlist.Service
		client  *api.Client
		address string
	)

	BeforeEach(func() {
		now = clock.NewManual(time.Unix(1_000_000, 0))
		var err error
		service, err = vmlist.New(vmlist.Options{Clock: now, VMs: []api.VM{vm("a"), vm("b")}, Lag: 2 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		go func() { _ = service.Serve(ln) }()
		DeferCleanup(service.Close)
		client = api.NewClient(address)
	})

	do := func(method, path, body string) int {
		req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		return resp.StatusCode
	}
	ids := func() string {
		vms, _, err := client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		for _, vm := range vms {
			text.WriteString(vm.ID)
		}
		return text.String()
	}

	// Guards against a change that is seen before its lag, or out of order.
	It("shows changes after the lag", func() {
		Expect(do("PUT", "/vms/c", `{"role": "backend", "state": "leaving", "service": "s"}`)).To(Equal(http.StatusNoContent))
		now.Advance(time.Second)
		Expect(do("DELETE", "/vms/a", "")).To(Equal(http.StatusNoContent))
		Expect(ids()).To(Equal("ab"))
		now.Advance(time.Second)
		Expect(ids()).To(Equal("abc"))
		now.Advance(time.Second)
		Expect(ids()).To(Equal("bc"))
		Expect(do("PUT", "/vms", `{"vms": [{"id": "z", "role": "entry", "state": "live"}]}`)).To(Equal(http.StatusNoContent))
		now.Advance(2 * time.Second)
		Expect(ids()).To(Equal("z"))
	})

	// Guards against an unchanged list that is sent again, or a change hidden by its ETag.
	It("answers an unchanged list by its ETag", func() {
		_, changed, err := client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		_, changed, err = client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
		service.Remove("a")
		now.Advance(2 * time.Second)
		vms, changed, err := client.Get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(vms).To(HaveLen(1))
	})

	// Guards against faults that leak into the true list.
	It("plays its faults and recovers", func() {
		Expect(do("POST", "/faults", `{"wrong": [{"id": "x", "role": "entry", "state": "live"}], "hidden": ["a"], "lagMs": 0}`)).To(Equal(http.StatusOK))
		Expect(ids()).To(Equal("bx"))
		Expect(do("POST", "/faults", `{"wrong": [], "hidden": [], "frozen": true}`)).To(Equal(http.StatusOK))
		service.Remove("b")
		Expect(ids()).To(Equal("ab"))
		Expect(do("POST", "/faults", `{"frozen": false, "down": true}`)).To(Equal(http.StatusOK))
		_, _, err := client.Get(context.Background())
		Expect(err).To(MatchError(api.ErrUnavailable))
		Expect(do("POST", "/faults", `{"down": false}`)).To(Equal(http.StatusOK))
		Expect(ids()).To(Equal("a"))
	})

	// Guards against a misspelt or contradictory change that is silently taken.
	DescribeTable("refuses faulty changes", func(method, path, body string) {
		Expect(do(method, path, body)).To(Equal(http.StatusBadRequest))
		now.Advance(time.Minute)
		Expect(ids()).To(Equal("ab"))
	},
		Entry("unknown fault", "POST", "/faults", `{"frosen": true}`),
		Entry("unknown role", "PUT", "/vms/c", `{"role": "x", "state": "live"}`),
		Entry("unknown state", "PUT", "/vms/c", `{"role": "entry", "state": "gone"}`),
		Entry("other id", "PUT", "/vms/c", `{"id": "d", "role": "entry", "state": "live"}`),
		Entry("id twice", "PUT", "/vms", `{"vms": [{"id": "d", "role": "entry", "state": "live"}, {"id": "d", "role": "entry", "state": "live"}]}`),
	)
})
