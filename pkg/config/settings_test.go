package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const valid = `{ // line 1
"id": "vm1", "region": "dakar",
"dataCentre": "dakar-a",
"addresses": {
  "callers": "10.0.0.1:1",
  "forward": "10.0.0.1:2",
  "peer": "10.0.0.1:3", "admin": "10.0.0.1:4"},
"logService": "10.0.0.2:1", "vmList": "10.0.0.2:2",
"seeds": ["10.0.0.3:3",
  "10.0.0.4:3"],
"credentials": {"operator": "operator-secret-1", "customer": "customer-secret-1",
  "peer": "peer-secret-00001"},
"limits": {
  "connections": 50},
"drainNotice": "2s",
"logLevel": 1}
`

// Guards against validation that changes settings, and defaults that validation rejects.
var _ = It("accepts valid settings and sets defaults", func() {
	s, err := config.Parse([]byte(valid))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.DrainNotice.Std()).To(Equal(2 * time.Second))
	Expect(s.Limits.ConnectionsPerCaller).To(Equal(50))
	s, err = config.Parse([]byte(strings.NewReplacer(`"connections": 50`, ``, `"drainNotice": "2s",`, ``).Replace(valid)))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.DrainNotice.Std()).To(Equal(10 * time.Second))
	Expect([]int{s.Limits.Connections, s.Limits.ConnectionsPerCaller}).To(Equal([]int{20000, 1000}))
})

// Guards against an invalid value that is accepted or reported at the wrong position.
var _ = DescribeTable("rejects an invalid value with line and reason", func(old, new, want string) {
	Expect(strings.Count(valid, old)).To(Equal(1), old)
	_, err := config.Parse([]byte(strings.Replace(valid, old, new, 1)))
	Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
	Expect(err.Error()).To(MatchRegexp(want))
},
	Entry("empty id", `"vm1"`, `""`, `^line 2, .*: id: "" does not match`),
	Entry("id with a space", `"vm1"`, `"vm 1"`, `^line 2, .*: id: `),
	Entry("missing region", `"region": "dakar",`, ``, `^line 1, .*: region: "" does not match`),
	Entry("region with a capital letter", `"dakar"`, `"Dakar"`, `^line 2, .*: region: `),
	Entry("data centre with an underscore", `"dakar-a"`, `"dakar_a"`, `^line 3, .*: dataCentre: `),
	Entry("host name instead of an IP", `10.0.0.1:1`, `entry.example:1`,
		`^line 5, .*: addresses.callers: .* is not an IP address and port`),
	Entry("no port", `10.0.0.1:2`, `10.0.0.1`, `^line 6, .*: addresses.forward: .* is not an IP`),
	Entry("port 0", `10.0.0.1:2`, `10.0.0.1:0`, `^line 6, .*: addresses.forward: .* is not an IP`),
	Entry("port too large", `10.0.0.1:2`, `10.0.0.1:65536`, `^line 6, .*: addresses.forward: .* is not an IP`),
	Entry("wildcard", `10.0.0.1:3`, `0.0.0.0:3`, `^line 7, .*: addresses.peer: .* is not the address of one VM`),
	Entry("duplicate address", `10.0.0.1:4`, `10.0.0.1:3`, `^line 7, .*: addresses.admin: same address as peer`),
	Entry("no log service", `"logService": "10.0.0.2:1",`, ``, `^line 1, .*: logService: "" is not an IP`),
	Entry("VM list without an address", `10.0.0.2:2`, `x`, `^line 8, .*: vmList: "x" is not an IP`),
	Entry("seed", `10.0.0.4:3`, `entry-2:3`, `^line 10, .*: seeds.1: "entry-2:3" is not an IP`),
	Entry("short operator credential", `operator-secret-1`, `short`, `^line 11, .*: credentials.operator: must have 16 to 256`),
	Entry("long customer credential", `customer-secret-1`, strings.Repeat("x", 257),
		`^line 11, .*: credentials.customer: must have 16 to 256`),
	Entry("short peer credential, not the peer address", `peer-secret-00001`, `short`,
		`^line 12, .*: credentials.peer: must have 16`),
	Entry("peer credential with a space", `peer-secret-00001`, `peer secret 00001`,
		`^line 12, .*: credentials.peer: must consist of visible`),
	Entry("customer credential equal to that of the operator", `customer-secret-1`, `operator-secret-1`,
		`^line 11, .*: credentials.customer: must differ from the credential operator`),
	Entry("peer credential equal to that of the operator", `peer-secret-00001`, `operator-secret-1`,
		`^line 12, .*: credentials.peer: must differ from the credential operator`),
	Entry("no connections", `"connections": 50`, `"connections": -1`, `^line 14, .*: limits.connections: must be 1 to 1000000`),
	Entry("too many connections", `"connections": 50`, `"connections": 1000001`, `^line 14, .*: limits.connections: must be`),
	Entry("more connections for one caller than for all", `50}`, `50, "connectionsPerCaller": 51}`,
		`^line 14, .*: limits.connectionsPerCaller: must be 1 to 50`),
	Entry("header size below the minimum", `"connections": 50`, `"headerSize": "1000B"`,
		`^line 14, .*: limits.headerSize: must be 1KiB to 1024KiB`),
	Entry("header size above the maximum", `"connections": 50`, `"headerSize": "2MiB"`,
		`^line 14, .*: limits.headerSize: must be`),
	Entry("size without unit", `"connections": 50`, `"headerSize": 4096`, `^line 14, .*: "4096" is not a size`),
	Entry("short header timeout", `"connections": 50`, `"headerTimeout": "1ms"`,
		`^line 14, .*: limits.headerTimeout: must be 100ms to 5m0s`),
	Entry("long body idle timeout", `"connections": 50`, `"bodyIdleTimeout": "11m"`,
		`^line 14, .*: limits.bodyIdleTimeout: must be 100ms to 10m0s`),
	Entry("short drain notice", `"2s"`, `"1ms"`, `^line 15, .*: drainNotice: must be 100ms to 10m0s`),
	Entry("long drain notice", `"2s"`, `"1h"`, `^line 15, .*: drainNotice: must be`),
	Entry("negative log level", `"logLevel": 1`, `"logLevel": -1`, `^line 16, .*: logLevel: must be 0 to 4`),
	Entry("high log level", `"logLevel": 1`, `"logLevel": 5`, `^line 16, .*: logLevel: must be 0 to 4`),
	Entry("unknown key", `"logLevel"`, `"loglevel2"`, `^line 16, .*: unknown key "loglevel2"`),
)

// Guards against invalid settings in the samples that operators copy.
var _ = It("accepts the samples", func() {
	files, err := filepath.Glob("../../samples/*/entry-*.json")
	Expect(err).NotTo(HaveOccurred())
	counts := map[string]int{}
	for _, file := range files {
		s, err := config.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(file).To(HaveSuffix("entry-" + s.DataCentre + ".json"))
		counts[filepath.Base(filepath.Dir(file))]++
	}
	Expect(counts).To(Equal(map[string]int{"balisage": 4, "imbuto": 4}))
})

// Guards against an error without the name of the file.
var _ = It("reports the name of the file", func() {
	path := filepath.Join(GinkgoT().TempDir(), "vm.json")
	_, err := config.Load(path)
	Expect(err).To(MatchError(config.ErrInvalid))
	Expect(os.WriteFile(path, []byte("{}"), 0o600)).To(Succeed())
	_, err = config.Load(path)
	Expect(err).To(MatchError(HavePrefix(path + ": line 1, column 1: id: ")))
})
