// Package machine models the machines of a deployment: entry VMs, which run the dispatcher, and workers, which
// run tasks.
package machine
