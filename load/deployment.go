package load

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/entry"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the time until all entry VMs have discovered each other.
	readyTimeout = 10 * time.Second
)

// DeploymentOptions configure a deployment in one process.
type DeploymentOptions struct {
	Domains  int
	EntryVMs int // per failure domain
	Workers  int // per failure domain and service
	Slots    int
	// Speed returns the speed of the n-th worker, counted from 1; nil gives all workers speed 1.
	Speed    func(n int) float64
	Services func() []*backend.Service
	Work     standin.Work
	OnStart  func(task string)
	// Observer and OnWorkerAdded may be nil. OnWorkerAdded is called before a worker serves.
	Observer      standin.Observer
	OnWorkerAdded func(machine.WorkerID)
	// Policy is the placement policy of the entry VMs; empty selects the default.
	Policy string
	Logger *slog.Logger
}

// Deployment is a set of entry daemons and workers with the platform stand-in.
type Deployment struct {
	Platform *standin.Platform
	Workers  []*standin.Worker
	Entries  []*Entry
}

// Entry is an entry daemon with its caller address and metrics.
type Entry struct {
	ID            string
	Domain        zone.DomainID
	CallerAddress string
	Daemon        *entry.Daemon
	Metrics       metrics.Registry
}

// StartDeployment starts all parts and waits until the entry VMs have discovered each other.
func StartDeployment(o DeploymentOptions) (*Deployment, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Platform: standin.NewPlatform(l)}
	if err := d.startWorkers(o); err != nil {
		return d, err
	}
	for domain := 1; domain <= o.Domains; domain++ {
		for n := range o.EntryVMs {
			id := fmt.Sprintf("entry-%d-%d", domain, n+1)
			if err := d.startEntry(o, id, zone.DomainID(domain)); err != nil {
				return d, err
			}
		}
	}
	return d, d.waitReady(o.EntryVMs)
}

func (d *Deployment) startWorkers(o DeploymentOptions) error {
	n := 0
	for domain := 1; domain <= o.Domains; domain++ {
		for _, s := range o.Services() {
			for range o.Workers {
				n++
				if err := d.startWorker(o, n, zone.DomainID(domain), s.Name()); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (d *Deployment) startWorker(o DeploymentOptions, n int, domain zone.DomainID, service string) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	speed := 1.0
	if o.Speed != nil {
		speed = o.Speed(n)
	}
	id := machine.WorkerID(fmt.Sprintf("worker-%d-%d", domain, n))
	if o.OnWorkerAdded != nil {
		o.OnWorkerAdded(id)
	}
	w := standin.NewWorker(l, standin.WorkerOptions{
		ID: id, Slots: o.Slots, Speed: speed, Work: o.Work, Started: o.OnStart, Observer: o.Observer,
	})
	d.Workers = append(d.Workers, w)
	d.Platform.SetVM(platform.VM{
		ID: string(id), Kind: platform.KindWorker, Domain: domain, Address: w.Address(), Service: service,
		Slots: o.Slots, Rack: fmt.Sprintf("rack-%d-%d", domain, n/6),
	})
	return nil
}

func (d *Deployment) startEntry(o DeploymentOptions, id string, domain zone.DomainID) error {
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	logs := platform.NewHTTPLog(d.Platform.URL())
	list := platform.NewHTTPVMList(d.Platform.URL())
	d.Platform.SetVM(platform.VM{
		ID: id, Kind: platform.KindEntry, Domain: domain, PeerAddress: peers.Addr().String(),
		CallerAddress: callers.Addr().String(),
	})
	e := &Entry{ID: id, Domain: domain, CallerAddress: callers.Addr().String(), Metrics: metrics.NewRegistry()}
	e.Daemon, err = entry.New(entry.Options{
		VM: machine.EntryVM{ID: id, PeerAddress: peers.Addr().String(), CallerAddress: e.CallerAddress}, Domain: domain,
		Services: o.Services(), Log: logs, List: list, CallerListener: callers, PeerListener: peers, Connections: o.Slots,
		Logger: o.Logger, Metrics: e.Metrics, Policy: dispatch.Policy(o.Policy),
	})
	if err != nil {
		return err
	}
	d.Entries = append(d.Entries, e)
	return e.Daemon.Start()
}

// waitReady waits until each entry VM sees all members of its failure domain as live.
func (d *Deployment) waitReady(members int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range d.Entries {
		for e.Daemon.LiveMembers() < members {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry VM %s sees %d of %d members", e.ID, e.Daemon.LiveMembers(), members)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// CallerAddresses returns the caller addresses of all entry VMs.
func (d *Deployment) CallerAddresses() []string {
	var out []string
	for _, e := range d.Entries {
		out = append(out, e.CallerAddress)
	}
	return out
}

// Counter returns the sum of a counter over all entry VMs.
func (d *Deployment) Counter(name string) int64 {
	var sum int64
	for _, e := range d.Entries {
		sum += metrics.GetOrRegisterCounter(name, e.Metrics).Count()
	}
	return sum
}

// Close stops all parts.
func (d *Deployment) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range d.Entries {
		wg.Go(func() { e.Daemon.Stop(ctx) })
	}
	wg.Wait()
	for _, w := range d.Workers {
		// The run has ended; a server that fails to stop ends with the process.
		wg.Go(func() { _ = w.Close() })
	}
	wg.Go(func() { _ = d.Platform.Close() })
	wg.Wait()
}
