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
	configStream = "config"
	// configReadWait is how long a read at the end of the stream waits for a record.
	configReadWait = 2 * time.Second
	// configPageLimit is the maximum number of records in the reply to a read.
	configPageLimit = 64
	// configStartWait bounds the first read, so that a process that starts in an outage proceeds to ask its peers.
	configStartWait = time.Second
	// maxKeptConfigRecords is the number of records kept for peers that are behind. A peer that lacks more receives a
	// snapshot.
	maxKeptConfigRecords = 32
	// snapshotRankDelay is how long a member waits for each member ranked before it. It is longer than it takes all
	// members to read a published snapshot.
	snapshotRankDelay = 3 * time.Second
	// snapshotTimeout bounds the append of a snapshot.
	snapshotTimeout = 2 * time.Second
	// peerSnapshotOffset marks a snapshot that a peer has created for another peer and that is not on the log.
	peerSnapshotOffset = math.MaxUint64
	// lagTolerance is how long a peer may be behind before members other than the chosen one send it records.
	lagTolerance = time.Second
)

// configReplicaOptions are the dependencies of a configuration replica.
type configReplicaOptions struct {
	Log     platform.Log
	Budget  *platform.Budget
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Apply puts a document into effect.
	Apply func(contract.ConfigView)
	// Verdict is called for each decided change.
	Verdict func(contract.ConfigVerdict)
}

// configReplica applies the records of the stream "config", from the log and from peers, and puts accepted revisions
// into effect. applying serialises applications and is acquired before mu, which guards the fields below it.
type configReplica struct {
	o     configReplicaOptions
	state *contract.ConfigState

	applying sync.Mutex
	// active is the configuration in effect, nil until one is known.
	active atomic.Pointer[contract.ConfigView]

	mu         sync.Mutex
	kept       []keptRecord
	oldest     uint64               // oldest offset kept by the log, as of the last read
	lastReadOK bool                 // whether the last read succeeded
	dueSince   time.Time            // start of the turns to publish a snapshot, zero if none is due
	lagging    map[string]time.Time // peers that are behind: since when, or when records were last sent
}

type keptRecord struct {
	offset uint64
	data   []byte
}

func newConfigReplica(o configReplicaOptions) *configReplica {
	return &configReplica{o: o, state: contract.NewConfigState(config.Check), lagging: make(map[string]time.Time)}
}

// initialRead reads the current content of the log, for a limited time.
func (c *configReplica) initialRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configStartWait)
	defer cancel()
	for ctx.Err() == nil {
		more, err := c.readOnce(ctx, 0)
		if err != nil || !more {
			return
		}
	}
}

// tail follows the log until ctx is cancelled.
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

// readOnce reads a page and reports whether more records are available.
func (c *configReplica) readOnce(ctx context.Context, wait time.Duration) (bool, error) {
	page, err := c.o.Log.Read(ctx, configStream, c.state.Position(), configPageLimit, wait)
	c.mu.Lock()
	c.lastReadOK = err == nil
	if err == nil {
		c.oldest = page.First
	}
	c.mu.Unlock()
	if err != nil {
		return false, err
	}
	c.applying.Lock()
	defer c.applying.Unlock()
	c.state.SetOldestOffset(page.First)
	for _, r := range page.Records {
		c.applyRecord(r.Offset, r.Time, r.Data)
	}
	c.activate()
	return c.state.Position() < page.Next, nil
}

// applyRecord applies one record. c.applying must be held.
func (c *configReplica) applyRecord(offset uint64, at time.Time, data []byte) {
	record, err := config.DecodeRecord(data)
	if err != nil {
		c.o.Logger.Warn("skipping malformed record", "stream", configStream, "offset", offset, "error", err)
	}
	before := c.state.View().Next
	c.report(c.state.Apply(offset, at, record))
	if c.state.View().Next == before {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, keptRecord{offset: offset, data: append([]byte(nil), data...)})
	if over := len(c.kept) - maxKeptConfigRecords; over > 0 {
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

// activate puts the current revision into effect. c.applying must be held.
func (c *configReplica) activate() {
	v := c.state.View()
	if !v.Known {
		return
	}
	if old := c.active.Load(); old == nil || old.Revision != v.Revision {
		c.o.Apply(v)
		metrics.GetOrRegisterGauge(metric.ConfigRevision, c.o.Metrics).Update(int64(v.Revision))
	}
	c.active.Store(&v)
}

// inEffect returns the configuration in effect. It takes no lock, because every submission calls it.
func (c *configReplica) inEffect() contract.ConfigView {
	if v := c.active.Load(); v != nil {
		return *v
	}
	return contract.ConfigView{}
}

// position returns the values for heartbeats: the offset of the next record to apply plus one, and the revision in
// effect. The position is 0, which requests a snapshot, while no state is known or the log has dropped records that the
// state lacks.
func (c *configReplica) position() (position, revision uint64) {
	v := c.state.View()
	if !v.Known || c.state.Gapped() {
		return 0, v.Revision
	}
	return v.Next + 1, v.Revision
}

// applyFromPeer applies records from a peer. Records without a gap extend the local state; a snapshot replaces an older
// state.
func (c *configReplica) applyFromPeer(m *api.ConfigRecords) {
	c.applying.Lock()
	defer c.applying.Unlock()
	for _, r := range m.GetRecords() {
		record, err := config.DecodeRecord(r.GetData())
		if err != nil {
			continue
		}
		if r.GetOffset() == peerSnapshotOffset {
			if record.Snapshot != nil {
				verdicts, _ := c.state.Adopt(*record.Snapshot)
				c.report(verdicts)
			}
			continue
		}
		if !c.state.Gapped() {
			c.applyRecord(r.GetOffset(), c.o.Now(), r.GetData())
		}
	}
	c.activate()
}

// recordsFor returns the records that a peer at the given position lacks, or nil if it is not behind.
func (c *configReplica) recordsFor(peerPosition uint64) *api.ConfigRecords {
	own, _ := c.position()
	if own <= peerPosition {
		return nil
	}
	if out := c.keptFrom(peerPosition); out != nil {
		return out
	}
	snap, ok := c.state.Snapshot()
	if !ok {
		return nil
	}
	data, err := config.EncodeRecord(contract.ConfigRecord{Snapshot: &snap})
	if err != nil {
		c.o.Logger.Error("failed to encode a configuration snapshot; none is sent to the peer", "error", err)
		return nil
	}
	return &api.ConfigRecords{Records: []*api.ConfigRecord{{Offset: peerSnapshotOffset, Data: data}}}
}

// keptFrom returns the kept records from a position on, or nil if they do not reach back to it.
func (c *configReplica) keptFrom(peerPosition uint64) *api.ConfigRecords {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peerPosition == 0 || len(c.kept) == 0 || c.kept[0].offset > peerPosition-1 {
		return nil
	}
	out := &api.ConfigRecords{}
	for _, k := range c.kept {
		if k.offset >= peerPosition-1 {
			out.Records = append(out.Records, &api.ConfigRecord{Offset: k.offset, Data: k.data})
		}
	}
	for i, r := range out.Records {
		if r.GetOffset() != peerPosition-1+uint64(i) {
			return nil
		}
	}
	return out
}

// shouldSend decides whether this member sends records to a peer that is behind. The chosen member does so at once,
// others only if the peer stays behind.
func (c *configReplica) shouldSend(vm string, peerPosition uint64, chosen bool) bool {
	own, _ := c.position()
	now := c.o.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if own <= peerPosition {
		delete(c.lagging, vm)
		return false
	}
	since, ok := c.lagging[vm]
	if !ok {
		c.lagging[vm] = now
		since = now
	}
	if !chosen && now.Sub(since) < lagTolerance {
		return false
	}
	c.lagging[vm] = now
	return true
}

// publishSnapshot appends a snapshot to the log when one is due and it is this member's turn. rank is the number of
// members whose turn comes before.
func (c *configReplica) publishSnapshot(ctx context.Context, rank int) {
	now := c.o.Now()
	c.mu.Lock()
	oldest, lastReadOK := c.oldest, c.lastReadOK
	c.mu.Unlock()
	if !lastReadOK || !c.state.SnapshotDue(oldest, now) {
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
		// If this attempt fails, this member's next one is due (rank + 1) * snapshotRankDelay later. The turns of the
		// other members stay as they are.
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
		c.o.Logger.Error("failed to encode a configuration snapshot; none is appended to the log", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	// If the reply to an append is lost, the next read finds the snapshot, and no other one is due.
	if _, err := c.o.Log.Append(ctx, configStream, data); err != nil {
		metrics.GetOrRegisterCounter(metric.LogErrors, c.o.Metrics).Inc(1)
	}
}
