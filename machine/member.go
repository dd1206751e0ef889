package machine

import "strings"

// Member is a process of the deployment and the address at which its peers reach it.
type Member struct {
	VM          string      `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Address     string      `json:"address"`
	Domain      string      `json:"domain"`
	CPUMillis   int         `json:"cpu_millis"`
}

// ID identifies the process among all that ever run on its VM.
func (m Member) ID() string { return m.VM + "/" + m.Incarnation.String() }

// VMOf returns the VM of a process by its ID.
func VMOf(id string) string { return id[:max(strings.LastIndexByte(id, '/'), 0)] }

// MemberList is the list of all members as of a version of the store. Later versions are higher; a store without any record has
// version 0.
type MemberList struct {
	Version uint64
	Members []Member
	// Gone holds the VMs that an operator has declared gone for good.
	Gone []string
}
