// Package faultmatrix checks that docs/fault-matrix.md names only existing tests, and that each of its cells names defined ids.
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
	repositoryRoot   = "../.."
	notProvedCell    = "not proved"
	testIndexHeading = "Index of tests"
	reasonsHeading   = "Why a fault cannot occur at a step"
)

func TestFaultMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fault matrix Suite")
}

// readTables returns the rows of the tables of the page by heading, without header and separator rows.
func readTables() map[string][][]string {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "fault-matrix.md"))
	Expect(err).NotTo(HaveOccurred())
	tables, heading, columns := map[string][][]string{}, "", 0
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "## "); ok {
			heading, columns = name, 0
		}
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case columns == 0:
			columns = len(cells)
		case strings.Trim(line, "|-") != "":
			Expect(cells).To(HaveLen(columns), line)
			tables[heading] = append(tables[heading], cells)
		}
	}
	return tables
}

// testSource returns the concatenated source of all test files in the directory of a package, relative to the repository root.
func testSource(packageDir string) string {
	files, err := filepath.Glob(filepath.Join(repositoryRoot, packageDir, "*_test.go"))
	Expect(err).NotTo(HaveOccurred())
	var source strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		source.Write(text)
	}
	return source.String()
}

// declaresTest reports whether the source declares the test: a test function if its name begins with Test, otherwise a spec with
// this text.
func declaresTest(source, test string) bool {
	if strings.HasPrefix(test, "Test") {
		return strings.Contains(source, "func "+test+"(t *testing.T)")
	}
	spec := regexp.MustCompile(`\b(It|Entry|DescribeTable)\(` + regexp.QuoteMeta(strconv.Quote(test)) + `,`)
	return spec.MatchString(source)
}

// Guards against a page that names a test that was renamed or removed.
var _ = It("names only tests that exist", func() {
	index := readTables()[testIndexHeading]
	Expect(index).NotTo(BeEmpty())
	for _, row := range index {
		Expect(declaresTest(testSource(row[1]), row[2])).To(BeTrue(), "%v", row)
	}
})

// Guards against a cell that is empty or names an undefined id, and against ids that are defined twice or never used.
var _ = It("names defined ids or not proved in every cell and uses every id", func() {
	tables, defined, used := readTables(), map[string]bool{}, map[string]bool{}
	for _, heading := range []string{testIndexHeading, reasonsHeading} {
		for _, row := range tables[heading] {
			Expect(defined[row[0]]).To(BeFalse(), "id %s is defined twice", row[0])
			defined[row[0]] = true
		}
	}
	for _, heading := range []string{"Steps of a request", "Steps of a change", "Pairs of faults"} {
		Expect(tables[heading]).NotTo(BeEmpty(), heading)
		for _, row := range tables[heading] {
			for _, cell := range row[1:] {
				if cell == notProvedCell {
					continue
				}
				for id := range strings.SplitSeq(cell, ", ") {
					Expect(defined[id]).To(BeTrue(), "%s: %s: id %q", heading, row[0], id)
					used[id] = true
				}
			}
		}
	}
	for id := range defined {
		Expect(used[id]).To(BeTrue(), "id %s is not used", id)
	}
})
