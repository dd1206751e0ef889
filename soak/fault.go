package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// faultFunc injects a fault. It returns when the fault has ended, with the name of its target, or an empty string if it
// could not be injected.
type faultFunc func(s *Soak, rng *rand.Rand) string

// faults maps each fault kind to the function that injects it.
var faults = map[string]faultFunc{
	"kill":         (*Soak).kill,
	"kill_all":     (*Soak).killAll,
	"pause":        (*Soak).pause,
	"planned_stop": (*Soak).plannedStop,
	"reload":       (*Soak).reload,
	"evacuation":   (*Soak).evacuate,

	"clients_half_close": onClients(halfClose),
	"clients_reset":      onClients(reset),
	"clients_cut":        onClients(cut),
	"clients_silent":     onClients(silence),
	"clients_slow":       onClients(slow),
	"clients_leave":      (*Soak).sendClientsAway,
	"clients_cancel":     (*Soak).cancelJobs,

	"clients_abandoned":   (*Soak).abandonClients,
	"isolated":            (*Soak).isolate,
	"isolated_from_store": (*Soak).isolateFromStore,
	"pair_and_callers":    (*Soak).partitionPairAndAbandon,

	"peers_cut":          onPeers(cut),
	"peers_silent":       onPeers(silence),
	"peers_one_way":      onPeers(silenceRequests),
	"peers_slow":         onPeers(slow),
	"peers_partitioned":  (*Soak).partitionPair,
	"domain_partitioned": (*Soak).partitionDomain,
	"domain_cut":         (*Soak).cutDomain,
	"domain_cut_late":    (*Soak).cutDomainBeforeClients,
	"domain_power":       (*Soak).loseDomainPower,

	"store_cut":    onStoreLink(cut),
	"store_silent": onStoreLink(silence),
	"store_down":   (*Soak).storeDown,
	"store_loses":  (*Soak).loseStoreAnswers,

	"worker_cut":          onWorkerLink(cut),
	"worker_silent":       onWorkerLink(silence),
	"worker_slow":         onWorkerLink(slow),
	"worker_repeats":      onWorkerLink(repeatAnswers),
	"worker_crash":        (*Soak).crashWorker,
	"worker_exit":         (*Soak).exitWorker,
	"worker_exit_wave":    (*Soak).exitWave,
	"worker_late_grants":  (*Soak).delayOrders,
	"worker_late_orders":  (*Soak).delayCalls,
	"worker_late_restart": (*Soak).restartBeforeLateStarts,
	"worker_loses":        (*Soak).loseStarts,
	"worker_rejects":      (*Soak).rejectStarts,
	"worker_spoils":       (*Soak).spoilAnswers,
}

// faultFreeTail is the time at the end of a run during which no fault starts.
const faultFreeTail = time.Second

// inject starts faults drawn from the seed until shortly before end and waits for all of them to end.
func (s *Soak) inject(rng *rand.Rand, end time.Time) {
	kinds := FaultKinds()
	if len(s.o.Faults) > 0 {
		kinds = s.o.Faults
	}
	var all sync.WaitGroup
	defer all.Wait()
	for time.Now().Before(end.Add(-faultFreeTail)) {
		time.Sleep(s.faultGap(rng))
		kind, faultRNG := kinds[rng.IntN(len(kinds))], rand.New(rand.NewPCG(rng.Uint64(), 0))
		all.Go(func() {
			begin := time.Now()
			if target := faults[kind](s, faultRNG); target != "" {
				s.recordFault(kind, target, begin)
			}
		})
	}
}

// faultGap returns the time until the next fault.
func (s *Soak) faultGap(rng *rand.Rand) time.Duration {
	if s.o.FaultInterval > 0 {
		return s.o.FaultInterval
	}
	return time.Duration(50+rng.IntN(500)) * time.Millisecond
}

func faultDuration(rng *rand.Rand) time.Duration {
	return time.Duration(200+rng.IntN(3000)) * time.Millisecond
}

func (s *Soak) randomDaemon(rng *rand.Rand) *daemon { return s.daemons[rng.IntN(len(s.daemons))] }

func (s *Soak) randomWorker(rng *rand.Rand) *worker { return s.workers[rng.IntN(len(s.workers))] }

// restart starts a daemon again after a delay.
func (s *Soak) restart(d *daemon, delay time.Duration) {
	time.Sleep(delay)
	if err := d.start(); err != nil {
		s.reportViolation("daemon_starts", err.Error())
	}
}

func (s *Soak) kill(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	if !d.reserve() {
		return ""
	}
	defer d.release()
	d.terminate(syscall.SIGKILL, startTimeout)
	s.restart(d, faultDuration(rng)/2)
	return d.vm
}

func (s *Soak) killAll(rng *rand.Rand) string {
	delay := faultDuration(rng) / 2
	var all sync.WaitGroup
	for _, d := range s.daemons {
		if d.reserve() {
			all.Go(func() {
				defer d.release()
				d.terminate(syscall.SIGKILL, startTimeout)
				s.restart(d, delay)
			})
		}
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allKilled = append(s.allKilled, time.Now())
	return "all"
}

func (s *Soak) pause(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	if !d.reserve() {
		return ""
	}
	defer d.release()
	d.signal(syscall.SIGSTOP)
	time.Sleep(faultDuration(rng))
	d.signal(syscall.SIGCONT)
	return d.vm
}

func (s *Soak) plannedStop(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	if !d.reserve() {
		return ""
	}
	defer d.release()
	begin := time.Now()
	if !d.terminate(syscall.SIGTERM, grace+time.Second) {
		s.reportViolation("stop_ends_in_time", fmt.Sprintf("%s is still running %v after SIGTERM", d.vm, time.Since(begin)))
		d.terminate(syscall.SIGKILL, startTimeout)
	}
	s.recordStop(d, begin)
	s.restart(d, time.Duration(rng.IntN(1000))*time.Millisecond)
	return d.vm
}

func (s *Soak) reload(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	if !d.reserve() {
		return ""
	}
	defer d.release()
	d.signal(syscall.SIGHUP)
	return d.vm
}

func (s *Soak) storeDown(rng *rand.Rand) string {
	s.store.SetDown(true)
	time.Sleep(faultDuration(rng))
	s.store.SetDown(false)
	return "store"
}

func (s *Soak) loseStoreAnswers(rng *rand.Rand) string {
	s.store.SetLosingReplies(true)
	time.Sleep(faultDuration(rng))
	s.store.SetLosingReplies(false)
	return "store"
}
