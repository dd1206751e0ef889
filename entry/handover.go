package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// maxPartBytes is the size in bytes at which a part of a hand-over is sent. Larger parts would delay the heartbeats
	// on the link. A part exceeds it by less than one job or answer.
	maxPartBytes = 1 << 20
	// partTimeout bounds the wait for the reply to a part. The part is sent again afterwards.
	partTimeout    = time.Second
	partRetryDelay = 50 * time.Millisecond
	// beginAttempts is the number of times that a member is asked to become the successor.
	beginAttempts = 2
	// receiveTimeout bounds the wait of a stopping VM for the end of incoming hand-overs.
	receiveTimeout = 20 * time.Second
	flushTimeout   = time.Second
)

var errSuccessorGone = errors.New("the successor is gone")

// handOvers tracks the progress of incoming hand-overs and of this VM's own. mu guards lastPart and inProgress and is
// held while a part is applied, so that a repeated part waits for the first copy.
type handOvers struct {
	mu         sync.Mutex
	lastPart   map[machine.Incarnation]uint32
	inProgress map[machine.Incarnation]bool

	ownMu  sync.Mutex      // guards own and hasOwn
	own    zone.Succession // succession of this VM, valid if hasOwn is set
	hasOwn bool
}

func newHandOvers() *handOvers {
	return &handOvers{lastPart: make(map[machine.Incarnation]uint32), inProgress: make(map[machine.Incarnation]bool)}
}

func (h *handOvers) successor() (zone.Succession, bool) {
	h.ownMu.Lock()
	defer h.ownMu.Unlock()
	return h.own, h.hasOwn
}

func (h *handOvers) setSuccessor(s zone.Succession, hasOwn bool) {
	h.ownMu.Lock()
	defer h.ownMu.Unlock()
	h.own, h.hasOwn = s, hasOwn
}

// receiving returns the homes whose hand-over to this VM is in progress.
func (h *handOvers) receiving() []machine.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var homes []machine.Incarnation
	for inc := range h.inProgress {
		homes = append(homes, inc)
	}
	return homes
}

// adopt applies a part of a hand-over, once. A repeated part is only acknowledged again.
func (d *Daemon) adopt(vm string, m *api.HandOver) error {
	inc := machine.Incarnation(m.GetIncarnation())
	if machine.Incarnation(m.GetSuccessor()) != d.o.VM.Incarnation {
		return fault.Unavailable.New("the part is meant for another incarnation")
	}
	h := d.handovers
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.lastPart[inc]
	if m.GetPart() <= last {
		return nil
	}
	if m.GetPart() != last+1 {
		return fault.Unavailable.New("part %d arrived before part %d", m.GetPart(), last+1)
	}
	if last == 0 && (d.dispatcher.Draining() || d.fenced.Load()) {
		return fault.With(fault.Draining, fault.ReasonDraining, "this entry VM is stopping")
	}
	if err := d.requireConfiguration(); last == 0 && err != nil {
		return err
	}
	if err := d.applyPart(m); err != nil {
		return err
	}
	h.lastPart[inc] = m.GetPart()
	complete := len(m.GetHomes()) > 0 && m.GetHomes()[0].GetComplete()
	if complete {
		delete(h.inProgress, inc)
	} else {
		h.inProgress[inc] = true
	}
	if last == 0 {
		// If the reply to the first part is lost, the home may still choose another successor.
		return nil
	}
	succession := zone.Succession{
		Home: inc, VM: vm, Successor: d.o.VM.Incarnation, SuccessorVM: d.o.VM.ID, Complete: complete,
	}
	if d.homes.SetSuccession(succession, d.o.Now()) {
		d.broadcastSuccession(succession)
	}
	return nil
}

// applyPart applies the answers and jobs before the homes: once a home is complete, a job of it that is neither in
// the table nor expired counts as never accepted.
func (d *Daemon) applyPart(m *api.HandOver) error {
	now := d.o.Now()
	answers := make([]contract.Answer, 0, len(m.GetAnswers()))
	for _, a := range m.GetAnswers() {
		answer, err := wire.AnswerFrom(a)
		if err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	for _, a := range answers {
		d.table.AdoptAnswer(a, now)
	}
	for _, j := range m.GetWaiting() {
		s, err := wire.SubmissionFrom(j.GetJob())
		if err != nil {
			return err
		}
		d.timeline.Job(timeline.JobTakenOver, s.Ref.ID, s.Service, len(s.Tasks))
		d.dispatcher.Adopt(contract.JobSpec{
			ID: s.Ref.ID, Service: s.Service, Customer: s.Customer, Team: s.Team, Tasks: s.Tasks, Priority: s.Priority,
			Deadline: now.Add(time.Duration(j.GetRemainingMs()) * time.Millisecond),
		})
	}
	for _, r := range m.GetHomes() {
		ok := d.table.Adopt(contract.AdoptedHome{
			Home: machine.Incarnation(r.GetIncarnation()), FirstUnminted: r.GetMinted(), Expired: r.GetExpired(),
			Complete: r.GetComplete(),
		})
		if !ok {
			return fault.With(fault.Draining, "too many closures", "too many homes were handed over to this entry VM")
		}
	}
	return nil
}

// Stop refuses new work, completes the running tasks, hands the remaining jobs over to a successor, waits until callers
// have received their answers, and closes all links. It stops waiting when ctx is cancelled.
func (d *Daemon) Stop(ctx context.Context) {
	d.dispatcher.Drain()
	d.timeline.Record(timeline.Event{Kind: timeline.ProcessDraining})
	d.awaitIncomingHandOvers(ctx)
	d.table.Close()
	d.heartbeat()
	d.handOverAll(ctx)
	d.quotas.returnQuota(ctx)
	d.rpcServer.Stop(ctx)
	d.requests.waitIdle(ctx)
	d.flush(ctx)
	d.timeline.Record(timeline.Event{Kind: timeline.ProcessStopped})
	d.shutdown()
	d.o.Logger.Info("entry daemon stopped", "vm", d.o.VM.ID)
}

// flush waits until the members have acknowledged the tombstone and the last replies. It waits at most flushTimeout, so
// that a link that is down does not block the stop.
func (d *Daemon) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	t := time.NewTicker(schedulerInterval)
	defer t.Stop()
	for !d.peers.flushed() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitIncomingHandOvers waits until the hand-overs to this VM have completed, so that they can be handed over as a
// whole.
func (d *Daemon) awaitIncomingHandOvers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, receiveTimeout)
	defer cancel()
	t := time.NewTicker(schedulerInterval)
	defer t.Stop()
	for {
		waiting := false
		for _, inc := range d.handovers.receiving() {
			home := d.homes.Locate(inc, d.o.Now())
			waiting = waiting || (home.State == zone.HomeRunning && home.Incarnation == inc)
		}
		if !waiting {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// handOverAll hands all jobs over to a successor, and chooses another one if the successor is lost. If no member is
// left, all accepted jobs run to completion here.
func (d *Daemon) handOverAll(ctx context.Context) {
	tried := map[string]bool{d.o.VM.ID: true}
	for ctx.Err() == nil {
		t, ok := d.beginTransfer(ctx, tried)
		if !ok {
			d.handovers.setSuccessor(zone.Succession{}, false)
			d.waitIdle(ctx)
			return
		}
		if t.run(ctx) == nil {
			d.tombstones.publish(ctx, t.succession)
			return
		}
	}
}

// transfer is one attempt to hand all jobs over to a successor.
type transfer struct {
	d          *Daemon
	succession zone.Succession
	part       uint32
}

// beginTransfer finds a member that accepts the first part, which contains no job.
func (d *Daemon) beginTransfer(ctx context.Context, tried map[string]bool) (*transfer, bool) {
	for ctx.Err() == nil {
		var members []machine.EntryVM
		for _, vm := range d.domain.Live() {
			if !tried[vm.ID] {
				members = append(members, vm)
			}
		}
		vm, ok := zone.Choose(d.o.VM.Incarnation.String(), members)
		if !ok {
			return nil, false
		}
		tried[vm.ID] = true
		t := &transfer{d: d, succession: zone.Succession{
			Home: d.o.VM.Incarnation, VM: d.o.VM.ID, Successor: d.homes.Current(vm.ID), SuccessorVM: vm.ID,
		}}
		if t.begin(ctx) {
			d.handovers.setSuccessor(t.succession, true)
			d.peers.broadcast(tombstoneMessage(d.tombstone(t.succession)))
			return t, true
		}
	}
	return nil, false
}

func (t *transfer) begin(ctx context.Context) bool {
	t.part = 1
	for range beginAttempts {
		if err := t.request(ctx, &api.HandOver{Homes: t.homes(false)}); err == nil {
			return true
		} else if fault.IsProvenNotStarted(err) {
			return false
		}
	}
	return false
}

// run transfers the jobs that were never started, waits for the running ones, and transfers the answers.
func (t *transfer) run(ctx context.Context) error {
	specs := t.d.table.Detach()
	if err := t.sendJobs(ctx, specs); err != nil {
		return err
	}
	t.d.waitIdle(ctx)
	err := t.sendAnswers(ctx)
	if err == nil {
		err = t.send(ctx, &api.HandOver{Homes: t.homes(true)})
	}
	if errors.Is(err, errSuccessorGone) {
		t.d.table.Abandon(specs, "the successor of the home is gone", t.d.o.Now())
		return err
	}
	t.succession.Complete = err == nil
	t.d.handovers.setSuccessor(t.succession, true)
	t.d.homes.SetSuccession(t.succession, t.d.o.Now())
	return nil
}

// sendJobs transfers jobs in parts. A job whose part was not acknowledged never runs here again, unless the successor
// refused the part, which proves that it does not have the job.
func (t *transfer) sendJobs(ctx context.Context, specs []contract.JobSpec) error {
	for begin := 0; begin < len(specs); {
		m := &api.HandOver{}
		end, size := begin, 0
		for end < len(specs) && (end == begin || size < maxPartBytes) {
			job := t.job(specs[end])
			size += proto.Size(job)
			m.Waiting = append(m.Waiting, job)
			end++
		}
		err := t.send(ctx, m)
		switch {
		case err == nil:
			t.d.recordHandOver(specs[begin:end], t.succession.SuccessorVM)
			begin = end
		case fault.IsProvenNotStarted(err):
			t.d.table.Restore(specs[begin:], t.d.o.Now())
			t.d.dispatcher.Requeue(specs[begin:])
			return nil
		default:
			if errors.Is(err, errSuccessorGone) {
				t.d.table.Abandon(specs, "the successor of the home is gone", t.d.o.Now())
			}
			return err
		}
	}
	return nil
}

func (t *transfer) job(s contract.JobSpec) *api.HandOverJob {
	return &api.HandOverJob{
		Job: wire.SubmissionTo(contract.Submission{
			Ref: contract.JobRef{ID: s.ID}, Service: s.Service, Customer: s.Customer, Team: s.Team, Tasks: s.Tasks,
			Priority: s.Priority,
		}, 0),
		RemainingMs: s.Deadline.Sub(t.d.o.Now()).Milliseconds(),
	}
}

func (t *transfer) sendAnswers(ctx context.Context) error {
	var failed error
	m, size := &api.HandOver{}, 0
	flush := func() {
		if failed == nil && len(m.Answers) > 0 {
			failed = t.send(ctx, m)
		}
		m, size = &api.HandOver{}, 0
	}
	t.d.table.Answers(func(answers []contract.Answer) {
		for _, a := range answers {
			out := wire.AnswerTo(a)
			size += proto.Size(out)
			m.Answers = append(m.Answers, out)
			if size >= maxPartBytes {
				flush()
			}
		}
	})
	flush()
	return failed
}

// homes returns the homes that this VM answers for, its own first.
func (t *transfer) homes(last bool) []*api.HandOverHome {
	var out []*api.HandOverHome
	for _, h := range t.d.table.Homes() {
		out = append(out, &api.HandOverHome{
			Incarnation: uint64(h.Home), Minted: h.FirstUnminted, Expired: h.Expired, Complete: last && h.Complete,
		})
	}
	return out
}

// send retries the next part until the successor replies or is gone, or ctx is cancelled.
func (t *transfer) send(ctx context.Context, m *api.HandOver) error {
	t.part++
	for {
		err := t.request(ctx, m)
		if err == nil || fault.IsProvenNotStarted(err) {
			return err
		}
		if t.successorGone(ctx) {
			return errSuccessorGone
		}
		select {
		case <-time.After(partRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *transfer) successorGone(ctx context.Context) bool {
	home := t.d.homes.Locate(t.succession.Successor, t.d.o.Now())
	if home.State == zone.HomeSilent {
		home.State = t.d.confirmGone(ctx, home)
	}
	return home.State == zone.HomeGone
}

func (t *transfer) request(ctx context.Context, m *api.HandOver) error {
	m.Incarnation, m.Successor, m.Part = uint64(t.succession.Home), uint64(t.succession.Successor), t.part
	_, err := t.d.peers.request(ctx, t.succession.SuccessorVM, &api.Request{
		Body: &api.Request_HandOver{HandOver: m},
	}, partTimeout)
	return err
}
