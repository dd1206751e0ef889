package machine

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
