package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// maxListAge is the age up to which the list of workers proves that no worker has a label. Workers renew their entries
// every 1.5 s.
const maxListAge = 3 * time.Second

// fits reports whether any listed worker of a back end can hold a task. known is false if the list does not tell: it has no
// worker of the back end, or no worker with the label, and is so old that one may have restarted as another kind.
func (d *Daemon) fits(backend string, need machine.Resources, label string) (fits, known bool) {
	fits, known = d.workers.fits(backend, need, label)
	if known && !fits && label != "" && d.listAge() > maxListAge && d.workers.holds(backend, need) {
		return false, false
	}
	return fits, known
}

// listAge returns the time since the list of workers was last confirmed by the store, or by a member that reads it for this
// one.
func (d *Daemon) listAge() time.Duration {
	return min(d.o.Store.SinceWorkersRead(), d.o.Now().Sub(d.feed.LastFed()))
}
