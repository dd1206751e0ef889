package load

import (
	"math"
	"sort"
	"syscall"
	"time"
)

// quantile returns the q-quantile by the nearest-rank method, or zero if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// share returns part / whole, or zero if whole is zero.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
