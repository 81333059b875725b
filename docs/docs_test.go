// Package docs_test compares the pages with the source.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docs")
}

var (
	metricName = regexp.MustCompile(`hornbeamway_[a-z0-9_]+`)
	metricRow  = regexp.MustCompile("(?m)^\\| `(hornbeamway_[a-z0-9_]+)` \\|")
	reasonName = regexp.MustCompile(`Reason\w+ +Reason += "([a-z_]+)"`)
	reasonRow  = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| \\d{3}")
	localLink  = regexp.MustCompile(`\]\(([^):#]+)(#[^)]*)?\)`)
)

func read(path string) string {
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// source returns the Go code of the product without its tests.
func source(dirs ...string) string {
	var text strings.Builder
	for _, dir := range dirs {
		Expect(filepath.WalkDir(filepath.Join("..", dir), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				text.WriteString(read(path))
			}
			return err
		})).To(Succeed())
	}
	return text.String()
}

func sorted(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

func groups(pattern *regexp.Regexp, text string) []string {
	var found []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	return sorted(found)
}

// Guards against a metric that operators cannot look up, and a page that names one that is gone.
var _ = It("lists every metric", func() {
	inSource := sorted(metricName.FindAllString(source("cmd", "pkg", "platform"), -1))
	Expect(inSource).NotTo(BeEmpty())
	Expect(groups(metricRow, read("metrics.md"))).To(Equal(inSource))
})

// Guards against a refusal that operators cannot look up.
var _ = It("lists every reason of a refusal", func() {
	inSource := groups(reasonName, source("pkg/problem"))
	Expect(inSource).To(ContainElement(string(problem.ReasonNoRoute)))
	Expect(groups(reasonRow, read("operators.md"))).To(Equal(inSource))
})

// Guards against links to pages that were moved.
var _ = DescribeTable("links to files that exist", func(page string) {
	for _, target := range groups(localLink, read(page)) {
		Expect(filepath.Join(filepath.Dir(page), target)).To(Or(BeAnExistingFile(), BeADirectory()), page)
	}
},
	Entry(nil, "../README.md"),
	Entry(nil, "operators.md"),
	Entry(nil, "metrics.md"),
	Entry(nil, "platform.md"),
	Entry(nil, "OPERATIONS.md"),
)
