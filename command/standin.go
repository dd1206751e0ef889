package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run the stand-ins of the platform and of workers",
		Description: "Serves the platform's log and VM list and runs a number of workers for each failure domain and " +
			"service, on loopback. Entry VMs are listed as --entry ID;DOMAIN;PEERS;CALLERS. Failures of the platform are " +
			"set with PUT /control/faults, for example {\"log_down\":true}; GET shows all fields. GET /control/stats " +
			"counts the calls and POST /control/truncate/STREAM?first=N drops the records below an offset.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7400", Usage: "`ADDRESS` of the platform"},
			&cli.IntFlag{Name: "domains", Value: 1, Usage: "number of failure domains"},
			&cli.IntFlag{Name: "workers", Value: 4, Usage: "workers per failure domain and service"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "slots per worker"},
			&cli.StringSliceFlag{Name: "service", Usage: "`NAME` of a service to run workers for"},
			&cli.IntFlag{Name: "append-rate", Value: 500, Usage: "`NUMBER` of appends per second that the log sustains"},
			&cli.DurationFlag{Name: "sync", Value: 4 * time.Millisecond, Usage: "duration of a synced append"},
			&cli.DurationFlag{Name: "retain", Value: 48 * time.Hour, Usage: "how long the log keeps records"},
			&cli.IntFlag{Name: "retain-records", Value: 1 << 20, Usage: "records that the log keeps per stream"},
			&cli.DurationFlag{Name: "list-lag", Usage: "age of the VM list that is served"},
			&cli.StringSliceFlag{Name: "entry", Usage: "entry VM as `ID;DOMAIN;PEERS;CALLERS`"},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, c *cli.Command) error {
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	p := standin.NewPlatformWith(l, standin.PlatformLimits{
		AppendsPerSecond: c.Int("append-rate"), Sync: c.Duration("sync"), RetainFor: c.Duration("retain"),
		RetainRecords: c.Int("retain-records"), ListLag: c.Duration("list-lag"),
	})
	for _, text := range c.StringSlice("entry") {
		vm, err := parseEntryVM(text)
		if err != nil {
			return err
		}
		p.SetVM(vm)
	}
	if err := startWorkers(c, p); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, "platform at", p.URL()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return p.Close()
}

func startWorkers(c *cli.Command, p *standin.Platform) error {
	n := 0
	for domain := 1; domain <= c.Int("domains"); domain++ {
		for _, service := range c.StringSlice("service") {
			for range c.Int("workers") {
				n++
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				id := fmt.Sprintf("worker-%d-%d", domain, n)
				w := standin.NewWorker(l, standin.WorkerOptions{
					ID: machine.WorkerID(id), Slots: c.Int("slots"), Work: standin.DemoWork,
				})
				p.SetVM(platform.VM{
					ID: id, Kind: platform.KindWorker, Domain: zone.DomainID(domain), Address: w.Address(),
					Service: service, Slots: c.Int("slots"),
				})
			}
		}
	}
	return nil
}
