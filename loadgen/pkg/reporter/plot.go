package reporter

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"plantaincleat/loadgen/pkg/resultcollector"
)

const (
	// Dimensions of one panel and the padding around it.
	panelWidth  = 16 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	panelPad    = 5 * vg.Millimeter

	// maxNines is the maximum of the quantile axis, in nines: 4 stands for the
	// quantile 0.9999.
	maxNines = 4
	// minPlottedMillis is the smallest plotted latency in milliseconds. A latency
	// of zero can not be shown on a logarithmic axis.
	minPlottedMillis = 0.001
)

// NamedReport is a report with the name under which a plot shows it.
type NamedReport struct {
	Name   string
	Report *resultcollector.Report
}

// series is one named line of a panel.
type series struct {
	name   string
	points plotter.XYs
}

// WritePlot draws the latency distributions of the reports, and their p99 latency,
// goodput and coverage over time. The format is "svg" or "png".
func WritePlot(w io.Writer, format string, reports ...NamedReport) error {
	panels, err := newPanels(reports)
	if err != nil {
		return err
	}
	height := panelHeight * vg.Length(len(panels))
	canvas, err := draw.NewFormattedCanvas(panelWidth, height, format)
	if err != nil {
		return eris.Wrap(err, "create plot canvas")
	}
	tiles := draw.Tiles{
		Rows:      len(panels),
		Cols:      1,
		PadX:      panelPad,
		PadY:      panelPad,
		PadTop:    panelPad,
		PadBottom: panelPad,
		PadLeft:   panelPad,
		PadRight:  panelPad,
	}
	dc := draw.New(canvas)
	for i, p := range panels {
		p.Draw(tiles.At(dc, 0, i))
	}
	_, err = canvas.WriteTo(w)
	return eris.Wrap(err, "write plot")
}

// PlotFormat returns the plot format, "svg" or "png", that the extension of a file
// name stands for.
func PlotFormat(file string) (string, error) {
	switch f := strings.TrimPrefix(filepath.Ext(file), "."); f {
	case "svg", "png":
		return f, nil
	default:
		return "", eris.Errorf("file %s: the extension is neither svg nor png", file)
	}
}

// newPanels returns the panels of a plot from top to bottom. Each report adds its lines
// to every panel.
func newPanels(reports []NamedReport) ([]*plot.Plot, error) {
	var latency, goodput, p99, covered []series
	for _, r := range reports {
		latency = append(latency, newLatencyCurves(r)...)
		goodput = append(goodput, newTimeSeries(r, func(s *resultcollector.SecondStats) float64 { return float64(s.Good) }))
		p99 = append(p99, newTimeSeries(r, func(s *resultcollector.SecondStats) float64 { return plottedMillis(s.P99) }))
		covered = append(covered, newTimeSeries(r, func(s *resultcollector.SecondStats) float64 { return s.Coverage }))
	}
	distribution, err := newPanel("Latency from the intended send time", "quantile", "ms", latency)
	if err != nil {
		return nil, err
	}
	distribution.X.Tick.Marker = plot.ConstantTicks(quantileTicks())
	distribution.X.Min, distribution.X.Max = 0, maxNines
	setLogScale(distribution)
	tail, err := newPanel("p99 of each second", "s", "ms", p99)
	if err != nil {
		return nil, err
	}
	setLogScale(tail)
	good, err := newPanel("Good answers in each second", "s", "1/s", goodput)
	if err != nil {
		return nil, err
	}
	good.Y.Min = 0
	coverages, err := newPanel("Mean coverage of each second", "s", "fraction", covered)
	if err != nil {
		return nil, err
	}
	coverages.Y.Min, coverages.Y.Max = 0, 1
	return []*plot.Plot{distribution, tail, good, coverages}, nil
}

func newPanel(title, x, y string, lines []series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, s := range lines {
		if len(s.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.points)
		if err != nil {
			return nil, eris.Wrapf(err, "plot series %q", s.name)
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		p.Add(l)
		if s.name != "" {
			p.Legend.Add(s.name, l)
		}
	}
	return p, nil
}

// setLogScale makes the vertical axis logarithmic and extends it to whole decades.
// It leaves the axis unchanged if the range of values is empty or not positive.
func setLogScale(p *plot.Plot) {
	if p.Y.Min <= 0 || p.Y.Max <= p.Y.Min {
		return
	}
	p.Y.Min = math.Pow10(int(math.Floor(math.Log10(p.Y.Min))))
	p.Y.Max = math.Pow10(int(math.Ceil(math.Log10(p.Y.Max))))
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{
		Prec: -1,
	}
}

// newLatencyCurves returns the latency distribution of each step. The horizontal
// coordinate is -log10(1-quantile), the number of nines of the quantile.
func newLatencyCurves(r NamedReport) []series {
	var lines []series
	for _, s := range r.Report.Steps {
		line := series{
			name: r.Name,
		}
		if len(r.Report.Steps) > 1 {
			line.name = strings.TrimSpace(fmt.Sprintf("%s %.2f", r.Name, s.Factor))
		}
		for _, p := range s.Total.Latency.Curve {
			if x := -math.Log10(1 - p.Quantile); x <= maxNines {
				line.points = append(line.points, plotter.XY{
					X: x,
					Y: plottedMillis(p.Latency),
				})
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// newTimeSeries returns the given value of each second of the report.
func newTimeSeries(r NamedReport, value func(*resultcollector.SecondStats) float64) series {
	line := series{
		name: r.Name,
	}
	for i := range r.Report.Timeline {
		s := &r.Report.Timeline[i]
		line.points = append(line.points, plotter.XY{
			X: float64(s.Index),
			Y: value(s),
		})
	}
	return line
}

// quantileTicks returns the ticks of the quantile axis, whose coordinate is
// -log10(1-quantile).
func quantileTicks() []plot.Tick {
	var list []plot.Tick
	for _, q := range []float64{0, 0.5, 0.9, 0.99, 0.999, 0.9999} {
		list = append(list, plot.Tick{
			Value: -math.Log10(1 - q),
			Label: fmt.Sprintf("%v", q),
		})
	}
	return list
}

// plottedMillis converts a latency from microseconds to milliseconds, of at least
// minPlottedMillis.
func plottedMillis(micros int64) float64 {
	return max(float64(micros)/1000, minPlottedMillis)
}
