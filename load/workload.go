package load

import (
	"os"
	"time"

	"github.com/cicadadale/cicadadale/config"
)

// Duration is a duration in the format of time.ParseDuration, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Workload is the content of a workload file; docs/workloads.md describes each key.
type Workload struct {
	Duration   Duration           `toml:"duration"`
	Deployment WorkloadDeployment `toml:"deployment"`
	Tasks      WorkloadTasks      `toml:"tasks"`
	Long       WorkloadLong       `toml:"long"`
	Jobs       WorkloadJobs       `toml:"jobs"`
	Callers    WorkloadCallers    `toml:"callers"`
	Demand     WorkloadDemand     `toml:"demand"`
}

// WorkloadDeployment sizes the deployment.
type WorkloadDeployment struct {
	Domains  int `toml:"failure_domains"`
	EntryVMs int `toml:"entry_vms"`
	Workers  int `toml:"workers"`
	Slots    int `toml:"slots"`
	// SlowestSpeed and FastestSpeed bound the worker speeds, which are drawn log-uniformly.
	SlowestSpeed float64 `toml:"slowest_speed"`
	FastestSpeed float64 `toml:"fastest_speed"`
}

// WorkloadTasks is the distribution of the nominal run times of short work.
type WorkloadTasks struct {
	Shortest        Duration `toml:"shortest"`
	Longest         Duration `toml:"longest"`
	SlowShare       float64  `toml:"slow_share"`
	SlowLongest     Duration `toml:"slow_longest"`
	StragglerShare  float64  `toml:"straggler_share"`
	StragglerFactor float64  `toml:"straggler_factor"`
	WrongShare      float64  `toml:"wrongly_declared_share"`
	FailShare       float64  `toml:"fail_share"`
}

// WorkloadLong describes the long work.
type WorkloadLong struct {
	// Share is the share of the capacity that long work demands at all times.
	Share    float64  `toml:"share"`
	Shortest Duration `toml:"shortest"`
	Longest  Duration `toml:"longest"`
	Deadline Duration `toml:"deadline"`
	// Cap is the share of a worker's slots that the dispatcher gives to long work.
	Cap float64 `toml:"cap"`
}

// WorkloadJobs describes the size, deadline and resubmission of jobs.
type WorkloadJobs struct {
	FewestTasks    int      `toml:"fewest_tasks"`
	MostTasks      int      `toml:"most_tasks"`
	Deadline       Duration `toml:"deadline"`
	ResubmitDuring float64  `toml:"resubmit_during"`
	ResubmitAfter  float64  `toml:"resubmit_after"`
}

// WorkloadCallers describes the callers.
type WorkloadCallers struct {
	Number    int `toml:"number"`
	Customers int `toml:"customers"`
	// Skew is the exponent of the distribution over entry VMs: the n-th VM gets a share proportional to 1/n^skew.
	Skew float64 `toml:"skew"`
}

// WorkloadDemand is the demand over time, as shares of the capacity. A cycle is lead, ramp up, hold, ramp down.
type WorkloadDemand struct {
	Base float64  `toml:"base"`
	Peak float64  `toml:"crest"`
	Lead Duration `toml:"lead"`
	Ramp Duration `toml:"ramp"`
	Hold Duration `toml:"hold"`
}

// defaultWorkload returns the values of omitted keys.
func defaultWorkload() Workload {
	return Workload{
		Duration: Duration(10 * time.Second),
		Deployment: WorkloadDeployment{
			Domains: 1, EntryVMs: 8, Workers: 50, Slots: 8, SlowestSpeed: 0.5, FastestSpeed: 2,
		},
		Tasks: WorkloadTasks{
			Shortest: Duration(50 * time.Millisecond), Longest: Duration(time.Second),
			SlowLongest: Duration(4 * time.Second), StragglerFactor: 20,
		},
		Long: WorkloadLong{
			Shortest: Duration(2 * time.Second), Longest: Duration(6 * time.Second),
			Deadline: Duration(time.Minute), Cap: 0.4,
		},
		Jobs:    WorkloadJobs{FewestTasks: 1, MostTasks: 10, Deadline: Duration(3 * time.Second)},
		Callers: WorkloadCallers{Number: 40, Customers: 4},
		Demand:  WorkloadDemand{Base: 0.5},
	}
}

// ReadWorkload reads a workload file.
func ReadWorkload(path string) (Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, err
	}
	return ParseWorkload(path, text)
}

// ParseWorkload parses and validates a workload, and returns all findings at once.
func ParseWorkload(file string, text []byte) (Workload, error) {
	w := defaultWorkload()
	findings := decodeWorkload(file, text, &w)
	findings = append(findings, w.validate(file, keyLines(text))...)
	if len(findings) > 0 {
		return w, findings
	}
	return w, nil
}

type workloadRule struct {
	key    string
	broken bool
	reason string
}

// validate returns a finding for each rule that the workload violates.
func (w Workload) validate(file string, lines map[string]int) config.Findings {
	rules := append(w.Deployment.rules(), w.Tasks.rules()...)
	rules = append(rules, w.Long.rules()...)
	rules = append(rules, w.Jobs.rules()...)
	rules = append(rules, w.Demand.rules(w.Long.Share)...)
	rules = append(rules,
		workloadRule{"duration", w.Duration <= 0, "must be positive"},
		workloadRule{"callers.number", w.Callers.Number < 1, "must be at least 1"},
		workloadRule{"callers.customers", w.Callers.Customers < 1, "must be at least 1"},
		workloadRule{"callers.skew", w.Callers.Skew < 0, "must not be negative"},
	)
	var out config.Findings
	for _, r := range rules {
		if r.broken {
			out = append(out, config.Finding{File: file, Line: lines[r.key], Key: r.key, Reason: r.reason})
		}
	}
	return out
}

// notShare reports whether v lies outside the range from 0 to 1 or is not a number.
func notShare(v float64) bool { return !(v >= 0 && v <= 1) }

func (d WorkloadDeployment) rules() []workloadRule {
	return []workloadRule{
		{"deployment.failure_domains", d.Domains < 1 || d.Domains > 8, "must be 1 to 8"},
		{"deployment.entry_vms", d.EntryVMs < 1 || d.EntryVMs > 16, "must be 1 to 16"},
		{"deployment.workers", d.Workers < 1 || d.Workers > 400, "must be 1 to 400"},
		{"deployment.slots", d.Slots < 1 || d.Slots > 64, "must be 1 to 64"},
		{"deployment.slowest_speed", !(d.SlowestSpeed > 0), "must be positive"},
		{"deployment.fastest_speed", !(d.FastestSpeed >= d.SlowestSpeed), "must not be below slowest_speed"},
	}
}

func (t WorkloadTasks) rules() []workloadRule {
	return []workloadRule{
		{"tasks.shortest", t.Shortest <= 0, "must be positive"},
		{"tasks.longest", t.Longest < t.Shortest, "must not be below shortest"},
		{"tasks.slow_share", notShare(t.SlowShare), "must be 0 to 1"},
		{"tasks.slow_longest", t.SlowLongest < t.Longest, "must not be below longest"},
		{"tasks.straggler_share", notShare(t.StragglerShare), "must be 0 to 1"},
		{"tasks.straggler_factor", !(t.StragglerFactor >= 1), "must be at least 1"},
		{"tasks.wrongly_declared_share", notShare(t.WrongShare), "must be 0 to 1"},
		{"tasks.fail_share", notShare(t.FailShare), "must be 0 to 1"},
	}
}

func (l WorkloadLong) rules() []workloadRule {
	return []workloadRule{
		{"long.share", notShare(l.Share), "must be 0 to 1"},
		{"long.shortest", l.Shortest <= 0, "must be positive"},
		{"long.longest", l.Longest < l.Shortest, "must not be below shortest"},
		{"long.deadline", l.Deadline <= 0, "must be positive"},
		{"long.cap", notShare(l.Cap), "must be 0 to 1"},
	}
}

func (j WorkloadJobs) rules() []workloadRule {
	return []workloadRule{
		{"jobs.fewest_tasks", j.FewestTasks < 1, "must be at least 1"},
		{"jobs.most_tasks", j.MostTasks < j.FewestTasks || j.MostTasks > 500, "must be fewest_tasks to 500"},
		{"jobs.deadline", j.Deadline <= 0, "must be positive"},
		{"jobs.resubmit_during", notShare(j.ResubmitDuring), "must be 0 to 1"},
		{"jobs.resubmit_after", notShare(j.ResubmitAfter), "must be 0 to 1"},
	}
}

func (d WorkloadDemand) rules(long float64) []workloadRule {
	return []workloadRule{
		{"demand.base", !(d.Base > 0 && d.Base <= 4), "must be above 0 and at most 4"},
		{"demand.base", d.Base < long, "must not be below long.share"},
		{"demand.crest", d.Peak != 0 && !(d.Peak >= d.Base && d.Peak <= 4), "must be base to 4, or 0 for none"},
		{"demand.lead", d.Lead < 0, "must not be negative"},
		{"demand.ramp", d.Ramp < 0, "must not be negative"},
		{"demand.hold", d.Hold < 0 || (d.Peak > 0 && d.Hold == 0), "must be positive with a crest"},
	}
}
