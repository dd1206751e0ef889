package contract

import (
	"sync"
	"time"
)

const (
	// HeldRetention is how long a job counts as held after its home has last announced it. Clients submit a job again 1.3 s
	// after its channel has broken, and may do so more than once.
	HeldRetention = 10 * time.Second
	// maxHeldJobs bounds the ledger; the jobs that were announced first are dropped first.
	maxHeldJobs = 50_000
)

// HeldJob is a job that another member has announced as its home.
type HeldJob struct {
	Job      string
	Home     string
	Accepted time.Time
	// HeardAt is when the announcement arrived.
	HeardAt time.Time
}

// HeldLedger records which jobs are held by other members, so that a job that is submitted again here starts only when its
// runs there are over. mu guards the fields below it.
type HeldLedger struct {
	mu    sync.Mutex
	byJob map[string]HeldJob
	// order holds the announcements in the order in which they were recorded.
	order []HeldJob
}

// NewHeldLedger returns an empty ledger.
func NewHeldLedger() *HeldLedger { return &HeldLedger{byJob: make(map[string]HeldJob)} }

// Record adds an announcement. Of two homes of one job the one that accepted it later is kept.
func (l *HeldLedger) Record(h HeldJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.byJob[h.Job]; ok && known.Home != h.Home && known.Accepted.After(h.Accepted) {
		return
	}
	l.byJob[h.Job] = h
	l.order = append(l.order, h)
	for len(l.order) > maxHeldJobs {
		l.dropOldest()
	}
}

// Of returns the announcement of a job.
func (l *HeldLedger) Of(job string) (HeldJob, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.byJob[job]
	return h, ok
}

// HeldBy returns the jobs that a home has announced.
func (l *HeldLedger) HeldBy(home string) []HeldJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []HeldJob
	for _, h := range l.byJob {
		if h.Home == home {
			jobs = append(jobs, h)
		}
	}
	return jobs
}

// Forget drops a job that its home has released.
func (l *HeldLedger) Forget(job, home string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.byJob[job]; ok && h.Home == home {
		delete(l.byJob, job)
	}
}

// Expire drops the announcements that no longer count.
func (l *HeldLedger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.order) > 0 && now.Sub(l.order[0].HeardAt) > HeldRetention {
		l.dropOldest()
	}
}

// dropOldest drops the oldest announcement, and its job unless that has been announced again. It expects l.mu to be held.
func (l *HeldLedger) dropOldest() {
	oldest := l.order[0]
	if h, ok := l.byJob[oldest.Job]; ok && h == oldest {
		delete(l.byJob, oldest.Job)
	}
	l.order[0] = HeldJob{}
	l.order = l.order[1:]
}

// JobRelease asks the home of a job to end its runs, since the job has been submitted again to the requester.
type JobRelease struct {
	Job       string
	Home      string
	Requester string
	// Accepted is when the requester accepted the job. At the home it is the earliest such time: a request that was delayed must
	// not seem newer than the caller's return to the home.
	Accepted time.Time
	// Wait is the number of the requester's wait for the release.
	Wait uint64
}

// JobReleased states that no run of a job is alive at a home, and that it starts none unless the job is submitted there again.
type JobReleased struct {
	Job       string
	Home      string
	Requester string
	// Wait is the number in the request.
	Wait uint64
	// Completed and Failed are set if the job had ended with that result.
	Completed, Failed bool
	// LateStarts are the starts of the job that workers may still execute, as far as the home knows.
	LateStarts []LateStart
}
