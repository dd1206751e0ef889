package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/rpc"
)

const (
	// configConflict is the name under which races between operators are counted among the injected faults.
	configConflict = "config_conflict"
	configStream   = "config"
	configPage     = 256 // records in one read of the log
	// configPause is the mean time between races; each race costs two or three appends.
	configPause       = time.Second
	configCallTimeout = time.Second
	// configBound is the time after the end of all faults within which the configuration must be in effect on all entry
	// VMs: the target of 3 s and the time of the last call.
	configBound = 3*time.Second + configCallTimeout
)

// operators publish competing configuration changes and read the revision in effect on each entry VM. mu guards the
// revisions.
type operators struct {
	s     *Soak
	log   platform.Log
	state *contract.ConfigState

	mu        sync.Mutex
	revisions map[uint64]uint64 // highest revision by incarnation
}

func newOperators(s *Soak) *operators {
	log := platform.NewHTTPLog(s.platform.URL())
	return &operators{
		s: s, log: log, state: contract.NewConfigState(config.Check), revisions: make(map[uint64]uint64),
	}
}

// run publishes competing changes until end. It has its own random source, so that the draws of the other faults do not
// change.
func (o *operators) run(rng *rand.Rand, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		time.Sleep(configPause/2 + time.Duration(rng.Int64N(int64(configPause))))
		if o.readLog() == nil {
			o.race(round, 2+rng.IntN(2), rng.Float64())
		}
		o.pollRevisions()
	}
}

// readLog applies all records of the log.
func (o *operators) readLog() error {
	ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
	defer cancel()
	for {
		page, err := o.log.Read(ctx, configStream, o.state.Position(), configPage, 0)
		if err != nil {
			return err
		}
		o.state.SetOldestOffset(page.First)
		for _, r := range page.Records {
			// All readers skip a malformed record.
			record, _ := config.DecodeRecord(r.Data)
			o.state.Apply(r.Offset, r.Time, record)
		}
		if len(page.Records) == 0 || o.state.Position() >= page.Next {
			return nil
		}
	}
}

// race publishes n changes of the same base revision concurrently.
func (o *operators) race(round, n int, weight float64) {
	base := o.state.View().Revision
	var publishing sync.WaitGroup
	for i := range n {
		change := contract.ConfigChange{
			ID: fmt.Sprintf("race-%d-%d", round, i), Author: fmt.Sprintf("operator-%d", i), Base: base,
			Patch: contract.ConfigPatch{Customers: map[string]*contract.CustomerConfig{
				"customer-0": {Weight: 1 + weight + float64(i)},
			}},
		}
		data, err := config.EncodeRecord(contract.ConfigRecord{Change: &change})
		o.s.reportError(err)
		publishing.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
			defer cancel()
			// If the reply is lost, the change may or may not have been appended.
			_, _ = o.log.Append(ctx, configStream, data)
		})
	}
	publishing.Wait()
	o.s.mu.Lock()
	o.s.injected[configConflict]++
	o.s.mu.Unlock()
}

// pollRevisions reads the revision of every entry VM and checks that none decreases.
func (o *operators) pollRevisions() {
	var polls sync.WaitGroup
	for _, p := range o.s.serving() {
		polls.Go(func() { _, _ = o.revisionOf(p) })
	}
	polls.Wait()
}

// revisionOf returns the revision in effect on an entry VM, and false if the VM does not answer or knows none.
func (o *operators) revisionOf(p *EntryProcess) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
	defer cancel()
	r, err := rpc.ShowConfiguration(ctx, p.Callers, true, nil)
	if err != nil || !r.GetKnown() {
		return 0, false
	}
	o.s.countChecks(CheckConfigNeverReverts, 1)
	o.mu.Lock()
	highest := o.revisions[r.GetIncarnation()]
	o.revisions[r.GetIncarnation()] = max(highest, r.GetRevision())
	o.mu.Unlock()
	if r.GetRevision() < highest {
		o.s.reportViolation(Violation{
			Check: CheckConfigNeverReverts, Job: "-", Task: "-", At: time.Now(), Observed: fmt.Sprintf(
				"%s reverted from revision %d to %d", p.ID, highest, r.GetRevision()),
		})
	}
	return r.GetRevision(), true
}

// checkInEffect checks, after all faults have ended, that the revision decided by the log is in effect on all entry
// VMs.
func (o *operators) checkInEffect() {
	deadline := time.Now().Add(configBound)
	if err := o.readLog(); err != nil {
		o.s.reportError(err)
		return
	}
	want := o.state.View().Revision
	for _, p := range o.s.serving() {
		o.s.countChecks(CheckConfigInEffect, 1)
		revision, ok := o.revisionOf(p)
		for (!ok || revision < want) && time.Now().Before(deadline) {
			time.Sleep(configCallTimeout / 10)
			revision, ok = o.revisionOf(p)
		}
		if !ok || revision < want {
			o.s.reportViolation(Violation{Check: CheckConfigInEffect, Job: "-", Task: "-", At: time.Now(), Observed: fmt.Sprintf(
				"%s has revision %d (known: %t), the log decided %d", p.ID, revision, ok, want)})
		}
	}
}

// serving returns the entry VMs in service.
func (s *Soak) serving() []*EntryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*EntryProcess
	for _, p := range s.entries {
		if p.Serving() {
			out = append(out, p)
		}
	}
	return out
}
