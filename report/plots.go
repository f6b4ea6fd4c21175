package report

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"endiveplank/loadgen"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// reuseWindow is the number of readings over which cache reuse is computed, so
// that one long prompt does not dominate a point.
const reuseWindow = 8

// figure is one kind of plot.
type figure struct {
	name string
	draw func(loadgen.Result) (*plot.Plot, error)
}

var figures = []figure{
	{name: "latency", draw: drawLatency},
	{name: "load", draw: drawLoad},
	{name: "reuse", draw: drawReuse},
}

// fileName returns the name of the file that holds a run's plot.
func (f figure) fileName(run Run, format string) string {
	return run.Name + "-" + f.name + "." + format
}

// drawLatency plots latency over the share of slower values for each phase, both
// on a logarithmic scale: each step to the right is ten times rarer.
func drawLatency(result loadgen.Result) (*plot.Plot, error) {
	p := newPlot(result.Title+": latency", "share of the slowest", "ms")
	p.X.Scale = plot.InvertedScale{Normalizer: plot.LogScale{}}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var curves []curve
	for _, phase := range result.Phases {
		curves = append(curves,
			curve{phase.Name + ", first token", quantilePoints(phase.Latency.FirstToken)},
			curve{phase.Name + ", between tokens", quantilePoints(phase.Latency.BetweenTokens)},
			curve{phase.Name + ", whole", quantilePoints(phase.Latency.Whole)})
	}
	return p, addCurves(p, curves)
}

// quantilePoints returns the points of a latency curve. A logarithmic scale can't
// show the maximum, whose share of slower values is zero, nor latencies of zero,
// so it leaves these out.
func quantilePoints(q loadgen.Quantiles) plotter.XYs {
	var points plotter.XYs
	for _, point := range q.Points {
		if point.Q < 1 && point.Ms > 0 {
			points = append(points, plotter.XY{X: 1 - point.Q, Y: point.Ms})
		}
	}
	return points
}

// drawLoad plots the outstanding tokens of each engine over the last phase.
func drawLoad(result loadgen.Result) (*plot.Plot, error) {
	p := newPlot(result.Title+": load of each engine", "s", "outstanding tokens")
	var curves []curve
	for _, series := range lastPhase(result).Engines {
		var points plotter.XYs
		for _, sample := range series.Samples {
			points = append(points, plotter.XY{X: sample.AtS, Y: float64(sample.OutstandingTokens)})
		}
		curves = append(curves, curve{series.ID, points})
	}
	return p, addCurves(p, curves)
}

// drawReuse plots, for each phase, the share of prompt tokens that engines took
// from their caches.
func drawReuse(result loadgen.Result) (*plot.Plot, error) {
	p := newPlot(result.Title+": prompt tokens from cache", "s", "%")
	var curves []curve
	for _, phase := range result.Phases {
		curves = append(curves, curve{phase.Name, reusePoints(phase.Engines)})
	}
	err := addCurves(p, curves)
	p.Y.Min, p.Y.Max = 0, 100
	return p, err
}

// reusePoints returns the share of cached prompt tokens of all engines together,
// over a sliding window of reuseWindow readings.
func reusePoints(engines []loadgen.EngineSeries) plotter.XYs {
	var points plotter.XYs
	if len(engines) == 0 {
		return points
	}
	for i := reuseWindow; i < len(engines[0].Samples); i++ {
		prompt, cached := 0.0, 0.0
		for _, series := range engines {
			now, before := series.Samples[i], series.Samples[i-reuseWindow]
			prompt += float64(now.PromptTokens) - float64(before.PromptTokens)
			cached += float64(now.CachedTokens) - float64(before.CachedTokens)
		}
		if prompt > 0 {
			points = append(points, plotter.XY{X: engines[0].Samples[i].AtS, Y: 100 * cached / prompt})
		}
	}
	return points
}

// lastPhase returns the fleet's phase, or the direct one if the run had no other.
func lastPhase(result loadgen.Result) loadgen.Phase {
	if len(result.Phases) == 0 {
		return loadgen.Phase{}
	}
	return result.Phases[len(result.Phases)-1]
}

// curve is a named line.
type curve struct {
	name   string
	points plotter.XYs
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

// addCurves adds the curves that have points to a plot. If none has any, it sets
// axis ranges that every scale can draw, since an empty plot has infinite ones.
func addCurves(p *plot.Plot, curves []curve) error {
	for i, c := range curves {
		if len(c.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	if math.IsInf(p.X.Min, 1) {
		p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0.001, 1, 0.001, 1
	}
	return nil
}
