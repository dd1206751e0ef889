package contract

import "maps"

// ServiceConfig is the schema file of a service; the name of the service is the key.
type ServiceConfig struct {
	Schema string `json:"schema"`
}

// KindConfig overrides the declaration of a request kind; its key is service/kind. Zero values keep the declared
// ones.
type KindConfig struct {
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	ExpectedMS int64  `json:"expected_ms,omitempty"`
	Class      string `json:"class,omitempty"`
	Weight     int    `json:"weight,omitempty"`
}

// CustomerConfig is a customer's weight in fair sharing.
type CustomerConfig struct {
	Weight float64 `json:"weight"`
}

// TeamConfig is a team's weight within its customer and its quotas; 0 means no quota. Its key is customer/team.
type TeamConfig struct {
	Weight          float64 `json:"weight,omitempty"`
	Slots           int     `json:"slots,omitempty"`
	StartsPerSecond float64 `json:"starts_per_second,omitempty"`
	Burst           float64 `json:"burst,omitempty"`
	// QuotaRevision is the revision that last changed Slots or StartsPerSecond. Readers set it; a patch does not.
	QuotaRevision uint64 `json:"quota_revision,omitempty"`
}

// WorkerClassConfig declares a class of workers.
type WorkerClassConfig struct {
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// ConfigDocument is a whole configuration. Documents are immutable once built.
type ConfigDocument struct {
	Services      map[string]ServiceConfig     `json:"services,omitempty"`
	Kinds         map[string]KindConfig        `json:"kinds,omitempty"`
	Customers     map[string]CustomerConfig    `json:"customers,omitempty"`
	Teams         map[string]TeamConfig        `json:"teams,omitempty"`
	WorkerClasses map[string]WorkerClassConfig `json:"worker_classes,omitempty"`
}

// ConfigPatch replaces the entries that it names; a null entry removes one.
type ConfigPatch struct {
	Services      map[string]*ServiceConfig     `json:"services,omitempty"`
	Kinds         map[string]*KindConfig        `json:"kinds,omitempty"`
	Customers     map[string]*CustomerConfig    `json:"customers,omitempty"`
	Teams         map[string]*TeamConfig        `json:"teams,omitempty"`
	WorkerClasses map[string]*WorkerClassConfig `json:"worker_classes,omitempty"`
}

// Patched returns the document with a patch applied.
func (d ConfigDocument) Patched(p ConfigPatch) ConfigDocument {
	return ConfigDocument{
		Services:      patched(d.Services, p.Services),
		Kinds:         patched(d.Kinds, p.Kinds),
		Customers:     patched(d.Customers, p.Customers),
		Teams:         patched(d.Teams, p.Teams),
		WorkerClasses: patched(d.WorkerClasses, p.WorkerClasses),
	}
}

// withQuotaRevisions returns the document with the quota revision of each team set, given the previous document and
// the revision that the change makes.
func (d ConfigDocument) withQuotaRevisions(before ConfigDocument, revision uint64) ConfigDocument {
	teams := maps.Clone(d.Teams)
	for name, t := range teams {
		old, ok := before.Teams[name]
		t.QuotaRevision = old.QuotaRevision
		if !ok || old.Slots != t.Slots || old.StartsPerSecond != t.StartsPerSecond {
			t.QuotaRevision = revision
		}
		teams[name] = t
	}
	d.Teams = teams
	return d
}

func patched[V any](old map[string]V, changes map[string]*V) map[string]V {
	if len(changes) == 0 {
		return old
	}
	out := maps.Clone(old)
	if out == nil {
		out = make(map[string]V)
	}
	for k, v := range changes {
		if v == nil {
			delete(out, k)
		} else {
			out[k] = *v
		}
	}
	return out
}

// ConfigChange is an operator's change to the revision Base.
type ConfigChange struct {
	ID     string      `json:"id"`
	Author string      `json:"author"`
	Base   uint64      `json:"base"`
	Patch  ConfigPatch `json:"patch"`
}

// ConfigOrigin identifies the change that made a revision.
type ConfigOrigin struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	Author   string `json:"author"`
}

// ConfigSnapshot is the state after all records before the offset Next.
type ConfigSnapshot struct {
	Next     uint64         `json:"next"`
	Revision uint64         `json:"revision"`
	Recent   []ConfigOrigin `json:"recent,omitempty"`
	Document ConfigDocument `json:"document"`
}

// ConfigRecord is a record of the stream "config": a change, a snapshot, or neither if it is malformed.
type ConfigRecord struct {
	Change   *ConfigChange   `json:"change,omitempty"`
	Snapshot *ConfigSnapshot `json:"snapshot,omitempty"`
}

// ConfigVerdict is the decision on a change. Reason is empty if it was accepted. For a stale base, Winner is the
// change that made the revision after the base, or the current revision if that one is no longer remembered.
type ConfigVerdict struct {
	Offset   uint64
	ID       string
	Author   string
	Accepted bool
	Revision uint64
	Reason   string
	Winner   ConfigOrigin
}
