package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/rpc"
)

const (
	configStream = "config"
	configPage   = 256 // records in one read of the log
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, publish, show and watch the configuration",
		Description: "A file holds a change as JSON with the sections services, kinds, customers, teams and " +
			"worker_classes. Each entry replaces the one of the same name; null removes it. Example:\n\n" +
			`{"services": {"glashaus.proto": {"schema_file": "glashaus.proto"}},` + "\n" +
			` "kinds": {"glashaus.v1.Booking/PriceHire": {"deadline_ms": 800, "class": "short"}},` + "\n" +
			` "customers": {"glashaus": {"weight": 2}},` + "\n" +
			` "teams": {"glashaus/north": {"slots": 40, "starts_per_second": 200}}}`,
		Commands: []*cli.Command{
			configCheckCommand(), configPublishCommand(), configShowCommand(), configWatchCommand(),
		},
	}
}

// configLogFlags are the flags of commands that read the log.
func configLogFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log", Value: "http://127.0.0.1:7400", Usage: "base `URL` of the platform's log"},
		&cli.StringSliceFlag{
			Name: "entry", Usage: "callers' `ADDRESS` of an entry VM to query if the log has dropped old records; may be repeated",
		},
		&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "longest wait for the log"},
	}
}

// configLog follows the stream of configuration records and keeps the verdict on each change.
type configLog struct {
	log      *platform.HTTPLog
	state    *contract.ConfigState
	verdicts map[string]contract.ConfigVerdict
}

func openConfigLog(ctx context.Context, c *cli.Command) (*configLog, error) {
	log := platform.NewHTTPLog(c.String("log"))
	l := &configLog{log: log, state: contract.NewConfigState(config.Check), verdicts: make(map[string]contract.ConfigVerdict)}
	if err := l.read(ctx); err != nil {
		return nil, err
	}
	if l.state.View().Known {
		return l, nil
	}
	return l, l.adopt(ctx, c.StringSlice("entry"))
}

// read applies all records up to the current end of the stream.
func (l *configLog) read(ctx context.Context) error {
	for {
		page, err := l.log.Read(ctx, configStream, l.state.Position(), configPage, 0)
		if err != nil {
			return err
		}
		l.state.SetOldestOffset(page.First)
		for _, r := range page.Records {
			// A malformed record is skipped by all readers.
			record, _ := config.DecodeRecord(r.Data)
			for _, v := range l.state.Apply(r.Offset, r.Time, record) {
				l.verdicts[v.ID] = v
			}
		}
		if len(page.Records) == 0 || l.state.Position() >= page.Next {
			return nil
		}
	}
}

// adopt adopts the newest configuration of the given entry VMs, for a log that has dropped old records.
func (l *configLog) adopt(ctx context.Context, addresses []string) error {
	err := errors.New("the log has dropped old records and holds no revision; name entry VMs with --entry")
	for _, a := range addresses {
		snap, snapErr := entrySnapshot(ctx, a)
		if snapErr != nil {
			err = snapErr
			continue
		}
		verdicts, _ := l.state.Adopt(snap)
		for _, v := range verdicts {
			l.verdicts[v.ID] = v
		}
	}
	if l.state.View().Known {
		return nil
	}
	return err
}

func entrySnapshot(ctx context.Context, address string) (contract.ConfigSnapshot, error) {
	r, err := rpc.ShowConfiguration(ctx, address, false, nil)
	if err != nil {
		return contract.ConfigSnapshot{}, err
	}
	if !r.GetKnown() {
		return contract.ConfigSnapshot{}, fmt.Errorf("entry VM %s has no configuration", r.GetVm())
	}
	document, err := config.DecodeDocument(r.GetDocument())
	if err != nil {
		return contract.ConfigSnapshot{}, err
	}
	s := contract.ConfigSnapshot{Next: r.GetNextOffset(), Revision: r.GetRevision(), Document: document}
	if r.GetChangeId() != "" {
		s.Recent = []contract.ConfigOrigin{{Revision: r.GetRevision(), ID: r.GetChangeId(), Author: r.GetAuthor()}}
	}
	return s, nil
}

// readPatch reads the patch file named by the argument of a command and checks the result of applying it to base.
func readPatch(c *cli.Command, base contract.ConfigDocument) (contract.ConfigPatch, error) {
	file := c.Args().First()
	text, err := os.ReadFile(file)
	if err != nil {
		return contract.ConfigPatch{}, err
	}
	read := func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(filepath.Dir(file), name)) }
	p, findings := config.CheckPatch(file, text, read, base)
	if len(findings) > 0 {
		return p, findings
	}
	return p, nil
}
