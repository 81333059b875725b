package cluster_test

import (
	"context"
	"os/exec"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Cluster Suite")
}

var bin string

var _ = BeforeSuite(func(ctx SpecContext) {
	bin = GinkgoT().TempDir()
	out, err := exec.CommandContext(ctx, "go", "build", "-o", bin+"/",
		"../../../cmd/hornbeamway", "../../../cmd/hornbeamstandin").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// smallTopology returns a topology of two regions with one entry VM and one server of each service per region.
func smallTopology() cluster.Topology {
	t := cluster.Small()
	t.Places = []cluster.Place{t.Places[0], t.Places[2]}
	t.EntryVMs = 2
	for i := range t.Services {
		t.Services[i].Servers = 2
	}
	return t
}

func startCluster(ctx context.Context) *cluster.Cluster {
	GinkgoHelper()
	c, err := cluster.Start(ctx, cluster.Options{
		Topology: smallTopology(), Bin: bin, Samples: "../../../samples",
		VetoPeriod: 100 * time.Millisecond, DrainNotice: 100 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

func processID(vm *cluster.VM) string { return strconv.Itoa(vm.Process().PID()) }
