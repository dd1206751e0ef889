// Package batch implements the home of jobs that are answered in the reply to their submission: the member that
// accepted them and is responsible for them. A Home keeps its jobs in shards, each under its own lock; it orders the
// tasks of a job from the owners of workers, tracks their runs by the owners' reports and answers once every task has
// ended. At most one run of a task may be alive: the next one is ordered only when the end of the previous one is
// proven, by a report or by the expiry of its lease.
package batch
