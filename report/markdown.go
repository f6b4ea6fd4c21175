package report

import (
	"fmt"
	"strings"

	"endiveplank/loadgen"
)

// Markdown returns the report page: a table with a row for each phase of each
// run, the latency that the fleet added, the audits of orders, the costs of
// processes, and links to the plots.
func Markdown(runs []Run, format string) string {
	var page strings.Builder
	page.WriteString("# Load runs\n\n")
	page.WriteString("Times in milliseconds. Reuse is the share of prompt tokens from engines' caches;\n")
	page.WriteString("skew the highest engine over the mean of engines, by time average and at the\n")
	page.WriteString("95th percentile of the readings.\n\n")
	writeTable(&page, []string{
		"run", "phase", "sent", "whole", "wrong", "cut", "refused", "failed", "retries",
		"first token p50", "p95", "p99", "between tokens p50", "p95", "p99",
		"reuse %", "skew", "skew p95",
	}, phaseRows(runs))
	writeAdded(&page, runs)
	writeOrders(&page, runs)
	writeProcesses(&page, runs)
	for _, run := range runs {
		writeRun(&page, run, format)
	}
	return page.String()
}

func phaseRows(runs []Run) [][]string {
	var rows [][]string
	for _, run := range runs {
		for _, phase := range run.Result.Phases {
			c := phase.Counts
			row := append([]string{run.Name, phase.Name},
				counts(c.Sent, c.Whole, c.Wrong, c.Cut, c.Refused, c.Failed, c.Retries)...)
			for _, q := range []loadgen.Quantiles{phase.Latency.FirstToken, phase.Latency.BetweenTokens} {
				row = append(row, decimals(q.At(0.5), q.At(0.95), q.At(0.99))...)
			}
			row = append(row, decimals(phase.ReusePct)...)
			rows = append(rows, append(row, skewCells(phase.Skew)...))
		}
	}
	return rows
}

func skewCells(skew *loadgen.Skew) []string {
	if skew == nil {
		return []string{"–", "–"}
	}
	return decimals(skew.TimeAverage, skew.P95)
}

// writeAdded writes the latency that the fleet added, for runs that had a direct
// phase.
func writeAdded(page *strings.Builder, runs []Run) {
	var rows [][]string
	for _, run := range runs {
		if a := run.Result.Added; a != nil {
			rows = append(rows, append([]string{run.Name},
				decimals(a.FirstTokenP50Ms, a.FirstTokenP99Ms, a.BetweenTokensP50Ms, a.BetweenTokensP99Ms)...))
		}
	}
	if len(rows) > 0 {
		page.WriteString("\n## Added by the fleet\n\n")
		writeTable(page, []string{"run", "first token p50", "p99", "between tokens p50", "p99"}, rows)
	}
}

// writeOrders writes the audits of orders.
func writeOrders(page *strings.Builder, runs []Run) {
	var rows [][]string
	for _, run := range runs {
		if a := run.Result.Audit; a != nil {
			rows = append(rows, append([]string{run.Name},
				counts(a.Keys, a.Accepted, a.NotRun, a.Unknown, a.Lost, a.Doubled, a.FalseNotRun)...))
		}
	}
	if len(rows) > 0 {
		page.WriteString("\n## Orders\n\n")
		writeTable(page, []string{"run", "keys", "accepted", "not run", "unknown", "lost", "doubled", "falsely not run"}, rows)
	}
}

// writeProcesses writes the processor time and memory of processes, for runs that
// measured them.
func writeProcesses(page *strings.Builder, runs []Run) {
	var rows [][]string
	for _, run := range runs {
		for _, phase := range run.Result.Phases {
			for _, p := range phase.Processes {
				rows = append(rows, append([]string{run.Name, phase.Name, p.Name},
					decimals(p.CPUS, p.CPUPerTokenUs, p.MemoryStartMB, p.MemoryEndMB, p.MemoryPeakMB)...))
			}
		}
	}
	if len(rows) > 0 {
		page.WriteString("\n## Processes\n\n")
		writeTable(page, []string{"run", "phase", "process", "CPU s", "CPU µs a token", "MB at start", "at end", "highest"}, rows)
	}
}

// writeRun writes a run's settings, its broken guarantees and links to its plots.
func writeRun(page *strings.Builder, run Run, format string) {
	s := run.Result.Settings
	fmt.Fprintf(page, "\n## %s\n\n%s: seed %d, %g arrivals/s for %g s, %d customers, %d targets, %d engines.\n\n",
		run.Name, run.Result.Title, s.Seed, s.Rate, s.DurationS, s.Customers, s.Targets, s.Engines)
	verdict := "No promise was seen broken."
	if len(run.Result.Broken) > 0 {
		verdict = "Broken: " + strings.Join(run.Result.Broken, "; ") + "."
	}
	page.WriteString(verdict + "\n\n")
	for _, figure := range figures {
		fmt.Fprintf(page, "![%s](%s)\n", figure.name, figure.fileName(run, format))
	}
}

func writeTable(page *strings.Builder, head []string, rows [][]string) {
	writeRow(page, head)
	page.WriteString(strings.Repeat("|---", len(head)) + "|\n")
	for _, row := range rows {
		writeRow(page, row)
	}
}

func writeRow(page *strings.Builder, cells []string) {
	page.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func counts(values ...int) []string {
	cells := make([]string, len(values))
	for i, value := range values {
		cells[i] = fmt.Sprint(value)
	}
	return cells
}

func decimals(values ...float64) []string {
	cells := make([]string, len(values))
	for i, value := range values {
		cells[i] = fmt.Sprintf("%.2f", value)
	}
	return cells
}
