package main

import (
	"bytes"
	"context"
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

// Guards against an exit code that lets a deployment script continue with settings that the daemon rejects.
var _ = DescribeTable("check", func(settings string, wantCode int, wantStdout, wantStderr string) {
	path := filepath.Join(GinkgoT().TempDir(), "vm.json")
	if settings != "" {
		Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	}
	var stdout, stderr bytes.Buffer
	Expect(checkSettings(path, &stdout, &stderr)).To(Equal(wantCode))
	Expect(stdout.String()).To(Equal(wantStdout))
	Expect(stderr.String()).To(MatchRegexp(wantStderr))
},
	Entry("valid", sampleSettings(), 0, "settings are valid\n", `^$`),
	Entry("missing file", "", 2, "", `no such file`),
	Entry("faulty", "{\n\"id\": 5}", 2, "", `vm.json: line 2, column \d+: id: want string`),
)

// Guards against rejecting a command line that the operators' documentation shows.
var _ = DescribeTable("command lines", func(wantCheck bool, commandLine ...string) {
	var args arguments
	parser, err := arg.NewParser(arg.Config{}, &args)
	Expect(err).NotTo(HaveOccurred())
	Expect(parser.Parse(commandLine)).To(Succeed())
	Expect(args.Config).To(Equal("vm.json"))
	Expect(args.Check != nil).To(Equal(wantCheck))
},
	Entry("serve", false, "--config", "vm.json"),
	Entry("check", true, "check", "--config", "vm.json"),
	Entry("check, option first", true, "--config", "vm.json", "check"),
)

// Guards against a daemon that starts with invalid settings or reports them as a runtime failure.
var _ = It("refuses to serve with invalid settings", func() {
	var stderr bytes.Buffer
	Expect(serve(context.Background(), filepath.Join(GinkgoT().TempDir(), "none.json"), &stderr)).To(Equal(2))
	Expect(stderr.String()).To(ContainSubstring("none.json"))
})

func sampleSettings() string {
	data, err := os.ReadFile("../../samples/balisage/entry-dakar-a.json")
	if err != nil {
		panic(err)
	}
	return string(data)
}
