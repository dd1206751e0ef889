package load

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

const (
	// answerSlack is added to a job's deadline and run time before its answer counts as missing.
	answerSlack = 30 * time.Second
	// idleTime is how long the background messages are measured before the run.
	idleTime = 2 * time.Second
)

// Options configure a load run.
type Options struct {
	File     string
	Workload Workload
	Policy   string
	Seed     uint64
	Logger   *slog.Logger
	// Out receives a line for each violation.
	Out io.Writer
}

// Run is one load run: a deployment in this process, its callers, and the records of callers and workers. It is used by
// one goroutine; its parts have their own locks.
type Run struct {
	o          Options
	workload   Workload
	schedule   *Schedule
	recorder   *Recorder
	deployment *Deployment
	callers    *Callers
	roundTrip  time.Duration

	begin                      time.Time
	startCounters              daemonCounters
	idlePeerRate, idlePollRate float64
	lateness                   []float64 // of the submission of each job, in ms
}

// RunLoad starts a deployment, applies the workload, and returns the report and the plot of the run.
func RunLoad(ctx context.Context, o Options) (Report, *Plot, error) {
	r := &Run{o: o, workload: o.Workload, schedule: NewSchedule(o.Workload, o.Seed), recorder: NewRecorder()}
	if err := CheckPolicy(o.Policy); err != nil {
		return Report{}, nil, err
	}
	cpu := cpuTime()
	if err := r.start(ctx); err != nil {
		r.close()
		return Report{}, nil, err
	}
	records := r.drive(ctx)
	end := time.Now()
	report := Report{Policy: o.Policy, Seed: o.Seed, Workload: o.File}
	m := &measurement{run: r, records: records, end: end}
	for _, v := range m.checkAnswers(&report) {
		if _, err := fmt.Fprintln(o.Out, v); err != nil {
			return report, nil, err
		}
	}
	m.measureResponses(&report)
	m.measurePeak(&report)
	m.countMessages(&report)
	report.RunSeconds = end.Sub(r.begin).Seconds()
	report.CPUSeconds = (cpuTime() - cpu).Seconds()
	report.CPUCores = share(report.CPUSeconds, report.RunSeconds)
	report.CallerRoundTripMS = millis(r.roundTrip)
	report.GeneratorLateP99MS = quantile(r.lateness, 0.99)
	r.close()
	return report, newPlot(m), nil
}

func (r *Run) start(ctx context.Context) error {
	d := r.workload.Deployment
	var err error
	r.deployment, err = StartDeployment(DeploymentOptions{
		Domains: d.Domains, EntryVMs: d.EntryVMs, Workers: d.Workers, Slots: d.Slots, Services: TaskServices,
		Speed: func(n int) float64 { return r.schedule.Speeds[n-1] }, Work: TimedWork, Observer: r.recorder,
		OnWorkerAdded: func(id machine.WorkerID) { r.recorder.Add(id, d.Slots) },
		Policy:        r.o.Policy, Logger: r.o.Logger,
	})
	if err != nil {
		return err
	}
	r.callers, err = NewCallers(r.deployment.CallerAddresses(), d.SlowestSpeed, answerSlack)
	if err != nil {
		return err
	}
	if r.roundTrip, err = r.callers.RoundTrip(ctx); err != nil {
		return err
	}
	return r.measureIdle(ctx)
}

// measureIdle measures the rates of messages that are sent regardless of the load.
func (r *Run) measureIdle(ctx context.Context) error {
	before, polled := r.counters(), r.recorder.totals().polled
	select {
	case <-time.After(idleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	d := r.counters().sub(before)
	r.idlePeerRate = float64(d.peerMessages) / idleTime.Seconds()
	// A poll costs a message and its reply.
	r.idlePollRate = 2 * float64(r.recorder.totals().polled-polled) / idleTime.Seconds()
	return nil
}

// drive submits each job at its arrival time without waiting for earlier answers, and returns when all jobs have ended.
func (r *Run) drive(ctx context.Context) []*JobRecord {
	jobs := append([]*PlannedJob(nil), r.schedule.Jobs...)
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].At < jobs[j].At })
	records := make([]*JobRecord, 0, len(jobs))
	r.startCounters = r.counters()
	r.begin = time.Now()
	var wg sync.WaitGroup
	for _, j := range jobs {
		time.Sleep(time.Until(r.begin.Add(j.At)))
		if ctx.Err() != nil {
			break
		}
		r.lateness = append(r.lateness, millis(time.Since(r.begin)-j.At))
		rec := &JobRecord{Plan: j}
		records = append(records, rec)
		wg.Go(func() { r.callers.Run(ctx, rec) })
	}
	wg.Wait()
	return records
}

func (r *Run) close() {
	if r.callers != nil {
		r.callers.Close()
	}
	if r.deployment != nil {
		r.deployment.Close()
	}
}
