package admin_test

import (
	"context"
	"errors"
	"flag"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// logOutput holds the log lines of all tests. The tests run sequentially.
var logOutput = gbytes.NewBuffer()

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	flags := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(logOutput)
	RunSpecs(t, "admin")
}

const (
	operatorCredential = "operator-secret-0001"
	customerCredential = "customer-secret-0001"
)

// fakeSystem implements all interfaces in Options.
type fakeSystem struct {
	state          *preset.State
	status         preset.Status
	members        []membership.Member
	listed         []vmlist.VM
	servers        []vmlist.VM
	notReadyReason string // empty if the VM is ready
	report         burn.Report

	changeErr         error // returned for each change
	proposed          preset.Change
	vetoedOrWithdrawn string // id of the proposal that was vetoed or withdrawn
	progress          *preset.Progress
}

func newFakeSystem() *fakeSystem { return &fakeSystem{state: preset.NewState()} }

func (f *fakeSystem) InForce() *preset.Effective             { return nil }
func (f *fakeSystem) View() (*preset.State, <-chan struct{}) { return f.state, nil }
func (f *fakeSystem) Status() preset.Status                  { return f.status }

func (f *fakeSystem) Bootstrap(context.Context, *preset.File, string) error { return f.changeErr }

func (f *fakeSystem) Propose(_ context.Context, c preset.Change) (string, error) {
	f.proposed = c
	if f.changeErr != nil && !errors.Is(f.changeErr, preset.ErrUndecided) {
		return "", f.changeErr
	}
	return "p1", f.changeErr
}

func (f *fakeSystem) Veto(_ context.Context, proposal, _ string) error {
	f.vetoedOrWithdrawn = proposal
	return f.changeErr
}

func (f *fakeSystem) Withdraw(_ context.Context, proposal, _ string) error {
	f.vetoedOrWithdrawn = proposal
	return f.changeErr
}

func (f *fakeSystem) Watch(context.Context, string) <-chan preset.Progress {
	c := make(chan preset.Progress, 1)
	if f.progress != nil {
		c <- *f.progress
	}
	close(c)
	return c
}

func (f *fakeSystem) Self() membership.Member                        { return membership.Member{ID: "vm1"} }
func (f *fakeSystem) Members() []membership.Member                   { return f.members }
func (f *fakeSystem) Alive(string) []membership.Member               { return nil }
func (f *fakeSystem) AliveInRegion(string) []membership.Member       { return nil }
func (f *fakeSystem) Subscribe() <-chan struct{}                     { return nil }
func (f *fakeSystem) ListedEntryVMs() []vmlist.VM                    { return f.listed }
func (f *fakeSystem) Servers() []vmlist.VM                           { return f.servers }
func (f *fakeSystem) Runners() map[dispatch.PoolKey]*dispatch.Runner { return nil }
func (f *fakeSystem) Report() burn.Report                            { return f.report }

// serve starts an API server backed by the fake and returns its address.
func (f *fakeSystem) serve(readTimeout time.Duration) string {
	s := admin.New(admin.Options{
		Credentials:   config.Credentials{Operator: operatorCredential, Customer: customerCredential},
		Configuration: f, Changer: f, Watcher: f, Members: f, Pools: f, Burn: f,
		Ready:       func() (bool, string) { return f.notReadyReason == "", f.notReadyReason },
		ReadTimeout: readTimeout,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	DeferCleanup(func() {
		Expect(s.Close()).To(Succeed())
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
	})
	return listener.Addr().String()
}
