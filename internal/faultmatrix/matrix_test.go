// Package faultmatrix checks docs/fault-matrix.md against the tests in the source.
package faultmatrix

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	root       = "../.."
	notProved  = "not proved"
	testIndex  = "Index of tests"
	reasonList = "Why a fault cannot occur at a step"
)

func TestFaultMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fault matrix Suite")
}

// sections returns the rows of the tables of the page, without head and rule, by heading.
func sections() map[string][][]string {
	page, err := os.ReadFile(filepath.Join(root, "docs", "fault-matrix.md"))
	Expect(err).NotTo(HaveOccurred())
	tables, heading, width := map[string][][]string{}, "", 0
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "## "); ok {
			heading, width = name, 0
		}
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case width == 0:
			width = len(cells)
		case strings.Trim(line, "|-") != "":
			Expect(cells).To(HaveLen(width), line)
			tables[heading] = append(tables[heading], cells)
		}
	}
	return tables
}

// testSource returns the text of all test files of a package.
func testSource(name string) string {
	files, err := filepath.Glob(filepath.Join(root, name, "*_test.go"))
	Expect(err).NotTo(HaveOccurred())
	var all strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		all.Write(text)
	}
	return all.String()
}

// declared reports whether the source declares a test function or a spec with this text.
func declared(source, test string) bool {
	if strings.HasPrefix(test, "Test") {
		return strings.Contains(source, "func "+test+"(t *testing.T)")
	}
	spec := regexp.MustCompile(`\b(It|Entry|DescribeTable)\(` + regexp.QuoteMeta(strconv.Quote(test)) + `,`)
	return spec.MatchString(source)
}

// Guards against a page that names tests which were renamed or removed.
var _ = It("names only tests that exist", func() {
	index := sections()[testIndex]
	Expect(index).NotTo(BeEmpty())
	for _, row := range index {
		Expect(declared(testSource(row[1]), row[2])).To(BeTrue(), "%v", row)
	}
})

// Guards against a cell without a statement, and against ids that nothing explains or uses.
var _ = It("states something in every cell", func() {
	tables, known, used := sections(), map[string]bool{}, map[string]bool{}
	for _, heading := range []string{testIndex, reasonList} {
		for _, row := range tables[heading] {
			Expect(known[row[0]]).To(BeFalse(), "id %s twice", row[0])
			known[row[0]] = true
		}
	}
	for _, heading := range []string{"Steps of a request", "Steps of a change", "Pairs of faults"} {
		Expect(tables[heading]).NotTo(BeEmpty(), heading)
		for _, row := range tables[heading] {
			for _, cell := range row[1:] {
				if cell == notProved {
					continue
				}
				for id := range strings.SplitSeq(cell, ", ") {
					Expect(known[id]).To(BeTrue(), "%s: %s: id %q", heading, row[0], id)
					used[id] = true
				}
			}
		}
	}
	for id := range known {
		Expect(used[id]).To(BeTrue(), "id %s is not used", id)
	}
})
