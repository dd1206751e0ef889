package admin

import (
	"time"

	"github.com/cicadadale/cicadadale/zone"
)

// Source is the daemon whose state the server shows. Its methods must be safe for concurrent use.
type Source interface {
	Process() ProcessView
	// Health returns an error if the process should be replaced.
	Health() error
	Readiness() Readiness
	Members() []zone.MemberView
	Workers() []WorkerView
	Links() []LinkView
	Queues() []QueueView
	Grants() []GrantView
	Quotas() []QuotaView
	Config() ConfigView
}

// ProcessView identifies a daemon.
type ProcessView struct {
	VM            string    `json:"vm"`
	Incarnation   string    `json:"incarnation"`
	FailureDomain int       `json:"failure_domain"`
	Region        string    `json:"region"`
	Started       time.Time `json:"started"`
	Unfinished    int       `json:"unfinished_jobs"`
}

// Readiness reports whether the load balancer should send callers to this VM. Reasons is empty exactly if Ready is set.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons"`
}

// WorkerView is a worker of the failure domain.
type WorkerView struct {
	ID          string  `json:"id"`
	Address     string  `json:"address"`
	Service     string  `json:"service"`
	Rack        string  `json:"rack"`
	Slots       int     `json:"slots"`
	Speed       float64 `json:"speed"`
	Incarnation string  `json:"incarnation"`
	// Reported is false until the worker has sent a status.
	Reported bool   `json:"reported"`
	Leaving  bool   `json:"leaving"`
	Health   string `json:"health"`
}

// LinkView is the sending half of a link to another entry VM.
type LinkView struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Open    bool   `json:"open"`
	Queued  int    `json:"queued"`
	Unacked uint64 `json:"unacknowledged"`
	// SilentMS is the time since the oldest unacknowledged envelope was sent, or 0 if all are acknowledged.
	SilentMS int64 `json:"silent_ms"`
}

// QueueView is the queued work and the slots of one service.
type QueueView struct {
	Service      string `json:"service"`
	WaitingShort int    `json:"waiting_short"`
	WaitingLong  int    `json:"waiting_long"`
	ShortWorkMS  int64  `json:"short_work_ms"`
	LongWorkMS   int64  `json:"long_work_ms"`
	SlotsIdle    int    `json:"slots_idle"`
	SlotsBusy    int    `json:"slots_busy"`
}

// GrantView shows the slots that this VM, as slot allocator of a worker, has granted.
type GrantView struct {
	Service string       `json:"service"`
	Worker  string       `json:"worker"`
	Slots   int          `json:"slots"`
	Free    int          `json:"free"`
	Closed  bool         `json:"closed"`
	Holders []HolderView `json:"holders"`
}

// HolderView is an entry VM that holds slots of a worker.
type HolderView struct {
	VM    string `json:"vm"`
	Short int    `json:"short"`
	Long  int    `json:"long"`
}

// QuotaView shows the quota of a team and the share of it that this entry VM holds, both in slots, or in
// customer.RateUnits if the quota limits only the start rate. Waiting reports whether tasks of the team wait for quota.
type QuotaView struct {
	Customer string `json:"customer"`
	Team     string `json:"team"`
	Quota    int    `json:"quota"`
	Share    int    `json:"share"`
	Running  int    `json:"running"`
	Waiting  bool   `json:"waiting"`
}

// ConfigView is the configuration in effect.
type ConfigView struct {
	Revision uint64        `json:"revision"`
	Offset   uint64        `json:"offset"`
	Services []ServiceView `json:"services"`
}

// ServiceView is a configured service.
type ServiceView struct {
	Name  string     `json:"name"`
	Kinds []KindView `json:"kinds"`
}

// KindView is a request kind. Class is the observed class, or the declared one while there are too few observations.
type KindView struct {
	Name       string `json:"name"`
	Class      string `json:"class"`
	DeadlineMS int64  `json:"deadline_ms"`
	ExpectedMS int64  `json:"expected_ms"`
	Weight     int    `json:"weight"`
}
