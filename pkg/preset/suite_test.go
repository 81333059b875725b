package preset_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// rapidSeed is the default seed of the property tests. The flag -rapid.seed overrides it.
const rapidSeed = "20240229"

// suiteT is the test that runs the suite. Package synctest requires it.
var suiteT *testing.T

func TestPreset(t *testing.T) {
	suiteT = t
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(rapidSeed)
	}
	t.Logf("rapid seed %s, cluster seed %d", flag.Lookup("rapid.seed").Value, clusterSeed)
	RegisterFailHandler(Fail)
	RunSpecs(t, "preset")
}

// Guards against sample preset files with which a deployment cannot be bootstrapped.
var _ = DescribeTable("validates the sample presets",
	func(deployment string) {
		data, err := os.ReadFile("../../samples/" + deployment + "/presets.json")
		Expect(err).NotTo(HaveOccurred())
		f, err := preset.ParseFile(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Active).To(Equal("ordinary"))
		Expect(f.Presets).To(HaveLen(3))
	},
	Entry("Balisage", "balisage"),
	Entry("Imbuto", "imbuto"),
)
