package backend

// Redeclare replaces the declaration of the kind and keeps its observations.
func (k *RequestKind) Redeclare(spec KindSpec) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spec = spec
	if k.total < minObservations {
		k.mean.Store(int64(k.declared()))
	}
	if k.total+float64(k.reclassified) < minClassRuns {
		k.class.Store(uint32(spec.Class))
	}
}

// Redeclare replaces the declared kinds. A kind with the same name keeps its observations; tasks of a kind that is no
// longer declared keep using it until they end.
func (s *Service) Redeclare(specs []KindSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := make(map[string]*RequestKind, len(specs))
	for _, spec := range specs {
		k, ok := s.kinds[spec.Name]
		if ok {
			k.Redeclare(spec)
		} else {
			k = NewRequestKind(spec)
		}
		kinds[spec.Name] = k
	}
	s.kinds = kinds
}
