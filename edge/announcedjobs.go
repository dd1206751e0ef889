package edge

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// announcedJobs holds the jobs to announce until the next statuses, which they are sent with: an envelope of their own for each
// member would cost as much as a status. mu guards the fields below it.
type announcedJobs struct {
	mu sync.Mutex
	// near and far are the jobs that the contacts in the own failure domain and in others have not been told of.
	near, far []contract.HeldJob
}

// add adds jobs to the next announcements.
func (a *announcedJobs) add(jobs []contract.HeldJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.near = append(a.near, jobs...)
	a.far = append(a.far, jobs...)
}

// take returns the announcements for the recipients of a status, nil for none.
func (a *announcedJobs) take(to statusRecipients, now time.Time, timestamp uint64) (held audienceMessages) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.near) > 0 && (to.near || to.all) {
		held.near, a.near = encodeHeldJobs("", a.near, now, timestamp), nil
	}
	if len(a.far) > 0 && (to.contacts || to.all) {
		held.far, a.far = encodeHeldJobs("", a.far, now, timestamp), nil
	}
	return held
}
