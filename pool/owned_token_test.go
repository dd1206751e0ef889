package pool

// ownedToken returns the fencing token of a worker; zero if it is not owned.
func (f *fixture) ownedToken(worker string) uint64 {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	if h, ok := f.pool.hosts[worker]; ok {
		return h.host.Token
	}
	return 0
}
