package buildinfo

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBuildInfo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "buildinfo")
}

// Guards against a build from modified sources that reports an unmodified revision.
var _ = DescribeTable("formats the build information", func(settings []debug.BuildSetting, want string) {
	info := &debug.BuildInfo{GoVersion: "go1.26", Main: debug.Module{Version: "v1.2.3"}, Settings: settings}
	Expect(line("hornbeamway", info)).To(Equal(want))
},
	Entry("without revision", nil, "hornbeamway v1.2.3 go1.26"),
	Entry("clean", []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "false"}},
		"hornbeamway v1.2.3 revision abc go1.26"),
	Entry("modified", []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}},
		"hornbeamway v1.2.3 revision abc (modified) go1.26"),
)
