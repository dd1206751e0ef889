package load

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// checkStart checks each start when the worker records it.
func (s *Soak) checkStart(st standin.Start, p Payload, byTask, byIdentity TaskStart) {
	s.countChecks(CheckStartedOnce, 1)
	id, _ := contract.ParseTaskID(st.Task)
	if byTask.Count > 1 || byIdentity.Count > 1 {
		s.reportViolation(Violation{
			Check: CheckStartedOnce, Job: id.Job.String(), Task: st.Task, At: st.At, Observed: fmt.Sprintf(
				"start number %d of this task id and %d of %s, on %s; first at %s on %s", byTask.Count, byIdentity.Count,
				p.Identity, st.Worker, byIdentity.First.Format(time.RFC3339Nano), byIdentity.Worker),
		})
	}
	s.mu.Lock()
	home := s.homeProcess[id.Job.Home]
	var leavingShown time.Time
	if home != nil {
		leavingShown = s.leavingShown[home.ID][string(st.Worker)]
	}
	s.mu.Unlock()
	if leavingShown.IsZero() {
		return
	}
	s.countChecks(CheckNoStartOnLeaving, 1)
	if late := st.At.Sub(leavingShown); late > leaveBound {
		s.reportViolation(Violation{
			Check: CheckNoStartOnLeaving, Job: id.Job.String(), Task: st.Task, At: st.At, Observed: fmt.Sprintf(
				"started on %s %s after %s was shown that it is leaving", st.Worker, late, home.ID),
		})
	}
}

// progressOf describes the progress of a job as its home reports it.
func (s *Soak) progressOf(rec *JobRecord) string {
	s.mu.Lock()
	home := s.homeProcess[rec.ID.Home]
	s.mu.Unlock()
	if home == nil {
		return "home not contacted"
	}
	client, err := s.clients.Client(home.Callers)
	if err != nil {
		return "home not contacted: " + err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	p, err := client.Status(ctx, rec.Ref())
	if err != nil {
		return "home returned no status: " + err.Error()
	}
	return fmt.Sprintf("home reports %d of %d tasks finished, %d running, %d waiting, verdict %q", p.Finished, p.Tasks,
		p.Running, p.Waiting, p.Verdict)
}

// recordHome records the process that assigned a job id.
func (s *Soak) recordHome(id contract.JobID, p *EntryProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homeProcess[id.Home] = p
}

func (s *Soak) checkJobs() {
	checker := Checker{Ledger: s.recorder.Ledger}
	for _, rec := range s.jobs() {
		for _, v := range checker.Check(rec) {
			s.reportViolation(v)
		}
		s.countChecks(CheckAnswerArrives, 1)
		if _, ok := rec.FirstFinal(); !ok {
			s.reportViolation(rec.violation(CheckAnswerArrives, -1, rec.last(), fmt.Sprintf(
				"no final answer after %d attempts, home %s, "+
					"last error %v, %s", len(rec.Attempts()), s.describeHome(rec.ID.Home), rec.last().Err, s.progressOf(rec))))
			continue
		}
		for _, name := range []string{CheckAnswerComplete, CheckResultsCorrect, CheckNotRunAccurate, CheckNoLateStart} {
			s.countChecks(name, 1)
		}
		for _, a := range rec.Attempts() {
			s.checkStop(rec, a)
		}
	}
}

// checkStop checks that a planned stop left no task of its jobs without a known outcome. It skips tasks whose worker
// crashed or was removed from the list and so could not be polled. It also skips jobs if an entry VM of the failure
// domain was lost or paused after the stop began, since that VM may be the successor that took over the jobs.
func (s *Soak) checkStop(rec *JobRecord, a Attempt) {
	s.mu.Lock()
	begin, stopped := s.stopped[rec.ID.Home]
	for _, at := range s.outages[rec.ID.Domain] {
		stopped = stopped && (at.Before(begin) || at.After(a.Received))
	}
	crashed := make(map[machine.WorkerID]bool)
	for _, w := range s.workers {
		crashed[w.worker.ID()] = w.crashed || w.removed
	}
	s.mu.Unlock()
	if !stopped {
		return
	}
	s.countChecks(CheckStopCutsNothing, 1)
	for i, r := range a.Answer.Reports {
		st := s.recorder.Ledger.Identity(rec.Plan.Tasks[i].Payload.Identity)
		// A start may be in doubt at a worker that crashed before it recorded the start.
		if r.Outcome == contract.OutcomeUnknown && !crashed[st.Worker] && !crashed[machine.WorkerID(r.Worker)] {
			s.reportViolation(rec.violation(CheckStopCutsNothing, i, a,
				"outcome unknown after a planned stop of the home: "+r.Detail))
		}
	}
}

// describeHome names the process that assigned a job id and how it ended.
func (s *Soak) describeHome(inc machine.Incarnation) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch home := s.homeProcess[inc]; {
	case home == nil:
		return "unknown"
	case !s.crashed[inc].IsZero():
		return home.ID + " (crashed)"
	case !s.stopped[inc].IsZero():
		return home.ID + " (stopped as planned)"
	default:
		return home.ID
	}
}
