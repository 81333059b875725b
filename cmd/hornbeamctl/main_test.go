package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

func TestHornbeamctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hornbeamctl")
}

// fakeAPI is a fake administration API that records the last proposal.
type fakeAPI struct {
	status       admin.Status
	preset       admin.Preset
	lastProposal admin.ProposeRequest
	progress     []preset.Progress
	rejection    *admin.Error
}

func (f *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := any(f.status)
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/presets/ordinary":
		response = f.preset
	case "GET /v1/proposals/p1":
		response = f.progress[0]
		f.progress = f.progress[1:]
	case "POST /v1/proposals":
		_ = json.NewDecoder(r.Body).Decode(&f.lastProposal)
		response = admin.ProposeResponse{ID: "p1"}
		if f.rejection != nil {
			w.WriteHeader(http.StatusConflict)
			response = f.rejection
		}
	}
	_ = json.NewEncoder(w).Encode(response)
}

// start serves the fake API and returns a session that uses it and the output of the session.
func (f *fakeAPI) start(asJSON bool) (*session, *bytes.Buffer) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	out := &bytes.Buffer{}
	return &session{client: admin.NewClient(listener.Addr().String(), ""), out: printer{w: out, json: asJSON}}, out
}

// Guards against a change that is proposed with another base than the operator chose, or for another object.
var _ = DescribeTable("base of a change", func(base, want int64) {
	f := &fakeAPI{status: admin.Status{Version: 9, ActiveVersion: 4}}
	s, _ := f.start(false)
	Expect((&activateCommand{Name: "peak", Base: base}).run(s)).To(Succeed())
	Expect(f.lastProposal).To(Equal(admin.ProposeRequest{Object: "active", Base: want, Content: []byte(`"peak"`)}))
},
	Entry("version in force", int64(baseInForce), int64(4)),
	Entry("given version", int64(2), int64(2)),
	Entry("version 0", int64(0), int64(0)),
)

// Guards against rejecting a stale base without the version that a new proposal must be based on.
var _ = It("reports the version in force when the base is stale", func() {
	inForce := int64(7)
	f := &fakeAPI{rejection: &admin.Error{Error: "conflict on active", InForce: &inForce}}
	s, _ := f.start(false)
	Expect(errorText((&activateCommand{Name: "peak", Base: 2}).run(s))).To(Equal("conflict on active; the version in force is 7"))
})

// Guards against a watch that continues after the decision or does not show the VMs whose confirmation is pending.
var _ = It("prints each phase of a proposal once until it is decided", func() {
	confirming := preset.Progress{Proposal: "p1", Phase: preset.PhaseConfirming, WaitingFor: []string{"vm3", "vm4"}}
	f := &fakeAPI{progress: []preset.Progress{confirming, confirming, {Proposal: "p1", Phase: preset.PhaseAccepted}}}
	s, out := f.start(false)
	s.watchInterval = 1
	Expect((&watchCommand{Proposal: "p1"}).run(s)).To(Succeed())
	Expect(out.String()).To(MatchRegexp(`^PROPOSAL +PHASE\np1 +confirming waiting for vm3, vm4\nPROPOSAL +PHASE\np1 +accepted\n$`))
})

// Guards against tables whose columns are not aligned, and against JSON that scripts cannot parse.
var _ = It("prints tables or JSON", func() {
	f := &fakeAPI{status: admin.Status{VM: "vm1", Active: "peak", Version: 3, InForceCount: 2, Listed: 3, Reason: "stale"}}
	s, out := f.start(false)
	Expect((&statusCommand{}).run(s)).To(Succeed())
	Expect(out.String()).To(MatchRegexp(`^PRESET +VERSION +SINCE +IN FORCE ON +THIS VM\npeak +3 +- +2 of 3 listed VMs +stale\n$`))
	s, out = f.start(true)
	Expect((&statusCommand{}).run(s)).To(Succeed())
	var decoded admin.Status
	Expect(json.Unmarshal(out.Bytes(), &decoded)).To(Succeed())
	Expect(decoded).To(Equal(f.status))
})

// Guards against a burn report that appears complete although VMs are missing.
var _ = It("lists the VMs that are not counted", func() {
	report := admin.FleetReport{
		Report:   burn.Report{Rows: []burn.Row{{Service: "orders", VMs: 2}}},
		Answered: []string{"vm1", "vm2"}, Missing: []admin.MissingVM{{ID: "vm3", Error: "refused"}},
	}
	var text, asJSON bytes.Buffer
	Expect(printBurn(printer{w: &text}, report)).To(Succeed())
	Expect(text.String()).To(HaveSuffix("counted: 2 VMs\nnot counted: vm3: refused\n"))
	Expect(printBurn(printer{w: &asJSON, json: true}, report)).To(Succeed())
	Expect(asJSON.String()).To(ContainSubstring(`"missing"`))
})
