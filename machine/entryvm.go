package machine

// EntryVM is a machine that accepts jobs. ID names the VM, Incarnation the process that runs on it now.
type EntryVM struct {
	ID          string
	Incarnation Incarnation
	// PeerAddress is where other entry VMs reach it, CallerAddress where callers do.
	PeerAddress   string
	CallerAddress string
}
