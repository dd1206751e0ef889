// Package pool runs tasks on the workers that this VM owns. A Pool holds the workers of one back end, the tasks queued
// for them and their runs, under one lock; each worker is maintained by a goroutine of its own, which renews the lease
// of its runs and collects their outcomes. Only its owner starts tasks on a worker: if two VMs both act as its owner,
// the worker's fencing token decides.
package pool
