// Package pool runs tasks on the workers that this VM owns. A Pool holds the workers of one back end, the tasks that
// wait for them and the runs on them, under one lock; each worker is maintained by a goroutine of its own, which renews the
// lease of its runs and collects their ends. Nobody else starts tasks on an owned worker: the worker's fencing token
// decides between two VMs that both believe to own it.
package pool
