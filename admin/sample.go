package admin

import (
	"sort"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/metric"
)

// Metric types of the exposition format.
const (
	typeCounter = "counter"
	typeGauge   = "gauge"
	typeSummary = "summary"
)

// nanosecondsPerSecond converts the values of timers to seconds.
const nanosecondsPerSecond = 1e9

// quantiles are the quantiles reported for each distribution.
var quantiles = [...]float64{0.5, 0.95, 0.99, 0.999}

// sample is the value of a metric at one point in time.
type sample struct {
	name  string
	help  string
	kind  string
	value float64
	// count, sum and quantiles are set for summaries only.
	count     int64
	sum       float64
	quantiles [len(quantiles)]float64
}

// readAll samples all metrics, ordered by name.
func readAll(r metrics.Registry) []sample {
	help := map[string]string{}
	for _, d := range metric.Descriptions() {
		help[d.Name] = d.Help
	}
	var out []sample
	r.Each(func(name string, m any) {
		if s, ok := readOne(m); ok {
			s.name, s.help = name, help[name]
			out = append(out, s)
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func readOne(m any) (sample, bool) {
	switch v := m.(type) {
	case metrics.Counter:
		return sample{kind: typeCounter, value: float64(v.Count())}, true
	case metrics.Gauge:
		return sample{kind: typeGauge, value: float64(v.Value())}, true
	case metrics.GaugeFloat64:
		return sample{kind: typeGauge, value: v.Value()}, true
	case metrics.Meter:
		return sample{kind: typeCounter, value: float64(v.Count())}, true
	case metrics.Histogram:
		s := v.Snapshot()
		return summary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles[:]), 1), true
	case metrics.Timer:
		s := v.Snapshot()
		return summary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles[:]), nanosecondsPerSecond), true
	default:
		return sample{}, false
	}
}

func summary(count int64, sum float64, values []float64, unit float64) sample {
	s := sample{kind: typeSummary, count: count, sum: sum / unit}
	for i, v := range values {
		s.quantiles[i] = v / unit
	}
	return s
}
