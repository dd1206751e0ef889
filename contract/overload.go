package contract

// OverloadPolicy selects what the parts of a daemon do while there is too little room on the workers.
type OverloadPolicy struct {
	// Shed orders waiting jobs by what their delay costs their callers, and refuses those whose answer would come too late
	// to be of use.
	Shed bool
	// Steal lets an owner with room take waiting runs from owners without.
	Steal bool
}
