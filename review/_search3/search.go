package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

func peerSender(first []byte) (vm string, decided bool) {
	var envelope []byte
	for {
		rest, frame, ok, err := drpcwire.ParseFrame(first)
		if err != nil {
			return "", true
		}
		if !ok {
			return "", false
		}
		first = rest
		if frame.Kind != drpcwire.KindMessage {
			continue
		}
		envelope = append(envelope, frame.Data...)
		if frame.Done {
			break
		}
	}
	var e api.Envelope
	if err := proto.Unmarshal(envelope, &e); err != nil {
		return "", true
	}
	return e.GetFromVm(), true
}

type fjob struct {
	id        string
	counts    []int
	label     string
	limit     int
	done      map[[2]int]bool
	running   map[[2]int]map[string]uint64
	starts    int
	answers   []int
	cancelled time.Time
	dur       time.Duration
}

type fuzzer struct {
	r           *rig
	rng         *rand.Rand
	mu          sync.Mutex
	jobs        map[string]*fjob
	broken      int
	lastTrouble time.Time
	draining    map[string]time.Time
	wl          map[string]*worker
	relays      map[string]*load.Relay
	prelays     []*load.Relay
	busy        map[string]bool
}

func sizesOf() map[string]machine.Resources {
	m := map[string]machine.Resources{"a": {CPUMillis: 4000, MemoryMB: 65536}, "b": {CPUMillis: 2000, MemoryMB: 65536}}
	if os.Getenv("SAMEKIND") != "" {
		m["b"] = m["a"]
	}
	return m
}

func (f *fuzzer) bad(format string, a ...any) {
	f.broken++
	f.r.rec.add("VIOLATION "+format, a...)
	fmt.Fprintf(os.Stderr, "VIOLATION "+format+"\n", a...)
}

type obs struct {
	f *fuzzer
	w *worker
}

func (o obs) Started(_ string, k contract.RunKey) {
	f := o.f
	o.w.Started("", k)
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[k.Batch]
	if j == nil {
		f.bad("UNASKED %s", name(k))
		return
	}
	j.starts++
	t := [2]int{k.Step, k.Index}
	if len(j.running[t]) > 0 {
		f.bad("TWICE %s on %s, also %v", name(k), o.w.id, j.running[t])
	}
	if j.running[t] == nil {
		j.running[t] = map[string]uint64{}
	}
	j.running[t][o.w.id] = k.Run
	if k.Step > 0 {
		for i := range j.counts[k.Step-1] {
			if !j.done[[2]int{k.Step - 1, i}] {
				f.bad("ORDER %s", name(k))
				break
			}
		}
	}
	o.w.mu.Lock()
	labels, running, cp := o.w.labels, len(o.w.running), o.w.capacity
	n := 0
	for r := range o.w.running {
		if r.Batch == k.Batch && r.Step == k.Step {
			n++
		}
	}
	o.w.mu.Unlock()
	if running*1000 > cp.CPUMillis {
		f.bad("LIMIT %s on %s: %d of %d", name(k), o.w.id, running*1000, cp.CPUMillis)
	}
	if j.label != "" && labels[0] != j.label {
		f.bad("ROUTE %s on %s: label %s wanted %s", name(k), o.w.id, labels[0], j.label)
	}
	if j.limit > 0 && n > j.limit {
		f.bad("ROUTE anti_affinity %s on %s: %d", name(k), o.w.id, n)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound {
		f.bad("UNASKED cancelled %v ago %s on %s; last trouble %v ago", time.Since(j.cancelled), name(k), o.w.id, time.Since(f.lastTrouble))
	}
	if at, ok := f.draining[o.w.id]; ok && time.Since(at) > 2*time.Second {
		f.bad("DRAIN %s on %s", name(k), o.w.id)
	}
}

func (o obs) Ended(_ string, k contract.RunKey, s contract.RunState, at time.Time) {
	o.w.Ended("", k, s, at)
	f := o.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[k.Batch]; j != nil {
		t := [2]int{k.Step, k.Index}
		delete(j.running[t], o.w.id)
		if s == contract.RunDone {
			j.done[t] = true
		}
	}
}

func fuzz(r *rig, _ bool) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	f := &fuzzer{r: r, rng: rng, jobs: map[string]*fjob{}, draining: map[string]time.Time{}, wl: map[string]*worker{}, relays: map[string]*load.Relay{}, busy: map[string]bool{}}
	guards := rng.IntN(3) == 0
	r.publish(1, guards)
	kinds := []string{"a", "b"}
	sizes := sizesOf()
	for i := range 9 {
		zone := []string{"a", "b", "c"}[i%3]
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		k := kinds[rng.IntN(2)]
		w := &worker{rig: r, id: fmt.Sprintf("w-%d", i), zone: zone, capacity: sizes[k], state: "ready", labels: []string{k, fmt.Sprintf("r-%d", i/3)}, running: map[contract.RunKey]bool{}}
		w.host = standin.NewRunHost(standin.RunHostOptions{ID: w.id, Capacity: sizes[k], MaxLease: maxHold, Observer: obs{f, w}, Unguarded: !guards,
			Need: func(contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: 1000, MemoryMB: 64} },
			Plan: func(k contract.RunKey) standin.RunPlan {
				f.mu.Lock()
				defer f.mu.Unlock()
				if j := f.jobs[k.Batch]; j != nil {
					return standin.RunPlan{Duration: j.dur}
				}
				return standin.RunPlan{Duration: 300 * time.Millisecond}
			}})
		w.server = standin.ServeHost(l, w.id, w.host)
		relay, err := load.NewRelay(l.Addr().String())
		if err != nil {
			return false, err
		}
		f.relays[w.id] = relay
		w.address = relay.Address()
		f.wl[w.id] = w
		r.workers = append(r.workers, w)
		w.beat()
		go func() {
			for {
				select {
				case <-time.After(heartbeat):
					w.beat()
				case <-r.done:
					return
				}
			}
		}()
	}
	for _, zone := range []string{"a", "b", "c"} {
		for n := range 2 {
			d, err := r.addDaemon(fmt.Sprintf("edge-%s%d", zone, n), zone)
			if err != nil {
				return false, err
			}
			d.kill()
			b, _ := os.ReadFile(d.settings)
			s := string(b)
			i := strings.Index(s, "peers = \"") + 9
			e := i + strings.Index(s[i:], "\"")
			rel, err := load.NewSenderRelay(s[i:e], peerSender)
			if err != nil {
				return false, err
			}
			f.prelays = append(f.prelays, rel)
			s = s[:e+1] + "\nadvertise = \"" + rel.Address() + "\"" + s[e+1:]
			_ = os.WriteFile(d.settings, []byte(s), 0o600)
			if err := d.start(); err != nil {
				return false, err
			}
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	// clients
	var n int
	for c := range 20 {
		crng := rand.New(rand.NewPCG(seed, uint64(100+c)))
		wg.Go(func() {
			for time.Now().Before(end) {
				f.client(crng, &n)
				time.Sleep(time.Duration(crng.IntN(200)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end.Add(-8 * time.Second)) {
		time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond)
		f.trouble(&wg)
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	st := map[int]int{}
	for _, j := range f.jobs {
		all503 := len(j.answers) > 0
		for _, a := range j.answers {
			st[a]++
			if a != 503 {
				all503 = false
			}
			if a == 200 {
				served++
				for s, c := range j.counts {
					for i := range c {
						if !j.done[[2]int{s, i}] {
							f.bad("MIXED %s completed, %d.%d not done", j.id, s, i)
						}
					}
				}
			}
		}
		if all503 && j.starts > 0 {
			f.bad("REFUSED %s", j.id)
		}
	}
	for _, d := range r.daemons {
		select {
		case <-d.exited:
			f.bad("EXIT %s", d.vm)
		default:
		}
		b, _ := os.ReadFile(filepath.Join(r.dir, d.vm+".log"))
		if strings.Contains(string(b), "panic") || strings.Contains(string(b), "failed unexpectedly") {
			f.bad("PANIC %s", d.vm)
		}
	}
	fmt.Fprintf(os.Stderr, "seed %d guards %v jobs %d served %d answers %v broken %d\n", seed, guards, len(f.jobs), served, st, f.broken)
	return f.broken > 0, nil
}

func (f *fuzzer) client(rng *rand.Rand, n *int) {
	f.mu.Lock()
	*n++
	id := fmt.Sprintf("%016x", *n)
	j := &fjob{id: id, done: map[[2]int]bool{}, running: map[[2]int]map[string]uint64{}, dur: time.Duration([]int{50, 200, 700, 2000}[rng.IntN(4)]) * time.Millisecond}
	steps := []map[string]any{}
	label, limit := "", 0
	if rng.IntN(4) == 0 {
		label = []string{"a", "b"}[rng.IntN(2)]
	}
	if rng.IntN(4) == 0 {
		limit = 1
	}
	for s := range 1 + rng.IntN(3) {
		c := 1 + rng.IntN(6)
		j.counts = append(j.counts, c)
		st := map[string]any{"count": c, "cpu": 1000, "mem_mb": 64, "estimate_ms": j.dur.Milliseconds()}
		if s > 0 {
			st["depends_on"] = []int{s - 1}
		}
		if label != "" {
			st["requires"] = label
		}
		if limit > 0 {
			st["anti_affinity"] = limit
		}
		steps = append(steps, st)
	}
	j.label, j.limit = label, limit
	f.jobs[id] = j
	f.mu.Unlock()
	body := job(steps...)
	lim := time.Duration([]int{3, 10, 15}[rng.IntN(3)]) * time.Second
	var cancel *daemon
	if rng.IntN(5) == 0 {
		cancel = f.r.daemons[rng.IntN(len(f.r.daemons))]
		after := time.Duration(rng.IntN(2500)) * time.Millisecond
		go func() {
			time.Sleep(after)
			if s, _ := f.r.call(cancel, "DELETE", id, nil, 2*time.Second); s == 200 {
				f.mu.Lock()
				if j.cancelled.IsZero() {
					j.cancelled = time.Now()
				}
				f.mu.Unlock()
			}
		}()
	}
	for try := range 4 {
		d := f.r.daemons[rng.IntN(len(f.r.daemons))]
		s, _ := f.r.call(d, "POST", id, body, lim)
		f.mu.Lock()
		j.answers = append(j.answers, s)
		stop := s == 200 || s == 503
		f.mu.Unlock()
		if stop || try == 3 {
			return
		}
		time.Sleep(resendPause)
	}
}

func (f *fuzzer) trouble(wg *sync.WaitGroup) {
	rng := f.rng
	d := f.r.daemons[rng.IntN(len(f.r.daemons))]
	w := f.r.workers[rng.IntN(len(f.r.workers))]
	relay := rng.IntN(len(f.prelays))
	pr := f.prelays[relay]
	dur := time.Duration(300+rng.IntN(4000)) * time.Millisecond
	k := rng.IntN(16)
	f.mu.Lock()
	f.lastTrouble = time.Now()
	f.mu.Unlock()
	f.r.rec.add("TROUBLE %d at %s %s, channels to %s, for %v", k, d.vm, w.id, f.r.daemons[relay].vm, dur)
	kinds := []string{"a", "b"}
	sizes := sizesOf()
	nk := kinds[rng.IntN(2)]
	rack := w.labels[1]
	n := rng.IntN(4) + 2
	who := w.id
	if k >= 5 && k <= 8 {
		who = d.vm
	} else if k == 9 || k == 10 {
		who = ""
	}
	f.mu.Lock()
	if f.busy[who] && who != "" {
		f.mu.Unlock()
		return
	}
	f.busy[who] = true
	f.mu.Unlock()
	wg.Go(func() {
		defer func() { f.mu.Lock(); f.busy[who] = false; f.mu.Unlock() }()
		switch k {
		case 0, 1: // dark worker, back as any kind
			w.crash()
			time.Sleep(dur)
			w.restart(sizes[nk], []string{nk, rack})
		case 2:
			w.crash()
			w.host.SetRefusing(true)
			time.Sleep(dur / 4)
			w.restart(w.capacity, w.labels)
		case 3: // held starts, carried out late
			w.host.SetHoldingStarts(n)
			time.Sleep(dur)
			w.host.SetHoldingStarts(0)
			time.Sleep(2 * time.Second)
			if n%2 == 0 {
				w.host.DeliverHeld()
				break
			}
			for _, h := range w.host.DiscardHeld() {
				clock := time.Since(time.UnixMilli(w.born()))
				h.LeaseEnd = clock + time.Second
				f.r.rec.add("late start %s token %d at %s", name(h.Key), h.Token, w.id)
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				_, _, _ = w.host.Start(ctx, h)
				cancel()
			}
		case 14, 15:
			w.host.SetDelayEveryNth(2, 2*time.Second+dur/4)
			time.Sleep(dur / 3)
			w.host.SetDelayEveryNth(0, 0)
		case 4:
			w.host.SetLosingReplies(true)
			time.Sleep(dur / 4)
			w.host.SetLosingReplies(false)
		case 5:
			d.signal(syscall.SIGSTOP)
			time.Sleep(dur)
			d.signal(syscall.SIGCONT)
		case 6, 7:
			d.signal(syscall.SIGKILL)
			<-d.exited
			time.Sleep(dur / 2)
			_ = d.start()
		case 8:
			d.signal(syscall.SIGTERM)
			<-d.exited
			time.Sleep(100 * time.Millisecond)
			_ = d.start()
		case 9:
			pr.Silence()
		case 10:
			pr.Cut()
			time.Sleep(dur / 2)
			pr.Restore()
		case 11:
			f.relays[w.id].Silence()
		case 12:
			f.relays[w.id].Cut()
			time.Sleep(dur / 2)
			f.relays[w.id].Restore()
		case 13:
			w.mu.Lock()
			w.state = "draining"
			w.mu.Unlock()
			w.beat()
			f.mu.Lock()
			f.draining[w.id] = time.Now()
			f.mu.Unlock()
			time.Sleep(dur + 3*time.Second)
			f.mu.Lock()
			delete(f.draining, w.id)
			f.mu.Unlock()
			w.mu.Lock()
			w.state = "ready"
			w.mu.Unlock()
			w.beat()
		}
	})
}
