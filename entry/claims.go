package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/platform"
)

const (
	claimStream = "claims"
	// claimTimeout bounds the wait for the decision on a claim. It leaves time to send the refusal within a caller's
	// call timeout of three seconds.
	claimTimeout = time.Second
	// outageTimeout bounds the wait while the log cannot be read, so that callers are refused early in an outage.
	outageTimeout = 250 * time.Millisecond
	// appendTimeout bounds the wait for one append. An append that takes longer may still take effect; it is then
	// recognised by the id of its batch in the stream.
	appendTimeout = 700 * time.Millisecond
	// barrierTimeout bounds the read that brings a lookup up to date.
	barrierTimeout = 300 * time.Millisecond
	// claimReadWait is how long a read at the end of the stream waits for a record.
	claimReadWait = time.Second
	// claimPageLimit is the maximum number of records in the reply to a read.
	claimPageLimit = 256
	// maxWaitingClaims bounds the memory for waiting claims. Claims beyond it are refused.
	maxWaitingClaims = 8192
	// delegateIdleTimeout is how long a process that is not the delegate keeps reading after its last use.
	delegateIdleTimeout = time.Minute
)

// claimWaiter is a claim that waits for its decision.
type claimWaiter struct {
	claim contract.Claim
	// done receives the decision, unless the claim is abandoned first.
	done chan claimReply
	// resolved is set when the claim is decided or abandoned. It is guarded by the delegate's mu.
	resolved bool
}

type claimReply struct {
	id  contract.JobID
	err error
}

// claimDelegateOptions are the dependencies of a claim delegate.
type claimDelegateOptions struct {
	Self    machine.Incarnation
	Log     platform.Log
	Budget  *platform.Budget
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// claimDelegate claims idempotency keys on the log for its failure domain: it reads the stream of claims and appends
// batches. Two concurrent delegates are safe, because the order of the stream decides. mu guards the fields below it;
// the table has its own locks.
type claimDelegate struct {
	o     claimDelegateOptions
	table *contract.ClaimTable
	wake  chan struct{}

	// barriers numbers the reads made for lookups. reading is a semaphore of one: only its holder performs a read and
	// accesses lastBarrier, the number of the last read that reached the end of the stream.
	barriers    atomic.Uint64
	reading     chan struct{}
	lastBarrier uint64

	mu               sync.Mutex
	closed           bool
	cancel           context.CancelFunc
	done             chan struct{}
	lastUse          time.Time
	pending          []*claimWaiter
	waiting          map[contract.CallerKey][]*claimWaiter
	waiterCount      int
	caughtUp         chan struct{} // closed once the stream has been read to its end since start
	failing          bool          // whether the last read of the tail loop failed
	batches          uint64
	inflight         string        // id of the last batch to be appended, empty once it is seen in the stream
	inflightSeen     chan struct{} // closed when the batch in flight is seen in the stream
	newestRecordTime time.Time
}

func newClaimDelegate(o claimDelegateOptions) *claimDelegate {
	return &claimDelegate{
		o: o, table: contract.NewClaimTable(), wake: make(chan struct{}, 1), reading: make(chan struct{}, 1),
		waiting: make(map[contract.CallerKey][]*claimWaiter), caughtUp: make(chan struct{}),
	}
}

// start starts reading the stream, unless it is running already.
func (c *claimDelegate) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUse = c.o.Now()
	if c.cancel != nil || c.closed {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done = make(chan struct{})
	c.caughtUp = make(chan struct{})
	var loops sync.WaitGroup
	loops.Go(func() { c.tail(ctx) })
	loops.Go(func() { c.appendLoop(ctx) })
	go func(done chan struct{}) {
		loops.Wait()
		close(done)
	}(c.done)
}

// stop stops reading. The bindings are kept for the next start.
func (c *claimDelegate) stop() {
	c.mu.Lock()
	cancel, done := c.cancel, c.done
	c.cancel = nil
	c.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// close stops reading permanently.
func (c *claimDelegate) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
}

// updateElection is called periodically with the result of the delegate election.
func (c *claimDelegate) updateElection(self bool) {
	if self {
		c.start()
	}
	c.mu.Lock()
	idle := c.cancel != nil && c.o.Now().Sub(c.lastUse) > delegateIdleTimeout
	c.mu.Unlock()
	if idle {
		c.stop()
	}
}

// expire drops expired bindings. The log's clock decides, as it does for claims. If the local clock is behind the
// log's, it is used instead and bindings are kept longer.
func (c *claimDelegate) expire() {
	c.mu.Lock()
	now := c.newestRecordTime
	c.mu.Unlock()
	if own := c.o.Now(); own.Before(now) {
		now = own
	}
	c.table.Expire(now)
}

// claim claims the key and returns the job id that the key is bound to. It returns fault.Unavailable if the claim is
// still undecided at the timeout; the claim may then win later.
func (c *claimDelegate) claim(ctx context.Context, cl contract.Claim) (contract.JobID, error) {
	c.start()
	if id, bound, _ := c.table.Lookup(cl.Key); bound {
		return id, nil
	}
	w := &claimWaiter{claim: cl, done: make(chan claimReply, 1)}
	if !c.enqueue(w) {
		return contract.JobID{}, fault.Unavailable.New("%d claims are waiting for the log", maxWaitingClaims)
	}
	timeout := claimTimeout
	if c.isFailing() {
		timeout = outageTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case r := <-w.done:
		return r.id, r.err
	case <-ctx.Done():
		c.abandon(w)
		return contract.JobID{}, fault.Unavailable.New("the log has not decided the claim of key %s", cl.Key)
	}
}

func (c *claimDelegate) enqueue(w *claimWaiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiterCount >= maxWaitingClaims {
		return false
	}
	c.waiterCount++
	c.pending = append(c.pending, w)
	c.waiting[w.claim.Key] = append(c.waiting[w.claim.Key], w)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

func (c *claimDelegate) abandon(w *claimWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.resolved {
		return
	}
	w.resolved = true
	c.waiterCount--
	kept := c.waiting[w.claim.Key][:0]
	for _, x := range c.waiting[w.claim.Key] {
		if x != w {
			kept = append(kept, x)
		}
	}
	if len(kept) == 0 {
		delete(c.waiting, w.claim.Key)
	} else {
		c.waiting[w.claim.Key] = kept
	}
}

// lookup looks up a key without claiming it. While the log is unreachable, a key that this process neither knows nor is
// claiming is reported with reasonNotClaimed (fault.Overloaded), or with reasonNotRead (fault.Unavailable) if this
// process had not read the stream to its end.
func (c *claimDelegate) lookup(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	c.start()
	if id, bound, _ := c.table.Lookup(k); bound {
		return id, true, nil
	}
	err := c.barrier(ctx)
	id, bound, complete := c.table.Lookup(k)
	switch {
	case bound:
		return id, true, nil
	case !complete:
		return contract.JobID{}, false, fault.Unavailable.New("records that may hold a claim of key %s are missing", k)
	case c.isClaiming(k):
		return contract.JobID{}, false, fault.Unavailable.New("key %s is being claimed", k)
	case err == nil:
		return contract.JobID{}, false, nil
	case c.isCaughtUp():
		return contract.JobID{}, false, fault.With(fault.Overloaded, reasonNotClaimed, "key %s was not claimed here", k)
	default:
		return contract.JobID{}, false, fault.With(fault.Unavailable, reasonNotRead, "the log was not read here: %s", err)
	}
}

const (
	// reasonNotClaimed reports that this process was up to date before the outage and has no claim of the key.
	reasonNotClaimed = "not claimed here"
	// reasonNotRead reports that this process has not claimed the key, but has not read the claims of others.
	reasonNotRead = "not read here"
)

// barrier reads to the current end of the stream. Lookups that arrive during a read share the next one, because there
// are few connections to the log.
func (c *claimDelegate) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if c.isFailing() {
		return fault.Unavailable.New("the log cannot be read")
	}
	c.mu.Lock()
	caughtUp := c.caughtUp
	c.mu.Unlock()
	select {
	case <-caughtUp:
	case <-ctx.Done():
		return fault.Unavailable.New("the stream of claims has not been read yet")
	}
	arrived := c.barriers.Load()
	select {
	case c.reading <- struct{}{}:
		defer func() { <-c.reading }()
	case <-ctx.Done():
		return fault.Unavailable.New("too many lookups wait for the log")
	}
	if c.lastBarrier > arrived {
		// A read that began after this lookup has reached the end of the stream.
		return nil
	}
	number := c.barriers.Add(1)
	for {
		page, err := c.o.Log.Read(ctx, claimStream, c.table.Next(), claimPageLimit, 0)
		if err != nil {
			return err
		}
		c.applyPage(page)
		if c.table.Next() >= page.Next {
			c.lastBarrier = number
			return nil
		}
	}
}

func (c *claimDelegate) isFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// isCaughtUp reports whether the stream has been read to its end since start.
func (c *claimDelegate) isCaughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.caughtUp:
		return true
	default:
		return false
	}
}

// isClaiming reports whether a claim of the key waits for its decision.
func (c *claimDelegate) isClaiming(k contract.CallerKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting[k]) > 0
}

// tail follows the stream, beginning with the oldest record that is needed.
func (c *claimDelegate) tail(ctx context.Context) {
	var backoff platform.Backoff
	for ctx.Err() == nil {
		err := c.tailOnce(ctx)
		c.mu.Lock()
		c.failing = err != nil
		c.mu.Unlock()
		if err == nil {
			backoff.Reset()
			continue
		}
		c.countError()
		if platform.Sleep(ctx, backoff.Next()) != nil {
			return
		}
	}
}

func (c *claimDelegate) tailOnce(ctx context.Context) error {
	if c.table.Next() == 0 {
		from, complete, err := platform.FirstSince(ctx, c.o.Log, claimStream, contract.ClaimHistory)
		if err != nil {
			return err
		}
		if complete {
			c.table.SkipTo(from)
		}
	}
	wait := time.Duration(0)
	if c.isCaughtUp() {
		wait = claimReadWait
	}
	page, err := c.o.Log.Read(ctx, claimStream, c.table.Next(), claimPageLimit, wait)
	if err != nil {
		return err
	}
	c.applyPage(page)
	if c.table.Next() >= page.Next {
		c.setCaughtUp()
	}
	return nil
}

func (c *claimDelegate) setCaughtUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.caughtUp:
	default:
		close(c.caughtUp)
	}
}

// applyPage may run concurrently for overlapping pages: the table ignores records that were already applied.
func (c *claimDelegate) applyPage(page platform.Page) {
	c.table.SetOldestOffset(page.First)
	for _, r := range page.Records {
		b, err := decodeBatch(r.Data)
		if err != nil {
			// Every reader skips malformed records, so all reach the same decisions.
			c.o.Logger.Warn("skipping malformed record", "stream", claimStream, "offset", r.Offset, "error", err)
		}
		c.resolve(b.ID, r.Time, c.table.Apply(r.Offset, r.Time, b))
	}
}

// resolve completes the waiters that the decisions refer to: all waiters of a key that is bound, and otherwise those
// whose own claim was rejected or left undecided.
func (c *claimDelegate) resolve(batch string, at time.Time, decisions []contract.ClaimDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestRecordTime = at
	if batch != "" && batch == c.inflight {
		c.inflight = ""
		close(c.inflightSeen)
	}
	for _, d := range decisions {
		var undecided []*claimWaiter
		for _, w := range c.waiting[d.Claim.Key] {
			if d.Result != contract.ClaimBound && w.claim.Job != d.Claim.Job {
				undecided = append(undecided, w)
				continue
			}
			w.resolved = true
			c.waiterCount--
			w.done <- claimReply{id: d.Winner, err: claimError(d)}
		}
		if len(undecided) == 0 {
			delete(c.waiting, d.Claim.Key)
		} else {
			c.waiting[d.Claim.Key] = undecided
		}
	}
}

func claimError(d contract.ClaimDecision) error {
	switch d.Result {
	case contract.ClaimTooOld:
		// The key may have had a job whose answer has been dropped, so this proves nothing about execution.
		return fault.With(fault.Expired, "key too old", "key %s is older than %s", d.Claim.Key, contract.KeyValidity)
	case contract.ClaimTooNew:
		return fault.With(fault.Invalid, "key from the future", "key %s was created more than %s ahead of the log's clock",
			d.Claim.Key, contract.KeySkew)
	case contract.ClaimUndecided:
		return fault.Unavailable.New("records that may hold an earlier claim of key %s are missing", d.Claim.Key)
	default:
		return nil
	}
}

func (c *claimDelegate) countError() {
	metrics.GetOrRegisterCounter(metric.LogErrors, c.o.Metrics).Inc(1)
}
