package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// meanSamples is the number of jobs drawn to estimate the mean work of a job.
const meanSamples = 4000

// PlannedJob is a job drawn by the generator.
type PlannedJob struct {
	Number   int
	At       time.Duration // arrival, since the start of the run
	Long     bool
	Customer string
	// Entry is the index of the entry VM that the caller uses, Other that of the entry VM for resubmissions.
	Entry, Other   int
	Deadline       time.Duration
	Tasks          []PlannedTask
	ResubmitDuring time.Duration // after the submission; zero for none
	ResubmitAfter  bool
}

// PlannedTask is a task drawn by the generator.
type PlannedTask struct {
	Kind    string
	Payload Payload
}

// Work returns the sum of the nominal run times of the tasks.
func (j *PlannedJob) Work() time.Duration {
	var sum time.Duration
	for _, t := range j.Tasks {
		sum += t.Payload.Nominal
	}
	return sum
}

// Fails reports whether any task was drawn to fail.
func (j *PlannedJob) Fails() bool {
	for _, t := range j.Tasks {
		if t.Payload.Fails {
			return true
		}
	}
	return false
}

// Specs returns the task specifications to submit.
func (j *PlannedJob) Specs() []contract.TaskSpec {
	specs := make([]contract.TaskSpec, len(j.Tasks))
	for i, t := range j.Tasks {
		specs[i] = contract.TaskSpec{Kind: t.Kind, Payload: t.Payload.Encode()}
	}
	return specs
}

// Schedule holds everything that the generator draws from a seed: worker speeds and jobs with their arrival times.
type Schedule struct {
	Speeds []float64
	Jobs   []*PlannedJob
}

// NewSchedule draws a schedule. The same workload and seed give the same schedule.
func NewSchedule(w Workload, seed uint64) *Schedule {
	g := &generator{w: w, rng: rand.New(rand.NewPCG(seed, 1))}
	s := &Schedule{}
	for range w.Deployment.Domains * w.Deployment.Workers {
		s.Speeds = append(s.Speeds, g.logUniform(w.Deployment.SlowestSpeed, w.Deployment.FastestSpeed))
	}
	capacity := s.Capacity(w)
	if w.Long.Share > 0 {
		s.Jobs = append(s.Jobs, g.arrivals(true, func(time.Duration) float64 { return w.Long.Share * capacity })...)
	}
	s.Jobs = append(s.Jobs, g.arrivals(false, func(t time.Duration) float64 {
		return (w.Demand.Level(t) - w.Long.Share) * capacity
	})...)
	for i, j := range s.Jobs {
		j.setNumber(i)
	}
	return s
}

// Capacity returns the nominal work that all workers together perform per second, in seconds.
func (s *Schedule) Capacity(w Workload) float64 {
	sum := 0.0
	for _, v := range s.Speeds {
		sum += v * float64(w.Deployment.Slots)
	}
	return sum
}

// Fastest returns the highest worker speed.
func (s *Schedule) Fastest() float64 {
	fastest := 0.0
	for _, v := range s.Speeds {
		fastest = max(fastest, v)
	}
	return fastest
}

func (j *PlannedJob) setNumber(n int) {
	j.Number = n
	for i := range j.Tasks {
		j.Tasks[i].Payload.Identity = fmt.Sprintf("job-%d/%d", n, i)
	}
}

// generator draws jobs. It is used by one goroutine.
type generator struct {
	w   Workload
	rng *rand.Rand
}

// arrivals draws a Poisson process by thinning; work returns the work per second that arrives at a time of the run.
func (g *generator) arrivals(long bool, work func(time.Duration) float64) []*PlannedJob {
	mean := g.meanWork(long)
	end := time.Duration(g.w.Duration)
	highest := 0.0
	for t := time.Duration(0); t < end; t += 10 * time.Millisecond {
		highest = max(highest, work(t)/mean)
	}
	if highest <= 0 {
		return nil
	}
	var jobs []*PlannedJob
	for t := 0.0; ; {
		t += g.rng.ExpFloat64() / highest
		at := time.Duration(t * float64(time.Second))
		if at >= end {
			return jobs
		}
		if g.rng.Float64()*highest > work(at)/mean {
			continue
		}
		j := g.job(long)
		j.At = at
		jobs = append(jobs, j)
	}
}

func (g *generator) meanWork(long bool) float64 {
	sum := 0.0
	for range meanSamples {
		sum += g.job(long).Work().Seconds()
	}
	return sum / meanSamples
}

func (g *generator) job(long bool) *PlannedJob {
	vms := g.w.Deployment.Domains * g.w.Deployment.EntryVMs
	caller := g.rng.IntN(g.w.Callers.Number)
	j := &PlannedJob{
		Long: long, Deadline: time.Duration(g.w.Jobs.Deadline), Entry: g.entryOf(caller, vms),
		Customer: fmt.Sprintf("customer-%d", caller%g.w.Callers.Customers),
	}
	if long {
		j.Deadline = time.Duration(g.w.Long.Deadline)
	}
	j.Other = j.Entry
	if vms > 1 {
		j.Other = (j.Entry + 1 + g.rng.IntN(vms-1)) % vms
	}
	n := g.w.Jobs.FewestTasks + g.rng.IntN(g.w.Jobs.MostTasks-g.w.Jobs.FewestTasks+1)
	if long {
		n = 1
	}
	for range n {
		j.Tasks = append(j.Tasks, g.task(long))
	}
	if g.rng.Float64() < g.w.Jobs.ResubmitDuring {
		j.ResubmitDuring = time.Millisecond + time.Duration(g.rng.Int64N(int64(g.w.Tasks.Shortest)))
	}
	j.ResubmitAfter = g.rng.Float64() < g.w.Jobs.ResubmitAfter
	return j
}

// entryOf distributes callers over entry VMs with the workload's skew; a caller always uses the same entry VM.
func (g *generator) entryOf(caller, vms int) int {
	total := 0.0
	for n := range vms {
		total += math.Pow(float64(n+1), -g.w.Callers.Skew)
	}
	at := (float64(caller) + 0.5) / float64(g.w.Callers.Number) * total
	for n := range vms {
		at -= math.Pow(float64(n+1), -g.w.Callers.Skew)
		if at < 0 {
			return n
		}
	}
	return vms - 1
}

func (g *generator) task(long bool) PlannedTask {
	t := g.w.Tasks
	p := Payload{Long: long, Fails: g.rng.Float64() < t.FailShare}
	kind := shortKinds[g.rng.IntN(len(shortKinds))]
	switch {
	case long:
		kind = kindReport
		p.Nominal = g.logUniformDuration(g.w.Long.Shortest, g.w.Long.Longest)
	case g.rng.Float64() < t.SlowShare:
		p.Nominal = g.logUniformDuration(t.Longest, t.SlowLongest)
	default:
		p.Nominal = g.logUniformDuration(t.Shortest, t.Longest)
	}
	if !long && p.Nominal <= time.Duration(t.Longest) && g.rng.Float64() < t.StragglerShare {
		p.Straggler = true
		p.Nominal = time.Duration(float64(p.Nominal) * t.StragglerFactor)
	}
	if g.rng.Float64() < t.WrongShare {
		kind = g.wrongKind(long)
	}
	return PlannedTask{Kind: kind, Payload: p}
}

// wrongKind returns a kind that declares long work as short, or short work as long.
func (g *generator) wrongKind(long bool) string {
	if long {
		return shortKinds[g.rng.IntN(len(shortKinds))]
	}
	return kindReport
}

func (g *generator) logUniformDuration(from, to Duration) time.Duration {
	return time.Duration(g.logUniform(float64(from), float64(to)))
}

func (g *generator) logUniform(from, to float64) float64 {
	return from * math.Exp(g.rng.Float64()*math.Log(to/from))
}
