package main

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Figures of the case users-return.
const (
	// maxFDs is limits.max_fds of the pages' settings.
	maxFDs = 4100
	// ownFDs is the number of descriptors that this program needs beside one for each user.
	ownFDs = 1000
	// users is the number of clients, each with one open channel: 1,500 a daemon while all are up.
	users = 9000
	// sendEvery is the time between two jobs of a user: 150 jobs a second in all, as the traffic of the first site.
	sendEvery = time.Minute
	// downTime and waves are those of herd_kill.
	downTime  = 9500 * time.Millisecond
	waves     = 1
	betweenUp = 12 * time.Second
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	// resendAfter is the pause of a client after a broken channel.
	resendAfter = 1300 * time.Millisecond
	connectTime = 6 * time.Second
	quietTime   = 6 * time.Second
	userLimit   = 1500 * time.Millisecond
	// endsToFail and machinesToFail are those of the rule.
	endsToFail     = 3
	machinesToFail = 2
)

// balancer is the platform's balancer: it takes daemons out of rotation that miss two readiness checks.
type balancer struct {
	daemons []*daemon

	mu    sync.Mutex
	ready map[*daemon]bool
}

// run checks the readiness of all daemons once a second.
func (b *balancer) run(ctx context.Context) {
	misses := make(map[*daemon]int)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, d := range b.daemons {
			resp, err := client.Get("http://" + d.readiness + "/-/ready")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			if misses[d]++; ok {
				misses[d] = 0
			}
			b.mu.Lock()
			b.ready[d] = misses[d] < 2
			b.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// choose returns the daemon for a new channel of a client: one in rotation of the client's zone by a hash of the client, all of the
// zone if fewer than half are in rotation, those of the other zones if none is.
func (b *balancer) choose(zone string, client uint64) *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	var own, ready, others []*daemon
	for _, d := range b.daemons {
		switch {
		case d.zone == zone:
			own = append(own, d)
			if b.ready[d] {
				ready = append(ready, d)
			}
		case b.ready[d]:
			others = append(others, d)
		}
	}
	switch {
	case 2*len(ready) >= len(own) && len(ready) > 0:
		return ready[client%uint64(len(ready))]
	case len(ready) > 0 || len(others) == 0:
		return own[client%uint64(len(own))]
	default:
		return others[client%uint64(len(others))]
	}
}

// exits counts the ends of processes that nobody has signalled.
type exits struct {
	mu    sync.Mutex
	count map[string]int
}

// usersReturn kills four of six daemons, whose users connect to the other two.
func usersReturn(r *recorder, program string, trouble bool) (bool, error) {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < users+ownFDs {
		return false, fmt.Errorf("this process needs %d open files and may have %d: %w", users+ownFDs, own.Cur, err)
	}
	g, err := newRig(r, program, 8, machine.Resources{CPUMillis: 1000, MemoryMB: 64}, func(contract.RunKey) time.Duration { return 50 * time.Millisecond })
	if g != nil {
		g.quiet.Store(true)
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &exits{count: make(map[string]int)}
	down := make(map[*daemon]*atomic.Bool)
	for _, d := range g.daemons {
		down[d] = &atomic.Bool{}
		if err := limitFDs(d); err != nil {
			return false, err
		}
		go g.superviseDaemon(ctx, d, down[d], e)
	}
	b := &balancer{daemons: g.daemons, ready: make(map[*daemon]bool)}
	for _, d := range g.daemons {
		b.ready[d] = true
	}
	go b.run(ctx)
	var connected, answered, unanswered atomic.Int64
	g.printf("%d users connect", users)
	for n := range users {
		go g.user(ctx, b, n, &connected, &answered, &unanswered)
	}
	time.Sleep(connectTime + quietTime)
	report := func(when string) {
		g.printf("%s: %d users connected, %d requests answered, %d broken off", when, connected.Load(), answered.Load(), unanswered.Load())
	}
	report("before the disruption")
	// The last machines of the list stay: herd_kill takes a share of 0.6.
	killed := g.daemons[:4]
	for wave := range waves {
		if trouble {
			for _, d := range killed {
				down[d].Store(true)
				d.signal(syscall.SIGKILL)
			}
			g.printf("wave %d: %d daemons are killed for %v", wave+1, len(killed), downTime)
		}
		time.Sleep(downTime)
		report("at the end of the time of the disruption")
		if trouble {
			for _, d := range killed {
				down[d].Store(false)
			}
			g.printf("wave %d: the killed daemons are started again", wave+1)
		}
		time.Sleep(betweenUp)
		report("afterwards")
	}
	return g.checkExits(e)
}

// checkExits reports whether processes have ended by themselves as often as the rule says.
func (g *rig) checkExits(e *exits) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	machines := 0
	for _, d := range g.daemons {
		g.printf("%s has ended by itself %d times", d.vm, e.count[d.vm])
		if e.count[d.vm] >= endsToFail {
			machines++
		}
	}
	return machines >= machinesToFail, nil
}

// limitFDs sets the limit of open files of a daemon's process, as the platform does.
func limitFDs(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := unix.Rlimit{Cur: maxFDs, Max: maxFDs}
	return unix.Prlimit(d.process.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process.signal(s)
}

// superviseDaemon starts a daemon again when its process has ended, and counts the ends that nobody has ordered.
func (g *rig) superviseDaemon(ctx context.Context, d *daemon, down *atomic.Bool, e *exits) {
	for {
		d.mu.Lock()
		p := d.process
		d.mu.Unlock()
		select {
		case <-p.exited:
		case <-ctx.Done():
			return
		}
		if !down.Load() {
			g.printf("%s has ended by itself: %v; its last line: %s", d.vm, p.exitError(), lastLine(d.log))
			e.mu.Lock()
			e.count[d.vm]++
			e.mu.Unlock()
		}
		for down.Load() && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(restartDelay)
		if ctx.Err() != nil {
			return
		}
		if err := g.start(d); err != nil {
			g.printf("%s: %v", d.vm, err)
		}
		if err := limitFDs(d); err != nil {
			g.printf("%s: %v", d.vm, err)
		}
	}
}

// user keeps a channel open and sends a job over it each minute.
func (g *rig) user(ctx context.Context, b *balancer, n int, connected, answered, unanswered *atomic.Int64) {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, "user", n)
	zone := zoneOf(n)
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	pause(time.Duration(rng.Int64N(int64(connectTime))))
	next := time.Now().Add(time.Duration(rng.Int64N(int64(sendEvery))))
	for attempt := uint64(0); ctx.Err() == nil; attempt++ {
		d := b.choose(zone, hash.Sum64()/7+attempt)
		conn, err := net.DialTimeout("tcp", d.front, time.Second)
		if err == nil {
			connected.Add(1)
			g.useChannel(ctx, conn, rng, &next, answered, unanswered)
			connected.Add(-1)
			_ = conn.Close()
		}
		pause(resendAfter)
	}
}

// zoneOf spreads the users over the zones in proportion to their daemons.
func zoneOf(n int) string {
	k := n % 6
	for _, z := range zones {
		if k < z.daemons {
			return z.name
		}
		k -= z.daemons
	}
	return zones[0].name
}

// useChannel sends jobs until the channel breaks. It reads all the time, so that it notices the end of the channel.
func (g *rig) useChannel(ctx context.Context, conn net.Conn, rng *rand.Rand, next *time.Time, answered, unanswered *atomic.Int64) {
	responses, broken := make(chan int), make(chan struct{})
	over := make(chan struct{})
	defer close(over)
	go func() {
		defer close(broken)
		reader := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			select {
			case responses <- resp.StatusCode:
			case <-over:
				return
			}
			if resp.Close {
				return
			}
		}
	}()
	for {
		select {
		case <-time.After(time.Until(*next)):
		case <-broken:
			return
		case <-ctx.Done():
			return
		}
		id := fmt.Sprintf("%016x", rng.Uint64())
		body := standin.JobDocument(id, 1, g.need, 50)
		_, err := fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
			routePrefix, id, routeHost, strconv.FormatInt(userLimit.Milliseconds(), 10), len(body), body)
		*next = time.Now().Add(sendEvery)
		if err != nil {
			return
		}
		select {
		case <-responses:
			answered.Add(1)
		case <-broken:
			unanswered.Add(1)
			return
		case <-time.After(userLimit + time.Second):
			unanswered.Add(1)
			return
		case <-ctx.Done():
			return
		}
	}
}
