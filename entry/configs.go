package entry

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/platform"
)

const (
	configStream    = "config"
	configReadWait  = 2 * time.Second
	configPageLimit = 64
	// configStartWait bounds the first read, so that a start in an outage goes on to ask the peers.
	configStartWait = time.Second
	// keptConfigRecords is the number of records kept for peers that are behind; a peer that lacks more receives a
	// snapshot.
	keptConfigRecords = 32
	// snapshotRankDelay is the time that a member waits for each one that ranks before it, longer than a publication
	// takes to be read by all.
	snapshotRankDelay = 3 * time.Second
	snapshotTimeout   = 2 * time.Second
	// peerState stands for the offset of a snapshot that a peer has made for another one and that is not on the log.
	peerState = math.MaxUint64
	// laggingFor is the time after which any member, not only the chosen one, helps a peer that is behind.
	laggingFor = time.Second
)

// configReplicaOptions are the parts of a configuration carrier.
type configReplicaOptions struct {
	Log     platform.Log
	Budget  *platform.Budget
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Apply puts a document into effect.
	Apply func(contract.ConfigView)
	// Verdict is told of each decided change.
	Verdict func(contract.ConfigVerdict)
}

// configReplica brings the records of the stream "config" from the log and from peers to the state and puts accepted
// revisions into effect. applying puts applications in order and is taken before mu, which guards the fields below it.
type configReplica struct {
	o     configReplicaOptions
	state *contract.ConfigState

	applying sync.Mutex
	// effect is the view in effect, nil until there is one.
	effect atomic.Pointer[contract.ConfigView]

	mu       sync.Mutex
	kept     []keptRecord
	first    uint64 // oldest offset that the log keeps, as of the last read
	read     bool   // the last read succeeded
	dueSince time.Time
	lagging  map[string]time.Time // peers that are behind, since when
}

type keptRecord struct {
	offset uint64
	data   []byte
}

func newConfigReplica(o configReplicaOptions) *configReplica {
	return &configReplica{o: o, state: contract.NewConfigState(config.Check), lagging: make(map[string]time.Time)}
}

// begin reads what the log shows now, for a limited time.
func (c *configReplica) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configStartWait)
	defer cancel()
	for ctx.Err() == nil {
		more, err := c.readOnce(ctx, 0)
		if err != nil || !more {
			return
		}
	}
}

// tail follows the log until ctx ends.
func (c *configReplica) tail(ctx context.Context) {
	var backoff platform.Backoff
	for ctx.Err() == nil {
		if _, err := c.readOnce(ctx, configReadWait); err == nil {
			backoff.Reset()
			continue
		}
		metrics.GetOrRegisterCounter(metric.LogErrors, c.o.Metrics).Inc(1)
		if platform.Sleep(ctx, backoff.Next()) != nil {
			return
		}
	}
}

// readOnce reads a page and reports whether there is more to read at once.
func (c *configReplica) readOnce(ctx context.Context, wait time.Duration) (bool, error) {
	page, err := c.o.Log.Read(ctx, configStream, c.state.Position(), configPageLimit, wait)
	c.mu.Lock()
	c.read = err == nil
	if err == nil {
		c.first = page.First
	}
	c.mu.Unlock()
	if err != nil {
		return false, err
	}
	c.applying.Lock()
	defer c.applying.Unlock()
	c.state.Bounds(page.First)
	for _, r := range page.Records {
		c.take(r.Offset, r.Time, r.Data)
	}
	c.putIntoEffect()
	return c.state.Position() < page.Next, nil
}

// take applies one record. It expects c.applying to be held.
func (c *configReplica) take(offset uint64, at time.Time, data []byte) {
	record, err := config.DecodeRecord(data)
	if err != nil {
		c.o.Logger.Warn("malformed record", "stream", configStream, "offset", offset, "error", err)
	}
	before := c.state.View().Next
	c.report(c.state.Apply(offset, at, record))
	if c.state.View().Next == before {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, keptRecord{offset: offset, data: append([]byte(nil), data...)})
	if over := len(c.kept) - keptConfigRecords; over > 0 {
		c.kept = append([]keptRecord(nil), c.kept[over:]...)
	}
}

func (c *configReplica) report(verdicts []contract.ConfigVerdict) {
	for _, v := range verdicts {
		if !v.Accepted {
			metrics.GetOrRegisterCounter(metric.ConfigRejected, c.o.Metrics).Inc(1)
		}
		c.o.Verdict(v)
	}
}

// putIntoEffect expects c.applying to be held.
func (c *configReplica) putIntoEffect() {
	v := c.state.View()
	if !v.Known {
		return
	}
	if old := c.effect.Load(); old == nil || old.Revision != v.Revision {
		c.o.Apply(v)
		metrics.GetOrRegisterGauge(metric.ConfigRevision, c.o.Metrics).Update(int64(v.Revision))
	}
	c.effect.Store(&v)
}

// inEffect returns the configuration in effect. It takes no lock, since every submission asks.
func (c *configReplica) inEffect() contract.ConfigView {
	if v := c.effect.Load(); v != nil {
		return *v
	}
	return contract.ConfigView{}
}

// position returns what heartbeats carry: the number of records applied plus one and the revision in effect. The
// number is 0, which asks for a snapshot, while no state is known or the log has dropped records that the state lacks.
func (c *configReplica) position() (offset, revision uint64) {
	v := c.state.View()
	if !v.Known || c.state.Gapped() {
		return 0, v.Revision
	}
	return v.Next + 1, v.Revision
}

// fromPeer takes records over from a peer. Records without gap follow the own state, a snapshot replaces an older one.
func (c *configReplica) fromPeer(m *api.ConfigRecords) {
	c.applying.Lock()
	defer c.applying.Unlock()
	for _, r := range m.GetRecords() {
		record, err := config.DecodeRecord(r.GetData())
		if err != nil {
			continue
		}
		if r.GetOffset() == peerState {
			if record.Snapshot != nil {
				verdicts, _ := c.state.Adopt(*record.Snapshot)
				c.report(verdicts)
			}
			continue
		}
		if !c.state.Gapped() {
			c.take(r.GetOffset(), c.o.Now(), r.GetData())
		}
	}
	c.putIntoEffect()
}

// recordsFor returns what a peer lacks that has reported a position, or nil if it is not behind.
func (c *configReplica) recordsFor(peer uint64) *api.ConfigRecords {
	own, _ := c.position()
	if own <= peer {
		return nil
	}
	if out := c.keptFrom(peer); out != nil {
		return out
	}
	snap, ok := c.state.Snapshot()
	if !ok {
		return nil
	}
	data, err := config.EncodeRecord(contract.ConfigRecord{Snapshot: &snap})
	if err != nil {
		c.o.Logger.Error("encode configuration", "error", err)
		return nil
	}
	return &api.ConfigRecords{Records: []*api.ConfigRecord{{Offset: peerState, Data: data}}}
}

// keptFrom returns the kept records from a position on, or nil if they do not reach back to it.
func (c *configReplica) keptFrom(peer uint64) *api.ConfigRecords {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer == 0 || len(c.kept) == 0 || c.kept[0].offset > peer-1 {
		return nil
	}
	out := &api.ConfigRecords{}
	for _, k := range c.kept {
		if k.offset >= peer-1 {
			out.Records = append(out.Records, &api.ConfigRecord{Offset: k.offset, Data: k.data})
		}
	}
	for i, r := range out.Records {
		if r.GetOffset() != peer-1+uint64(i) {
			return nil
		}
	}
	return out
}

// helps decides whether this member sends records to a peer that is behind: the chosen one does at once, the others
// when the peer stays behind.
func (c *configReplica) helps(vm string, peer uint64, chosen bool) bool {
	own, _ := c.position()
	now := c.o.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if own <= peer {
		delete(c.lagging, vm)
		return false
	}
	since, ok := c.lagging[vm]
	if !ok {
		c.lagging[vm] = now
		since = now
	}
	if !chosen && now.Sub(since) < laggingFor {
		return false
	}
	c.lagging[vm] = now
	return true
}

// publishSnapshot appends the state to the log when that is due; rank is the number of members that do so before this
// one.
func (c *configReplica) publishSnapshot(ctx context.Context, rank int) {
	now := c.o.Now()
	c.mu.Lock()
	first, read := c.first, c.read
	c.mu.Unlock()
	if !read || !c.state.SnapshotDue(first, now) {
		c.mu.Lock()
		c.dueSince = time.Time{}
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	wait := c.dueSince.Add(time.Duration(rank) * snapshotRankDelay).Sub(now)
	if wait <= 0 {
		// The next attempt, should this one fail, comes after all others had their turn.
		c.dueSince = now.Add(snapshotRankDelay)
	}
	c.mu.Unlock()
	if wait > 0 {
		return
	}
	c.appendSnapshot(ctx)
}

func (c *configReplica) appendSnapshot(ctx context.Context) {
	snap, ok := c.state.Snapshot()
	if !ok || c.o.Budget.Wait(ctx, configStream, c.o.Now()) != nil {
		return
	}
	data, err := config.EncodeRecord(contract.ConfigRecord{Snapshot: &snap})
	if err != nil {
		c.o.Logger.Error("encode configuration", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	// A snapshot whose reply was lost is found by the next read, which ends the need for another.
	if _, err := c.o.Log.Append(ctx, configStream, data); err != nil {
		metrics.GetOrRegisterCounter(metric.LogErrors, c.o.Metrics).Inc(1)
	}
}
