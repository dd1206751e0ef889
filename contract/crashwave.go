package contract

import "time"

const (
	// waveWindow is the time within which crashes count as simultaneous. Owners notice the exit of a busy worker at once.
	waveWindow = 25 * time.Millisecond
	// idleNotice is the time within which the owner of an idle worker notices its exit: the connection of a poll that is open there
	// breaks at once, or its reply is missing after half a second.
	idleNotice = 600 * time.Millisecond
	// waveJobs is the number of jobs that simultaneous crashes take at least to be blamed on the workers: tasks of that many
	// jobs hardly ever crash their workers at the same moment.
	waveJobs = 4
)

// inWave reports whether a crash is one of a wave, which is the fault of the workers and not of the tasks on them: a worker
// without tasks has crashed at the same time, or others have, under tasks of several jobs. One job may crash any number of
// workers at a time.
func inWave(c WorkerCrash, all []WorkerCrash) bool {
	var together []WorkerCrash
	for _, o := range all {
		after := o.At.Sub(c.At)
		switch {
		case o.Refuted || o.Backend != c.Backend:
		case o.idle():
			if after >= -waveWindow && after <= idleNotice {
				return true
			}
		case len(o.Tasks) > 0 && after.Abs() <= waveWindow:
			together = append(together, o)
		}
	}
	return coveringJobs(together) >= waveJobs
}

// coveringJobs returns the number of jobs that it takes to explain crashes by a task of one of them each, by taking the job
// that explains the most of the rest first.
func coveringJobs(crashes []WorkerCrash) int {
	jobs := 0
	for ; len(crashes) > 0; jobs++ {
		most := mostInvolvedJob(crashes)
		rest := make([]WorkerCrash, 0, len(crashes))
		for _, c := range crashes {
			if !c.involvesJob(most) {
				rest = append(rest, c)
			}
		}
		crashes = rest
	}
	return jobs
}

// mostInvolvedJob returns the job with tasks on the most workers that have crashed. Each of the crashes involves a job.
func mostInvolvedJob(crashes []WorkerCrash) string {
	counts := make(map[string]int)
	most := ""
	for _, c := range crashes {
		counted := make(map[string]bool)
		for _, t := range c.Tasks {
			job := t.Key.Batch
			if counted[job] {
				continue
			}
			counted[job] = true
			counts[job]++
			if counts[job] > counts[most] {
				most = job
			}
		}
	}
	return most
}

// withoutWaves returns the crashes under tasks that are not part of a wave.
func withoutWaves(all []WorkerCrash) []WorkerCrash {
	var single []WorkerCrash
	for _, c := range all {
		if !c.idle() && !inWave(c, all) {
			single = append(single, c)
		}
	}
	return single
}
