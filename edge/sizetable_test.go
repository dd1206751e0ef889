package edge

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sizeTableVariable selects the deployments of TestSizeTable, such as "4x8,6x16" for numbers of failure domains and of
// VMs in each.
const sizeTableVariable = "EDGE_SIZE_TABLE"

// sizeTablePeriod is the time over which the cost of a deployment is measured.
const sizeTablePeriod = 4 * time.Second

// TestSizeTable prints what a VM sends and what it costs by the size of the deployment, in virtual time: the table of
// docs/CAPACITY.md. It runs no deployment unless one is selected.
func TestSizeTable(t *testing.T) {
	for _, size := range strings.Split(os.Getenv(sizeTableVariable), ",") {
		var zones, daemons int
		if _, err := fmt.Sscanf(size, "%dx%d", &zones, &daemons); err != nil {
			continue
		}
		inVirtualTime(t, func(t *testing.T) { printCost(t, zones, daemons) })
	}
}

// printCost prints the cost a VM and second, idle and with 12 jobs of 3 tasks a VM and second.
func printCost(t *testing.T, zones, daemonsPerZone int) {
	const workersPerDaemon, jobsPerSecond, tasks = 5, 12, 3
	d := newDeployment(t, zones, daemonsPerZone, workersPerDaemon*daemonsPerZone)
	defer d.close()
	time.Sleep(5 * time.Second)
	vms := slices.Sorted(maps.Keys(d.daemons))
	idle := d.measure(func() { time.Sleep(sizeTablePeriod) })
	jobs := jobsPerSecond * len(vms) * int(sizeTablePeriod/time.Second)
	loaded := d.measure(func() {
		for i := range jobs {
			d.submit(vms[i%len(vms)], testJob(fmt.Sprintf("%016x", i+1), tasks, 5*time.Second))
			time.Sleep(sizeTablePeriod / time.Duration(jobs))
		}
	})
	for _, kind := range slices.Sorted(maps.Keys(loaded)) {
		t.Logf("%3d VMs %-32s idle %8.1f  with jobs %8.1f", len(vms), kind, idle[kind], loaded[kind])
	}
}

// measure returns the increase of each counter a VM and second while f runs, and the processor time in milliseconds.
func (d *deployment) measure(f func()) map[string]float64 {
	before := d.counters()
	f()
	cost := make(map[string]float64)
	for name, n := range d.counters() {
		cost[name] = (n - before[name]) / sizeTablePeriod.Seconds() / float64(len(d.daemons))
	}
	return cost
}

func (d *deployment) counters() map[string]float64 {
	all := make(map[string]float64)
	for _, daemon := range d.daemons {
		daemon.o.Metrics.Each(func(name string, m any) {
			if c, ok := m.(metrics.Counter); ok {
				all[name] += float64(c.Count())
			}
		})
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		all["processor ms"] = float64(time.Duration(usage.Utime.Nano()+usage.Stime.Nano())) / float64(time.Millisecond)
	}
	return all
}
