package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alexflint/go-arg"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHornbeamway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hornbeamway")
}

// Guards against a deployment script that goes on with settings that the daemon refuses.
var _ = DescribeTable("check", func(text string, code int, out, faults string) {
	path := filepath.Join(GinkgoT().TempDir(), "vm.json")
	if text != "" {
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	var stdout, stderr bytes.Buffer
	Expect(check(path, &stdout, &stderr)).To(Equal(code))
	Expect(stdout.String()).To(Equal(out))
	Expect(stderr.String()).To(MatchRegexp(faults))
},
	Entry("valid", sample(), 0, "settings are valid\n", `^$`),
	Entry("no file", "", 2, "", `no such file`),
	Entry("faulty", "{\n\"id\": 5}", 2, "", `vm.json: line 2, column \d+: id: want string`),
)

// Guards against a command line of the page for operators that is refused.
var _ = DescribeTable("command lines", func(wantCheck bool, line ...string) {
	var args arguments
	parser, err := arg.NewParser(arg.Config{}, &args)
	Expect(err).NotTo(HaveOccurred())
	Expect(parser.Parse(line)).To(Succeed())
	Expect(args.Config).To(Equal("vm.json"))
	Expect(args.Check != nil).To(Equal(wantCheck))
},
	Entry("serve", false, "--config", "vm.json"),
	Entry("check", true, "check", "--config", "vm.json"),
	Entry("check, option first", true, "--config", "vm.json", "check"),
)

// Guards against a daemon that starts with faulty settings or takes them for a failure at run time.
var _ = It("refuses to serve with faulty settings", func() {
	var stderr bytes.Buffer
	Expect(serve(filepath.Join(GinkgoT().TempDir(), "none.json"), &stderr)).To(Equal(2))
	Expect(stderr.String()).To(ContainSubstring("none.json"))
})

func sample() string {
	data, err := os.ReadFile("../../samples/balisage/entry-dakar-a.json")
	if err != nil {
		panic(err)
	}
	return string(data)
}
