// Package report draws the results of load runs: latency by quantile, load of
// each engine and reuse over time, and one table in Markdown.
//
// A report depends on the results alone. It holds no time of day and no name of
// a machine, and the same results give the same bytes, so that a report can be
// committed beside its results and CI can check that the two agree.
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

// tableFile is the name of the Markdown page in the report's directory.
const tableFile = "report.md"

// Run is one result with the name that its plots carry.
type Run struct {
	Name   string
	Result loadgen.Result
}

// Read reads one result. Its name is that of the file without extension. It
// refuses a file of another schema.
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
// makes when it is missing.
func Write(directory, format string, runs []Run) error {
	if format != FormatSVG && format != FormatPNG {
		return eris.Errorf("format %q is not known; svg and png are", format)
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
			path := filepath.Join(directory, figure.file(run, format))
			if err := drawn.Save(plotWidth, plotHeight, path); err != nil {
				return eris.Wrapf(err, "save %s of %s", figure.name, run.Name)
			}
		}
	}
	page := filepath.Join(directory, tableFile)
	return eris.Wrap(os.WriteFile(page, []byte(Markdown(runs, format)), 0o644), "write page")
}
