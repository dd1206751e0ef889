package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/fault"
)

// Guards against running a job at two homes: after Detach the old home never starts it, whether or not the successor
// replies, and a repeated part does not queue it again at the successor.
func TestDetachedJobStartsOnlyAtSuccessor(t *testing.T) {
	home, id := acceptedJob(t, 1)
	successor := NewJobTable(1, 8)
	now := time.Now()
	home.Close()
	specs := home.Detach()
	require.Len(t, specs, 1)
	require.Empty(t, home.Detach())
	_, ok := home.Start(TaskID{Job: id}, "w")
	require.False(t, ok)
	_, _, err := home.Lookup(id)
	require.Equal(t, fault.HandedOver.FullName(), fault.Code(err))
	require.False(t, successor.AdoptJob(specs[0], now), "no hand-over of the home has begun")
	require.True(t, successor.Adopt(AdoptedHome{Home: 7}))
	require.True(t, successor.AdoptJob(specs[0], now))
	require.False(t, successor.AdoptJob(specs[0], now))
	_, ok = successor.Start(TaskID{Job: id}, "w")
	require.True(t, ok)
}

// Guards against a false "not run" for an id of a home whose hand-over did not complete, and for one whose answer the
// home had already dropped.
func TestSuccessorProvesOnlyWhatWasHandedOver(t *testing.T) {
	home := NewJobTable(1, 7)
	ids := home.Mint(17)
	now := time.Now()
	_, err := home.Accept(JobSpec{ID: ids[16], Tasks: make([]TaskSpec, 1)}, now)
	require.NoError(t, err)
	_, err = home.Cancel(ids[16], "cancelled", now)
	require.NoError(t, err)
	require.Equal(t, 1, home.Expire(now.Add(AnswerRetention)))
	home.Close()
	successor := NewJobTable(1, 8)
	code := func(id JobID) string {
		_, _, err := successor.Lookup(id)
		return fault.Code(err)
	}
	record := home.Homes()[0]
	record.Complete = false
	successor.Adopt(record)
	require.Equal(t, fault.JobLost.FullName(), code(ids[1]))
	record.Complete = true
	successor.Adopt(record)
	require.Equal(t, fault.NeverAccepted.FullName(), code(ids[1]))
	require.Equal(t, fault.Expired.FullName(), code(ids[16]))
	require.Equal(t, fault.Expired.FullName(), code(ids[0]), "lower sequence number in the shard of an expired id")
	require.Equal(t, fault.UnknownJob.FullName(), code(JobID{Domain: 1, Home: 7, Seq: 18}))
}

// Guards against unbounded memory for answers; ids dropped early are refused and never run again.
func TestAnswersAreBoundedByBytes(t *testing.T) {
	const bound = 1 << 20
	table := NewJobTable(1, 7)
	table.SetBounds(JobBounds{RetainedBytes: bound, PendingBytes: bound})
	now := time.Now()
	result := make([]byte, bound/4)
	ids := table.Mint(6 * jobShards)
	for n := 0; n < len(ids); n += jobShards {
		_, err := table.Accept(JobSpec{ID: ids[n], Tasks: make([]TaskSpec, 1)}, now)
		require.NoError(t, err)
		_, ok := table.Start(TaskID{Job: ids[n]}, "w")
		require.True(t, ok)
		table.Finish(TaskID{Job: ids[n]}, TaskReport{Outcome: OutcomeDone}, result, now)
	}
	require.LessOrEqual(t, table.usage.retained.Load(), int64(bound))
	require.Zero(t, table.usage.pending.Load())
	_, err := table.Accept(JobSpec{ID: ids[0], Tasks: make([]TaskSpec, 1)}, now)
	require.Equal(t, fault.Expired.FullName(), fault.Code(err))
}

// Guards against a large job that is refused although the table has room for it, and against unfinished jobs without a bound.
func TestUnfinishedJobsAreBoundedByBytes(t *testing.T) {
	table := NewJobTable(1, 7)
	table.SetBounds(JobBounds{RetainedBytes: 10 << 20, PendingBytes: 10 << 20})
	ids := table.Mint(3)
	for n, id := range ids {
		_, err := table.Accept(JobSpec{ID: id, Tasks: []TaskSpec{{Payload: make([]byte, MaxJobBytes)}}}, time.Now())
		require.Equal(t, n == len(ids)-1, fault.Code(err) == fault.Overloaded.FullName(), "%v", err)
	}
}
