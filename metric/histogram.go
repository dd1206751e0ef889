package metric

import "github.com/rcrowley/go-metrics"

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 1028

// Histogram returns a histogram of times in microseconds. Unlike a timer it needs no goroutine.
func Histogram(name string, r metrics.Registry) metrics.Histogram {
	newHistogram := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	return r.GetOrRegister(name, newHistogram).(metrics.Histogram)
}
