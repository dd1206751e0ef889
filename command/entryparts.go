package command

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/credentials"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/clientlimit"
	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/entry"
	"github.com/cicadadale/cicadadale/internal/tlsfiles"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/schema"
	"github.com/cicadadale/cicadadale/zone"
)

// alpnHTTP2 is the ALPN protocol that gRPC negotiates.
const alpnHTTP2 = "h2"

// entryParts holds the files that the settings of an entry daemon name, loaded and checked. No listener is open yet.
type entryParts struct {
	settings config.Entry
	logger   *slog.Logger
	services []*backend.Service
	callers  *tlsfiles.Identity
	peers    *tlsfiles.Identity
}

// readEntryParts loads the files that the settings name and returns all findings at once.
func readEntryParts(s config.Entry, logger *slog.Logger) (*entryParts, error) {
	p := &entryParts{settings: s, logger: logger}
	var errs []error
	var findings []schema.Finding
	p.services, findings = schema.LoadFiles(s.Schema.Files...)
	if len(findings) > 0 {
		errs = append(errs, s.Finding("schema.files", "the schema has findings"), findingsError(findings))
	}
	var err error
	c := s.TLS.Callers
	if p.callers, err = p.identity(tlsfiles.Files{Certificate: c.Certificate, Key: c.Key, CA: c.ClientCA}); err != nil {
		errs = append(errs, s.Finding("tls.callers", err.Error()))
	}
	t := s.TLS.Peers
	if p.peers, err = p.identity(tlsfiles.Files{Certificate: t.Certificate, Key: t.Key, CA: t.CA}); err != nil {
		errs = append(errs, s.Finding("tls.peers", err.Error()))
	}
	return p, errors.Join(errs...)
}

// identity loads TLS files. It returns nil if no files are named.
func (p *entryParts) identity(f tlsfiles.Files) (*tlsfiles.Identity, error) {
	if f == (tlsfiles.Files{}) {
		return nil, nil
	}
	return tlsfiles.Load(f, time.Now, p.logger)
}

// options opens the listeners and returns the options of the daemon.
func (p *entryParts) options() (entry.Options, error) {
	s := p.settings
	logs := platform.NewHTTPLog(s.Platform.Log)
	list := platform.NewHTTPVMList(s.Platform.List)
	o := entry.Options{
		Domain: zone.DomainID(s.VM.Domain), Region: zone.RegionID(s.VM.Region), Services: p.services, Log: logs,
		List: list, Connections: s.Workers.Connections, TimelineEvents: s.Timeline.Events, Logger: p.logger,
	}
	if o.TimelineEvents == 0 {
		o.TimelineEvents = entry.TimelineDisabled
	}
	o.Metrics = metrics.NewRegistry()
	vm := clientlimit.VM{MemoryMB: s.VM.MemoryMB, Descriptors: s.VM.MaxFDs}
	debug.SetMemoryLimit(vm.CollectionBytes())
	clients := clientlimit.NewProcess(vm, p.logger, o.Metrics)
	if err := listen(s.Listen, clients, &o); err != nil {
		return o, err
	}
	o.VM = machine.EntryVM{
		ID: s.VM.ID, PeerAddress: o.PeerListener.Addr().String(), CallerAddress: o.CallerListener.Addr().String(),
	}
	p.secure(&o)
	o.Clients = clients
	o.JobBounds = contract.JobBounds{RetainedBytes: vm.AnswerBytes(), PendingBytes: vm.PendingJobBytes()}
	return o, nil
}

func listen(s config.Listen, clients *clientlimit.Process, o *entry.Options) error {
	var err error
	if o.CallerListener, err = clientlimit.Listen(s.Callers, clients.Calls()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if o.PeerListener, err = net.Listen("tcp", s.Peers); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if s.Admin == "" {
		return nil
	}
	if o.AdminListener, err = clientlimit.Listen(s.Admin, clients.Checks()); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

// secure enables TLS for callers and peers if their files are set.
func (p *entryParts) secure(o *entry.Options) {
	if p.callers != nil {
		o.CallerCredentials = credentials.NewTLS(p.callers.Server(alpnHTTP2))
	}
	if p.peers != nil {
		o.PeerListener = p.peers.Listen(o.PeerListener)
		o.DialPeer = p.peers.Dial
	}
}
