package machine

// EntryVM is a machine that accepts jobs. ID identifies the VM, Incarnation the process that currently runs on it.
type EntryVM struct {
	ID          string
	Incarnation Incarnation
	// PeerAddress is the address for other entry VMs, CallerAddress the one for callers.
	PeerAddress   string
	CallerAddress string
}
