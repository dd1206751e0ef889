package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Times of the case larger-side.
const (
	// lostAfter is the time from the submissions to the start of the partition, from which on the open channels are silent.
	lostAfter = 100 * time.Millisecond
	// keepAlive is the time after which the clients' keep-alive finds that their channels are silent.
	keepAlive = time.Second
	// zoneCutTime is the time of zone_cut in the first site file.
	zoneCutTime = 5500 * time.Millisecond
	largerJobs  = 8
	longerTask  = 6 * time.Second
	largerLimit = 20 * time.Second
	// shortEstimate is what the clients declare: "Declared sizes and run times are often far off".
	shortEstimate = 500 * time.Millisecond
)

// largerSide partitions a zone from the others, while the open channels of clients to a daemon of another zone go silent for good. The
// clients' keep-alive shows that to them; the daemon does not notice.
func largerSide(r *recorder, program string, trouble bool) (bool, error) {
	g, err := newRig(r, program, 4, machine.Resources{CPUMillis: 8000, MemoryMB: 64}, func(contract.RunKey) time.Duration { return longerTask })
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	home, cut := g.daemon("edge-cork-b-1"), g.daemon("edge-limerick-1")
	var clients sync.WaitGroup
	for n := range largerJobs {
		id := newID()
		// "Retries reach other daemons": half of the retries go to the zone that is cut off.
		again := cut
		if n%2 == 1 {
			again = g.anyBut(home)
		}
		clients.Go(func() { g.sendTo(id, home, again) })
	}
	time.Sleep(lostAfter)
	if trouble {
		g.printf("%s is partitioned from the other zones; the open channels of the clients of %s go silent", cut.zone, home.vm)
		heal := g.cutZone(cut.zone)
		silent := home.clients.Partition()
		time.Sleep(keepAlive)
		g.printf("the clients find that their channels are silent")
		closed := home.clients.LoseClients()
		time.Sleep(zoneCutTime - keepAlive)
		heal()
		g.printf("the partition ends")
		defer closed.End()
		defer silent.End()
	}
	clients.Wait()
	return g.checkTwice()
}

// cutZone partitions the daemons and workers of a zone from those of all others. Clients and the store are reached.
func (g *rig) cutZone(zone string) (heal func()) {
	var outages []*load.Outage
	for _, a := range g.daemons {
		for _, b := range g.daemons {
			if (a.zone == zone) != (b.zone == zone) {
				outages = append(outages, a.peers.Partition(b.vm))
			}
		}
		for _, w := range g.workers {
			if (a.zone == zone) != (w.zone == zone) {
				outages = append(outages, w.relay.Partition(a.source))
			}
		}
	}
	return func() {
		for _, o := range outages {
			o.End()
		}
	}
}

// anyBut returns a random daemon other than one.
func (g *rig) anyBut(d *daemon) *daemon {
	for {
		if o := g.daemons[rand.IntN(len(g.daemons))]; o != d {
			return o
		}
	}
}

// sendTo sends a job to a daemon, and to another one 1.3 s after no response, a broken channel, 502 or 504.
func (g *rig) sendTo(id string, first, again *daemon) {
	body := standin.JobDocument(id, 2, g.need, int(shortEstimate.Milliseconds()))
	begin := time.Now()
	for d := first; time.Since(begin) < largerLimit; d = again {
		g.printf("client sends job %s to %s", id, d.vm)
		a := g.call(d, http.MethodPost, id, body, largerLimit-time.Since(begin))
		g.printf("answer to job %s by %s: %s", id, d.vm, a)
		if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendAfter)
	}
}
