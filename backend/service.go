package backend

import (
	"sync"
	"time"
)

// Class distinguishes short from long work.
type Class uint8

// Classes.
const (
	ClassShort Class = iota
	ClassLong
)

// String returns the name used in schema files and on the status page.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "short"
}

// Idempotency determines whether a caller may submit a request again after an unknown outcome.
type Idempotency uint8

// Idempotency levels, as in the standard option of protobuf methods.
const (
	NotIdempotent Idempotency = iota
	Idempotent
	NoSideEffects
)

// StragglerAction is the action to take on a task that runs far longer than others of its kind.
type StragglerAction uint8

// Straggler actions.
const (
	StragglerWait StragglerAction = iota
	StragglerThrottle
	StragglerCheckpoint
	StragglerStop
)

// KindSpec is the declaration of a request kind in the schema file.
type KindSpec struct {
	Name        string
	Idempotency Idempotency
	Deadline    time.Duration
	Class       Class
	Weight      int
	Straggler   StragglerAction
	Expected    time.Duration
}

// Service is a back end with its request kinds. mu guards the map of kinds.
type Service struct {
	name string

	mu    sync.RWMutex
	kinds map[string]*RequestKind
}

// NewService returns a service with the given kinds.
func NewService(name string, specs []KindSpec) *Service {
	s := &Service{name: name, kinds: make(map[string]*RequestKind, len(specs))}
	for _, spec := range specs {
		s.kinds[spec.Name] = NewRequestKind(spec)
	}
	return s
}

// Name returns the full name, for example glashaus.v1.Booking.
func (s *Service) Name() string { return s.name }

// Kind returns the request kind with the given name.
func (s *Service) Kind(name string) (*RequestKind, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	k, ok := s.kinds[name]
	return k, ok
}

// Kinds returns the declarations of all kinds.
func (s *Service) Kinds() []KindSpec {
	s.mu.RLock()
	defer s.mu.RUnlock()
	specs := make([]KindSpec, 0, len(s.kinds))
	for _, k := range s.kinds {
		specs = append(specs, k.Spec())
	}
	return specs
}
