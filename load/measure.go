package load

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// sample is the measurement of one complete job of short tasks.
type sample struct {
	at       time.Duration // planned arrival, since the start of the run
	customer string
	// ratio divides the response time by the longest run time of the job's tasks plus one round trip. ratioFastest
	// divides it by the time that the longest task would take on the fastest worker, plus one round trip.
	ratio        float64
	ratioFastest float64
	metDeadline  bool
	wait         time.Duration // longest wait of a task
}

// measurement computes the report from the records of a run. It is used by one goroutine after the run.
type measurement struct {
	run     *Run
	records []*JobRecord
	end     time.Time
	samples []sample
	// waits holds the wait of each short task in ms, behindLong the part of it in which long work blocked slots.
	waits      []float64
	behindLong []float64
}

// checkAnswers counts jobs by their first final answer and checks all answers.
func (m *measurement) checkAnswers(r *Report) []Violation {
	checker := Checker{Ledger: m.run.recorder.Ledger, Faultless: true}
	var all []Violation
	late := 0
	for _, rec := range m.records {
		r.JobsSubmitted++
		first, ok := rec.FirstFinal()
		switch {
		case !ok:
			r.AnswersMissing++
			all = append(all, rec.violation(CheckAnswerArrives, -1, Attempt{Received: m.end}, "no final answer"))
		case first.Answer.Verdict == contract.VerdictComplete:
			r.JobsComplete++
			if first.Received.Sub(first.Sent) > rec.Plan.Deadline {
				late++
			}
		case first.Answer.Verdict == contract.VerdictFailed:
			r.JobsFailed++
		default:
			r.JobsRefused++
		}
		all = append(all, checker.Check(rec)...)
	}
	r.RefusedShare = share(float64(r.JobsRefused), float64(r.JobsSubmitted))
	r.LateShare = share(float64(late), float64(r.JobsComplete))
	for _, v := range all {
		switch v.Check {
		case CheckNotRunAccurate:
			r.RefusalsFalse++
		case CheckAnswerArrives:
		default:
			r.AnswersWrong++
		}
	}
	r.TasksStarted, r.TasksStartedTwice = m.run.recorder.Ledger.Totals()
	return all
}

// measureResponses computes response ratios and waits of jobs of short tasks.
func (m *measurement) measureResponses(r *Report) {
	blocked := m.run.recorder.blockedByLong(m.run.workload.Long.Cap, m.end)
	for _, rec := range m.records {
		attempts := rec.Attempts()
		if rec.Plan.Long || len(attempts) == 0 {
			continue
		}
		wait := m.taskWaits(rec, blocked)
		first, ok := rec.FirstFinal()
		if !ok || first.Answer.Verdict != contract.VerdictComplete {
			continue
		}
		m.samples = append(m.samples, m.sample(rec, first, wait))
	}
	m.summarise(r)
}

// taskWaits records the waits of a job's tasks and returns the longest.
func (m *measurement) taskWaits(rec *JobRecord, blocked []interval) time.Duration {
	longest := time.Duration(0)
	sent := rec.firstSent()
	for i := range rec.Plan.Tasks {
		st := m.run.recorder.Ledger.Task(rec.TaskID(i))
		if st.Count == 0 {
			continue
		}
		wait := max(0, st.First.Sub(sent))
		longest = max(longest, wait)
		m.waits = append(m.waits, millis(wait))
		m.behindLong = append(m.behindLong, millis(overlap(interval{sent, st.First}, blocked)))
	}
	return longest
}

// firstSent returns the time of the job's first submission.
func (r *JobRecord) firstSent() time.Time {
	var first time.Time
	for _, a := range r.Attempts() {
		if first.IsZero() || a.Sent.Before(first) {
			first = a.Sent
		}
	}
	return first
}

func (m *measurement) sample(rec *JobRecord, first Attempt, wait time.Duration) sample {
	var longest, nominal time.Duration
	for i, p := range first.Answer.Reports {
		longest = max(longest, p.RunTime)
		if i < len(rec.Plan.Tasks) {
			nominal = max(nominal, rec.Plan.Tasks[i].Payload.Nominal)
		}
	}
	took := first.Received.Sub(rec.firstSent())
	trip := m.run.roundTrip
	return sample{
		at: rec.Plan.At, customer: rec.Plan.Customer, wait: wait, metDeadline: took <= rec.Plan.Deadline,
		ratio:        float64(took) / float64(longest+trip),
		ratioFastest: float64(took) / (float64(nominal)/m.run.schedule.Fastest() + float64(trip)),
	}
}

func (m *measurement) summarise(r *Report) {
	var ratios, fastest []float64
	byCustomer := make(map[string][]float64)
	for _, s := range m.samples {
		ratios = append(ratios, s.ratio)
		fastest = append(fastest, s.ratioFastest)
		byCustomer[s.customer] = append(byCustomer[s.customer], s.ratio)
	}
	r.ResponseRatioP50, r.ResponseRatioP99 = quantile(ratios, 0.5), quantile(ratios, 0.99)
	r.ResponseRatioFastestP50, r.ResponseRatioFastestP99 = quantile(fastest, 0.5), quantile(fastest, 0.99)
	r.ShortWaitP50MS, r.ShortWaitP99MS = quantile(m.waits, 0.5), quantile(m.waits, 0.99)
	r.ShortWaitBehindLongP99MS = quantile(m.behindLong, 0.99)
	r.ResponseRatioP50ByCustomer = make(map[string]float64)
	r.ResponseRatioP99ByCustomer = make(map[string]float64)
	for c, values := range byCustomer {
		r.ResponseRatioP50ByCustomer[c] = quantile(values, 0.5)
		r.ResponseRatioP99ByCustomer[c] = quantile(values, 0.99)
	}
}

// measurePeak compares the tasks served before their deadline during the peak with the lesser of demand and capacity.
// Without a peak the whole run counts, including answers that arrive after the last job was submitted.
func (m *measurement) measurePeak(r *Report) {
	begin := m.run.begin
	peaks := m.run.workload.Demand.Peaks(time.Duration(m.run.workload.Duration))
	steady := m.run.workload.Demand.Peak == 0
	var length, work, busy float64
	for _, s := range peaks {
		length += (s.To - s.From).Seconds()
		busy += m.run.recorder.busyShare(interval{begin.Add(s.From), begin.Add(s.To)}) * (s.To - s.From).Seconds()
	}
	for _, rec := range m.records {
		n := len(rec.Plan.Tasks)
		if within(peaks, rec.Plan.At) {
			r.PeakTasksDemanded += n
			work += rec.Plan.Work().Seconds()
		}
		first, ok := rec.FirstFinal()
		if !ok || first.Answer.Verdict != contract.VerdictComplete {
			continue
		}
		inTime := first.Received.Sub(rec.firstSent()) <= rec.Plan.Deadline
		if inTime && (steady || within(peaks, first.Received.Sub(begin))) {
			r.PeakTasksServed += n
		}
	}
	capacity := m.run.schedule.Capacity(m.run.workload) * length
	// The capacity in tasks is the work that the workers can perform during the peak, divided by the mean work of a task.
	r.PeakTasksCapacity = share(capacity*float64(r.PeakTasksDemanded), work)
	r.PeakServedRatio = share(float64(r.PeakTasksServed), min(float64(r.PeakTasksDemanded), r.PeakTasksCapacity))
	r.PeakSlotsBusyShare = share(busy, length)
}

func within(spans []Span, t time.Duration) bool {
	for _, s := range spans {
		if s.Contains(t) {
			return true
		}
	}
	return false
}

// countMessages counts the messages between the dispatcher's processes and the workers. Heartbeats and status polls are
// sent at a fixed rate regardless of the load; they are measured before the run and reported separately.
func (m *measurement) countMessages(r *Report) {
	t := m.run.recorder.totals()
	d := m.run.counters().sub(m.run.startCounters)
	background := m.run.idlePeerRate * m.end.Sub(m.run.begin).Seconds()
	peer := max(0, float64(d.peerMessages)-background)
	tasks := float64(r.TasksStarted)
	direct := 2 * float64(r.TasksStarted+t.rejectedAll+t.fenced)
	r.MessagesPerTask = share(direct+peer, tasks)
	// A rejected start and a fence each cost a message and its reply, an unused grant a message and its return.
	r.WastedMessagesPerTask = share(2*float64(t.rejectedAll+t.fenced)+2*float64(d.unusedGrants), tasks)
	r.BackgroundMessagesPerS = m.run.idlePeerRate + m.run.idlePollRate
	r.StartsRejected, r.RejectedByReason, r.Fences = t.rejectedAll, t.rejected, t.fenced
	r.GrantsUnused, r.PeerMessages = d.unusedGrants, d.peerMessages
}

// daemonCounters are counters summed over all entry daemons.
type daemonCounters struct{ peerMessages, unusedGrants int64 }

func (c daemonCounters) sub(o daemonCounters) daemonCounters {
	return daemonCounters{c.peerMessages - o.peerMessages, c.unusedGrants - o.unusedGrants}
}

func (r *Run) counters() daemonCounters {
	return daemonCounters{
		peerMessages: r.deployment.Counter(metric.PeerMessagesSent), unusedGrants: r.deployment.Counter(metric.GrantsUnused),
	}
}
