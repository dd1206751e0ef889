package contract

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

const (
	claimShards = 16
	// KeyValidity is how long after its creation a key may be claimed.
	KeyValidity = time.Hour
	// KeySkew is how far a key's creation time may be ahead of the log's clock.
	KeySkew = time.Minute
	// ClaimHistory is the age of the oldest record that can affect a claim made now.
	ClaimHistory = KeyValidity + KeySkew
	// ClaimRetention is how long after a key's creation its binding is kept in memory. A key that is claimed at the end
	// of its validity thus stays bound until the answer is dropped, if its job ends within KeySkew. The log must keep
	// claims for longer than that.
	ClaimRetention = ClaimHistory + AnswerRetention
	// MaxKeyBytes bounds the combined length of the customer and text of a key.
	MaxKeyBytes = 512
)

// Claim is the claim of an idempotency key: it binds the key to a minted job id if no earlier claim has bound it.
type Claim struct {
	Key CallerKey
	Job JobID
}

// ClaimBatch is one record of the stream of claims. ID identifies the batch, so that its author recognises it after a
// lost reply.
type ClaimBatch struct {
	ID     string
	Claims []Claim
}

// ClaimResult is the decision on a claim.
type ClaimResult uint8

// Results of a claim. All but ClaimUndecided are final and the same at every reader.
const (
	// ClaimBound means that the key is bound, by this claim or an earlier one.
	ClaimBound ClaimResult = iota
	ClaimTooOld
	ClaimTooNew
	// ClaimUndecided means that this reader lacks records which may hold an earlier claim of the key.
	ClaimUndecided
)

// ClaimDecision is the decision on one claim; Winner is the job id that the key is bound to, if it is bound.
type ClaimDecision struct {
	Claim  Claim
	Result ClaimResult
	Winner JobID
}

// claimDigest identifies a key by 16 bytes, so that the memory for a key does not depend on the length of its text.
type claimDigest [16]byte

// binding is the job id that a key is bound to, with the creation time of the key. It takes 32 bytes, 48 with its
// digest; a map needs somewhat more than twice that, about 100 bytes per key. All readers hold the keys of all failure
// domains for ClaimRetention: 160 keys a second amount to 64 MB.
type binding struct {
	job           JobID
	createdUnixMS int64
}

// ClaimTable holds the bindings that one reader of the stream of claims has seen. mu guards the position and
// serialises Apply; each shard of bindings has its own lock.
type ClaimTable struct {
	shards [claimShards]claimShard

	mu   sync.Mutex
	next uint64
	// gap is set from the time at which records before next are found missing until the record at next is applied, whose
	// time becomes missingUntil.
	gap bool
	// missingUntil is the time up to which records may be missing.
	missingUntil time.Time
}

type claimShard struct {
	mu       sync.Mutex
	bindings map[claimDigest]binding
}

// NewClaimTable returns a table that starts at the beginning of the stream.
func NewClaimTable() *ClaimTable {
	t := &ClaimTable{}
	for i := range t.shards {
		t.shards[i].bindings = make(map[claimDigest]binding)
	}
	return t
}

// Next returns the offset of the next record to apply.
func (t *ClaimTable) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// SkipTo advances past records that are too old to affect a claim.
func (t *ClaimTable) SkipTo(offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, offset)
}

// SetOldestOffset sets the oldest offset that the log keeps. If records are missing, keys that they may have bound stay
// undecided.
func (t *ClaimTable) SetOldestOffset(first uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first > t.next {
		t.next = first
		t.gap = true
	}
}

// Apply decides the claims of the record at an offset, in offset order; at is the record's time by the log's clock.
// Records that were already applied are ignored.
func (t *ClaimTable) Apply(offset uint64, at time.Time, b ClaimBatch) []ClaimDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.next {
		return nil
	}
	if offset > t.next || t.gap {
		t.missingUntil = at
		t.gap = false
	}
	t.next = offset + 1
	out := make([]ClaimDecision, len(b.Claims))
	for i, c := range b.Claims {
		out[i] = t.decide(c, at)
	}
	return out
}

// decide expects t.mu to be held.
func (t *ClaimTable) decide(c Claim, at time.Time) ClaimDecision {
	digest := digestOf(c.Key)
	s := &t.shards[digest[0]%claimShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.bindings[digest]; ok {
		return ClaimDecision{Claim: c, Result: ClaimBound, Winner: b.job}
	}
	created := time.UnixMilli(c.Key.CreatedUnixMS)
	switch {
	case at.Before(created.Add(-KeySkew)):
		return ClaimDecision{Claim: c, Result: ClaimTooNew}
	case at.After(created.Add(KeyValidity)):
		return ClaimDecision{Claim: c, Result: ClaimTooOld}
	case !t.complete(c.Key):
		return ClaimDecision{Claim: c, Result: ClaimUndecided}
	}
	s.bindings[digest] = binding{job: c.Job, createdUnixMS: c.Key.CreatedUnixMS}
	return ClaimDecision{Claim: c, Result: ClaimBound, Winner: c.Job}
}

// complete reports whether no missing record can have bound the key. It expects t.mu to be held.
func (t *ClaimTable) complete(k CallerKey) bool {
	earliest := time.UnixMilli(k.CreatedUnixMS).Add(-KeySkew)
	return !t.gap && (t.missingUntil.IsZero() || earliest.After(t.missingUntil))
}

// Lookup returns the job id that a key is bound to. complete is false if records that may have bound it are missing.
func (t *ClaimTable) Lookup(k CallerKey) (id JobID, bound, complete bool) {
	t.mu.Lock()
	complete = t.complete(k)
	t.mu.Unlock()
	digest := digestOf(k)
	s := &t.shards[digest[0]%claimShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, bound := s.bindings[digest]
	return b.job, bound, complete
}

// Expire drops the bindings of keys that can no longer be claimed or have an answer, and returns their number.
func (t *ClaimTable) Expire(now time.Time) int {
	oldest := now.Add(-ClaimRetention).UnixMilli()
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for d, b := range s.bindings {
			if b.createdUnixMS < oldest {
				delete(s.bindings, d)
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// digestOf hashes the parts of a key with the length of the customer, so that no two keys have the same input.
func digestOf(k CallerKey) claimDigest {
	buf := make([]byte, 0, 16+len(k.Customer)+len(k.Text))
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(k.Customer)))
	buf = append(buf, k.Customer...)
	buf = append(buf, k.Text...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(k.CreatedUnixMS))
	sum := sha256.Sum256(buf)
	return claimDigest(sum[:16])
}
