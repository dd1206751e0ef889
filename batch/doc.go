// Package batch is the home of jobs whose answer is the reply to their submission. A Home keeps its jobs in shards, each
// under its own lock; it orders the tasks of a job from the owners of workers, follows their runs by the owners' reports
// and answers once every task has ended. A task has at most one run that may be alive: the next one is ordered only when
// the end of the last is proven, by a report or by the lapse of the lease.
package batch
