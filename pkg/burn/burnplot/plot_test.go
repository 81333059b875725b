package burnplot_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/burn/burnplot"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

func TestBurnPlot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burnplot")
}

// Guards against SVG that is not well-formed XML, also when there is nothing to plot or more lines than are drawn.
var _ = DescribeTable("writes well-formed SVG", func(rows int) {
	report := burn.Report{At: time.Unix(1_700_000_000, 0)}
	for range rows {
		report.Rows = append(report.Rows, burn.Row{
			Service: `a<"b`, Target: 0.5, Window: unit.Duration(time.Hour), History: []burn.Count{{Calls: 2, Bad: 1}, {}},
		})
	}
	var svg bytes.Buffer
	Expect(burnplot.WriteSVG(&svg, report)).To(Succeed())
	Expect(svg.String()).To(ContainSubstring("<svg"))
	decoder := xml.NewDecoder(&svg)
	var err error
	for err == nil {
		_, err = decoder.Token()
	}
	Expect(err).To(Equal(io.EOF))
},
	Entry("nothing", 0),
	Entry("one line", 1),
	Entry("more lines than are drawn", 10),
)
