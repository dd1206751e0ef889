package load

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotBucket = 500 * time.Millisecond
	plotWidth  = 8 * vg.Inch
	plotHeight = 10 * vg.Inch
)

// Plot holds curves over the arrival time of jobs.
type Plot struct {
	title  string
	curves []curve
}

type curve struct {
	label string
	lines []plotter.XYs
}

// newPlot groups the samples of a run by arrival time.
func newPlot(m *measurement) *Plot {
	var ratios50, ratios99, waits, served, demand plotter.XYs
	length := time.Duration(m.run.workload.Duration)
	for from := time.Duration(0); from < length; from += plotBucket {
		span := Span{From: from, To: from + plotBucket}
		var ratio, wait []float64
		inTime, arrived := 0, 0
		for _, s := range m.samples {
			if span.Contains(s.at) {
				ratio = append(ratio, s.ratio)
				wait = append(wait, millis(s.wait))
				if s.metDeadline {
					inTime++
				}
			}
		}
		for _, rec := range m.records {
			if !rec.Plan.Long && span.Contains(rec.Plan.At) {
				arrived++
			}
		}
		x := from.Seconds()
		ratios50 = append(ratios50, plotter.XY{X: x, Y: quantile(ratio, 0.5)})
		ratios99 = append(ratios99, plotter.XY{X: x, Y: quantile(ratio, 0.99)})
		waits = append(waits, plotter.XY{X: x, Y: quantile(wait, 0.99)})
		served = append(served, plotter.XY{X: x, Y: share(float64(inTime), float64(arrived))})
		demand = append(demand, plotter.XY{X: x, Y: m.run.workload.Demand.Level(from)})
	}
	return &Plot{
		title: fmt.Sprintf("%s, %s, seed %d", filepath.Base(m.run.o.File), m.run.o.Policy, m.run.o.Seed),
		curves: []curve{
			{"response ratio, p50 and p99", []plotter.XYs{ratios50, ratios99}},
			{"longest wait of a job, p99 (ms)", []plotter.XYs{waits}},
			{"share served before the deadline; demand", []plotter.XYs{served, demand}},
		},
	}
}

// Save writes a PNG file, or an SVG file if the file name ends in .svg.
func (p *Plot) Save(file string) error {
	var canvas vg.CanvasSizer = vgimg.New(plotWidth, plotHeight)
	if filepath.Ext(file) == ".svg" {
		canvas = vgsvg.New(plotWidth, plotHeight)
	}
	if err := p.draw(draw.New(canvas)); err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	switch c := canvas.(type) {
	case *vgsvg.Canvas:
		_, err = c.WriteTo(f)
	case *vgimg.Canvas:
		_, err = vgimg.PngCanvas{Canvas: c}.WriteTo(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (p *Plot) draw(c draw.Canvas) error {
	tiles := draw.Tiles{Rows: len(p.curves), Cols: 1}
	for i, cv := range p.curves {
		part := plot.New()
		part.Y.Label.Text, part.X.Label.Text = cv.label, "time of arrival (s)"
		if i == 0 {
			part.Title.Text = p.title
		}
		for n, xys := range cv.lines {
			line, err := plotter.NewLine(xys)
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(n) //nolint:misspell // The library's names.
			part.Add(line)
		}
		part.Draw(tiles.At(c, 0, i))
	}
	return nil
}
