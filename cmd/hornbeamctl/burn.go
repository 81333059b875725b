package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/burn/burnplot"
)

// burnCommand prints the service-level burn over all entry VMs and optionally plots it.
type burnCommand struct {
	SVG string `arg:"--svg" placeholder:"FILE" help:"also plot the last 6 h into this file"`
}

func (c *burnCommand) run(s *session) error {
	report, err := admin.FleetBurn(s.client)
	if err != nil {
		return err
	}
	if c.SVG != "" {
		if err := writePlot(c.SVG, report.Report); err != nil {
			return err
		}
	}
	return printBurn(s.out, report)
}

// printBurn prints a burn report, the number of VMs that it includes and the VMs that are missing.
func printBurn(p printer, report admin.FleetReport) error {
	if p.json {
		return p.print(report, nil, nil)
	}
	if err := report.WriteText(p.w); err != nil {
		return err
	}
	fmt.Fprintf(p.w, "counted: %d VMs\n", len(report.Answered))
	for _, m := range report.Missing {
		fmt.Fprintf(p.w, "not counted: %s: %s\n", m.ID, m.Error)
	}
	return nil
}

// writePlot writes the plot of a burn report to an SVG file.
func writePlot(path string, report burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(burnplot.WriteSVG(file, report), file.Close())
}
