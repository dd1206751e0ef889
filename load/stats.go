package load

import (
	"math"
	"sort"
	"syscall"
	"time"
)

// quantile returns the q-quantile by the nearest rank, zero without values.
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

// share divides, with zero for an empty whole.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
