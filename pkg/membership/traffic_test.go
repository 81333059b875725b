package membership_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// testVM is the membership of one VM with its peer server and pool.
type testVM struct {
	*membership.Service
	server *peer.Server
	pool   *peer.Pool
}

// fixedList implements vmlist.List with a list that is reported as changed at each read.
type fixedList []vmlist.VM

func (l fixedList) Get(context.Context) ([]vmlist.VM, bool, error) { return l, true, nil }

// startVMs runs n VMs in two regions on loopback. Ids and addresses are as long as in production.
func startVMs(n int) (vms []*testVM, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var list fixedList
	var done sync.WaitGroup
	for i := range n {
		o := peer.Options{ID: fmt.Sprintf("entry-tamba-%03d", i), Secret: "0123456789abcdef", Metrics: metrics.NewSet()}
		l, err := peer.Listen("127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		vm := &testVM{server: peer.NewServer(o), pool: peer.NewPool(o)}
		region := fmt.Sprint("region-", i%2)
		self := membership.Member{ID: o.ID, Region: region, DataCentre: fmt.Sprint(region, "-", i%4/2),
			Forward: "127.0.0.1:65535", Peer: l.Addr().String(), Admin: "127.0.0.1:65535"}
		list = append(list, vmlist.VM{ID: o.ID, Role: vmlist.RoleEntry, Peer: self.Peer})
		vm.Service = membership.NewService(membership.Options{Self: self, Sender: vm.pool, Clock: clock.System{},
			Seed: uint64(i + 1), List: &list, Status: func() membership.HeartbeatStatus {
				return membership.HeartbeatStatus{PresetVersion: 123456, LogOffset: 123460, LogAge: time.Second}
			}})
		vm.Register(vm.server)
		go func() { _ = vm.server.Serve(l) }()
		vms = append(vms, vm)
	}
	for _, vm := range vms {
		done.Add(1)
		go func() { defer done.Done(); vm.Run(ctx) }()
	}
	return vms, func() {
		cancel()
		done.Wait()
		for _, vm := range vms {
			vm.pool.Close()
			_ = vm.server.Close()
		}
	}
}

// allAlive reports whether every VM has every VM as alive.
func allAlive(vms []*testVM) bool {
	for _, vm := range vms {
		if len(vm.AliveInRegion("region-0"))+len(vm.AliveInRegion("region-1")) != len(vms) {
			return false
		}
	}
	return true
}

// wireBytes returns the bytes that all VMs have sent and received, including TCP/IP headers.
func wireBytes(vms []*testVM) (sum uint64) {
	for _, vm := range vms {
		sum += vm.pool.Traffic().WireBytes() + vm.server.Traffic().WireBytes()
	}
	return sum
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// byteBudget is the limit of control traffic per VM in bytes per second, sent plus received, including TCP/IP headers.
const byteBudget = 2048

// Guards against heartbeats that exceed the control budget. The kernel counts the segments on real connections.
var _ = It("keeps 16 VMs within the control budget", func() {
	vms, stop := startVMs(16)
	DeferCleanup(stop)
	Eventually(func() bool { return allAlive(vms) }, "20s", "100ms").Should(BeTrue())
	// When all VMs join at once, control traffic is 3 to 8 KB/s per VM for about 10 s. The budget applies to the steady
	// state, so the measurement starts afterwards.
	<-time.After(10 * time.Second)
	const window = 6 * time.Second
	before, startTime := wireBytes(vms), time.Now()
	<-time.After(window)
	rate := float64(wireBytes(vms)-before) / time.Since(startTime).Seconds() / 16
	GinkgoWriter.Printf("control traffic %.0f B/s per VM\n", rate)
	Expect(rate).To(BeNumerically("<=", byteBudget))
	Expect(rate).To(BeNumerically(">", 300), "heartbeats must be sent")
})

// BenchmarkControlTraffic reports bytes per second and CPU time per VM. One iteration measures for 10 s.
func BenchmarkControlTraffic(b *testing.B) {
	for _, n := range []int{16, 32, 64} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			vms, stop := startVMs(n)
			defer stop()
			for deadline := time.Now().Add(time.Minute); !allAlive(vms); <-time.After(100 * time.Millisecond) {
				if time.Now().After(deadline) {
					b.Fatal("not all members were alive in every view after 1 min")
				}
			}
			<-time.After(20 * time.Second) // wait for the end of the extra traffic of joining
			before, cpu := wireBytes(vms), cpuTime()
			b.ResetTimer()
			for range b.N {
				<-time.After(10 * time.Second)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(wireBytes(vms)-before)/seconds/float64(n), "B/s/node")
			b.ReportMetric(100*(cpuTime()-cpu).Seconds()/seconds/float64(n), "%core/node")
		})
	}
}
