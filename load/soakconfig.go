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
	// configConflict counts the races of operators under this name among the injected faults.
	configConflict = "config_conflict"
	configStream   = "config"
	configPage     = 256
	// configPause spaces the races; each costs two or three appends.
	configPause = time.Second
	configCall  = time.Second
	// configBound is the time after the end of all faults within which the configuration has to be in effect
	// everywhere: 3 s of the target and the time of the last call.
	configBound = 3*time.Second + configCall
)

// operators publish changes that race each other and read which revision each entry VM has in effect. mu guards the
// revisions seen.
type operators struct {
	s     *Soak
	log   platform.Log
	state *contract.ConfigState

	mu   sync.Mutex
	seen map[uint64]uint64 // highest revision by incarnation
}

func newOperators(s *Soak) (*operators, error) {
	log, err := platform.NewHTTPLog(s.platform.URL())
	if err != nil {
		return nil, err
	}
	return &operators{
		s: s, log: log, state: contract.NewConfigState(config.Check), seen: make(map[uint64]uint64),
	}, nil
}

// run races until end. Its random choices are its own, so that those of the other faults stay the same.
func (o *operators) run(rng *rand.Rand, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		time.Sleep(configPause/2 + time.Duration(rng.Int64N(int64(configPause))))
		if o.readLog() == nil {
			o.race(round, 2+rng.IntN(2), rng.Float64())
		}
		o.observe()
	}
}

// readLog applies the records that the log holds.
func (o *operators) readLog() error {
	ctx, cancel := context.WithTimeout(context.Background(), configCall)
	defer cancel()
	for {
		page, err := o.log.Read(ctx, configStream, o.state.Position(), configPage, 0)
		if err != nil {
			return err
		}
		o.state.Bounds(page.First)
		for _, r := range page.Records {
			// A malformed record is skipped by all readers.
			record, _ := config.DecodeRecord(r.Data)
			o.state.Apply(r.Offset, r.Time, record)
		}
		if len(page.Records) == 0 || o.state.Position() >= page.Next {
			return nil
		}
	}
}

// race publishes changes of the same base revision at the same time.
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
		o.s.must(err)
		publishing.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), configCall)
			defer cancel()
			// A lost reply leaves open whether the change took part in the race.
			_, _ = o.log.Append(ctx, configStream, data)
		})
	}
	publishing.Wait()
	o.s.mu.Lock()
	o.s.injected[configConflict]++
	o.s.mu.Unlock()
}

// observe asks all entry VMs for their revision and checks that none goes back.
func (o *operators) observe() {
	var asking sync.WaitGroup
	for _, p := range o.s.serving() {
		asking.Go(func() { _, _ = o.ask(p) })
	}
	asking.Wait()
}

// ask returns the revision in effect on an entry VM, or false if it does not answer or knows none.
func (o *operators) ask(p *EntryProcess) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), configCall)
	defer cancel()
	r, err := rpc.ShowConfiguration(ctx, p.Callers, true, nil)
	if err != nil || !r.GetKnown() {
		return 0, false
	}
	o.s.checked(CheckConfigNeverReverts, 1)
	o.mu.Lock()
	highest := o.seen[r.GetIncarnation()]
	o.seen[r.GetIncarnation()] = max(highest, r.GetRevision())
	o.mu.Unlock()
	if r.GetRevision() < highest {
		o.s.violate(Violation{Check: CheckConfigNeverReverts, Job: "-", Task: "-", At: time.Now(), Seen: fmt.Sprintf(
			"%s went back from revision %d to %d", p.ID, highest, r.GetRevision())})
	}
	return r.GetRevision(), true
}

// settle checks, once all faults have ended, that the revision which the log decides is in effect everywhere.
func (o *operators) settle() {
	deadline := time.Now().Add(configBound)
	if err := o.readLog(); err != nil {
		o.s.must(err)
		return
	}
	want := o.state.View().Revision
	for _, p := range o.s.serving() {
		o.s.checked(CheckConfigInEffect, 1)
		revision, ok := o.ask(p)
		for (!ok || revision < want) && time.Now().Before(deadline) {
			time.Sleep(configCall / 10)
			revision, ok = o.ask(p)
		}
		if !ok || revision < want {
			o.s.violate(Violation{Check: CheckConfigInEffect, Job: "-", Task: "-", At: time.Now(), Seen: fmt.Sprintf(
				"%s has revision %d (known: %t), the log decided %d", p.ID, revision, ok, want)})
		}
	}
}

// serving returns the entry VMs that have not been taken out of service.
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
