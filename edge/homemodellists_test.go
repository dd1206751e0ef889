package edge

// proves reports whether contact with a member proves to A that it is in the majority. With neither, A alone is the majority.
func (m *homeModel) proves(s *homeState, member int) bool {
	if m.grown && !s.read {
		return false
	}
	if !m.has(listedElectorate) {
		return m.inTouch[member]
	}
	return member == memberB || m.third
}

// counts reports whether B and W may be a majority: not while A may count by the list before they joined.
func (m *homeModel) counts(s *homeState) bool {
	return !m.grown || s.told[memberB] || !m.has(listsInForce)
}

// listEvents lets A read the list with B and W.
func (m *homeModel) listEvents(s homeState, visit visitHome) {
	if m.grown && !s.read {
		s.read = true
		visit("A reads the list", s)
	}
}
