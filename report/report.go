// Package report turns the results of load runs into plots, of latency by
// quantile and of each engine's load and cache reuse over time, and one Markdown
// page with tables. Read reads a result into a Run, and Write writes the report.
//
// A report depends only on the results. It holds no time of day and no machine
// name, and the same results give the same bytes. So a report can be committed
// next to its results, and CI can check that the two agree.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"endiveplank/loadgen"
)

// Formats that plots are written in.
const (
	FormatSVG = "svg"
	FormatPNG = "png"
)

// pageFile is the name of the Markdown page in the report's directory.
const pageFile = "report.md"

// Run is the result of one load run, with the name that its plots carry.
type Run struct {
	Name   string
	Result loadgen.Result
}

// Read reads one result. The run is named after the file, without its extension.
// Read refuses a file of another schema.
func Read(path string) (Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Run{}, eris.Wrap(err, "read result")
	}
	base := filepath.Base(path)
	run := Run{Name: base[:len(base)-len(filepath.Ext(base))]}
	if err := json.Unmarshal(text, &run.Result); err != nil {
		return Run{}, eris.Wrapf(err, "decode %s", base)
	}
	if run.Result.Schema != loadgen.Schema {
		return Run{}, eris.Errorf("%s has schema %q; this tool reads %q", base, run.Result.Schema, loadgen.Schema)
	}
	return run, nil
}

// Write writes the page and the plots of all runs into a directory, which it
// creates if it is missing.
func Write(directory, format string, runs []Run) error {
	if format != FormatSVG && format != FormatPNG {
		return eris.Errorf("format %q is unknown; the formats are svg and png", format)
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "make directory")
	}
	for _, run := range runs {
		for _, figure := range figures {
			drawn, err := figure.draw(run.Result)
			if err != nil {
				return eris.Wrapf(err, "draw %s of %s", figure.name, run.Name)
			}
			path := filepath.Join(directory, figure.fileName(run, format))
			if err := drawn.Save(plotWidth, plotHeight, path); err != nil {
				return eris.Wrapf(err, "save %s of %s", figure.name, run.Name)
			}
		}
	}
	page := filepath.Join(directory, pageFile)
	return eris.Wrap(os.WriteFile(page, []byte(Markdown(runs, format)), 0o644), "write page")
}
