package command_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/entry"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/rpc"
	"github.com/cicadadale/cicadadale/schema"
	"github.com/cicadadale/cicadadale/schemas"
	"github.com/cicadadale/cicadadale/schemas/glashaus"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// controlSettle is the time from the readiness of the daemon until the measurement, which takes controlMeasure.
	controlSettle  = 4 * time.Second
	controlMeasure = 6 * time.Second
	// clockTicks is the number of ticks per second of CPU times in /proc on Linux.
	clockTicks   = 100
	controlSlots = 8
	jobTasks     = 20
)

// controlSize is the size of the deployment around the measured daemon.
type controlSize struct {
	members int // entry VMs of the failure domain, including the measured one
	workers int // workers of the failure domain
	domains int // failure domains, including its own; the others have one entry VM each
	starts  int // task starts per second at the other members
}

func (c controlSize) String() string {
	return fmt.Sprintf("members=%d/workers=%d/domains=%d/starts=%d", c.members, c.workers, c.domains, c.starts)
}

// controlCost is the resource usage of one daemon.
type controlCost struct {
	core, megabytes, received, sent float64 // share of a core, MB resident, bytes/s, bytes/s
}

// controlSeries returns series that vary one quantity each, so that a slope can be fitted.
func controlSeries() map[string][]controlSize {
	return map[string][]controlSize{
		"members": {{2, 24, 1, 0}, {4, 24, 1, 0}, {8, 24, 1, 0}},
		"workers": {{2, 24, 1, 0}, {2, 96, 1, 0}, {2, 187, 1, 0}},
		"domains": {{2, 24, 1, 0}, {2, 24, 8, 0}, {2, 24, 23, 0}},
		// A failure domain of 8 entry VMs and 187 workers, the two-year size, with one entry VM in each of the 22 others.
		"two-year": {{8, 187, 23, 0}},
		"starts":   {{2, 48, 1, 0}, {2, 48, 1, 200}, {2, 48, 1, 400}},
	}
}

// BenchmarkControl measures the control cost of an entry daemon that runs in its own process and has no tasks.
// Run it with -bench Control -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	h := newHarness(b)
	costs := map[controlSize]controlCost{}
	for _, name := range []string{"members", "workers", "domains", "starts", "two-year"} {
		for _, size := range controlSeries()[name] {
			if _, ok := costs[size]; ok {
				continue
			}
			b.Run(size.String(), func(b *testing.B) {
				for b.Loop() {
					c := h.measureControl(size)
					costs[size] = c
					b.ReportMetric(c.core*100, "%core")
					b.ReportMetric(c.megabytes, "MB")
					b.ReportMetric(c.received, "B/s-in")
					b.ReportMetric(c.sent, "B/s-out")
				}
			})
		}
	}
	printSlopes(costs)
}

// printSlopes prints the cost per unit of each quantity, fitted by least squares.
func printSlopes(costs map[controlSize]controlCost) {
	quantity := map[string]func(controlSize) int{
		"members": func(c controlSize) int { return c.members }, "workers": func(c controlSize) int { return c.workers },
		"domains": func(c controlSize) int { return c.domains }, "starts": func(c controlSize) int { return c.starts },
	}
	fmt.Printf("%-14s %10s %8s %8s %8s\n", "cost per unit", "core %", "MB", "B/s in", "B/s out")
	for _, name := range []string{"members", "workers", "domains", "starts"} {
		var x []float64
		var y [4][]float64
		for _, size := range controlSeries()[name] {
			c, ok := costs[size]
			if !ok {
				continue
			}
			x = append(x, float64(quantity[name](size)))
			for i, v := range []float64{c.core * 100, c.megabytes, c.received, c.sent} {
				y[i] = append(y[i], v)
			}
		}
		fmt.Printf("%-14s %10.5f %8.3f %8.1f %8.1f\n", name, slope(x, y[0]), slope(x, y[1]), slope(x, y[2]), slope(x, y[3]))
	}
}

func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// environment is the stand-ins and the other daemons of the deployment.
type environment struct {
	platform *standin.Platform
	workers  []*standin.Worker
	daemons  []*entry.Daemon
	callers  []string
}

func (h *harness) measureControl(size controlSize) controlCost {
	env := h.startEnvironment(size)
	defer env.close()
	e := h.entryVM(1)
	env.platform.SetVM(platform.VM{
		ID: e.id, Kind: platform.KindEntry, Domain: 1, PeerAddress: e.peers, CallerAddress: e.callers,
	})
	e.writeSettings(h.t, strings.TrimPrefix(env.platform.URL(), "http://"))
	e.process = h.start("entry", "--settings", e.settings)
	e.awaitReady(h.t, float64(size.members))
	stop := env.load(h.t, size.starts)
	defer stop()
	time.Sleep(controlSettle)
	pid := e.process.cmd.Process.Pid
	before, begin := readUsage(h.t, pid), time.Now()
	time.Sleep(controlMeasure)
	after, elapsed := readUsage(h.t, pid), time.Since(begin).Seconds()
	require.Equal(h.t, 0, e.process.terminate())
	return controlCost{
		core: (after.cpu - before.cpu) / elapsed, megabytes: after.resident / (1 << 20),
		received: (after.received - before.received) / elapsed, sent: (after.sent - before.sent) / elapsed,
	}
}

func (h *harness) startEnvironment(size controlSize) *environment {
	l, err := net.Listen("tcp", h.ip+":0")
	require.NoError(h.t, err)
	env := &environment{platform: standin.NewPlatform(l)}
	for n := range size.workers {
		l, err := net.Listen("tcp", h.ip+":0")
		require.NoError(h.t, err)
		id := fmt.Sprintf("worker-%d", n)
		w := standin.NewWorker(l, standin.WorkerOptions{
			ID: machine.WorkerID(id), Slots: controlSlots, Work: standin.DemoWork,
		})
		env.workers = append(env.workers, w)
		env.platform.SetVM(platform.VM{
			ID: id, Kind: platform.KindWorker, Domain: 1, Address: w.Address(), Service: bookings, Slots: controlSlots,
		})
	}
	for n := 2; n <= size.members; n++ {
		env.callers = append(env.callers, h.member(env, fmt.Sprintf("entry-%d", n), 1))
	}
	for domain := 2; domain <= size.domains; domain++ {
		h.member(env, fmt.Sprintf("foreign-%d", domain), zone.DomainID(domain))
	}
	return env
}

// member starts another entry daemon in this process and returns its callers' address.
func (h *harness) member(env *environment, id string, domain zone.DomainID) string {
	callers, err := net.Listen("tcp", h.ip+":0")
	require.NoError(h.t, err)
	peers, err := net.Listen("tcp", h.ip+":0")
	require.NoError(h.t, err)
	logs := platform.NewHTTPLog(env.platform.URL())
	list := platform.NewHTTPVMList(env.platform.URL())
	services, findings := schema.Load(schema.Source{"glashaus.proto": schemas.Glashaus}, "glashaus.proto")
	require.Empty(h.t, findings)
	vm := machine.EntryVM{ID: id, PeerAddress: peers.Addr().String(), CallerAddress: callers.Addr().String()}
	env.platform.SetVM(platform.VM{
		ID: id, Kind: platform.KindEntry, Domain: domain, PeerAddress: vm.PeerAddress, CallerAddress: vm.CallerAddress,
	})
	d, err := entry.New(entry.Options{
		VM: vm, Domain: domain, Services: services, Log: logs, List: list, CallerListener: callers, PeerListener: peers,
		Connections: controlSlots, Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(h.t, err)
	require.NoError(h.t, d.Start())
	env.daemons = append(env.daemons, d)
	return vm.CallerAddress
}

// load submits jobs to the other members at a constant rate until the returned function is called.
func (env *environment) load(t testing.TB, starts int) func() {
	if starts == 0 {
		return func() {}
	}
	client, err := rpc.NewClient(env.callers, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second * jobTasks / time.Duration(starts))
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				wg.Go(func() { submitBooking(ctx, client) })
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		wg.Wait()
		client.Close()
	}
}

func submitBooking(ctx context.Context, client *rpc.Client) {
	j, err := glashaus.NewBookingJob(ctx, client, rpc.JobOptions{})
	if err != nil {
		return
	}
	for range jobTasks {
		j.AddPriceHire(&glashaus.PriceHireRequest{Heaters: 1, Days: 1})
	}
	// The answer is ignored: jobs in flight at the end of the measurement are cancelled.
	_, _ = j.Submit(ctx)
}

func (env *environment) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, d := range env.daemons {
		wg.Go(func() { d.Stop(ctx) })
	}
	wg.Wait()
	for _, w := range env.workers {
		wg.Go(func() { _ = w.Close() })
	}
	wg.Wait()
	_ = env.platform.Close()
}

// usage is the CPU time and I/O of a process since its start, and its resident memory.
type usage struct {
	cpu, resident, received, sent float64
}

func readUsage(t testing.TB, pid int) usage {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	read := func(name string) string {
		text, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		return string(text)
	}
	number := func(text string) float64 {
		v, err := strconv.ParseFloat(text, 64)
		require.NoError(t, err)
		return v
	}
	// Field 3 is the first after the command name, which is in parentheses and may contain spaces.
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	u := usage{cpu: (number(fields[11]) + number(fields[12])) / clockTicks}
	u.resident = number(strings.Fields(read("statm"))[1]) * float64(os.Getpagesize())
	for _, line := range strings.Split(read("io"), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "rchar":
			u.received = number(value)
		case "wchar":
			u.sent = number(value)
		}
	}
	return u
}
