package machine

// Member is a process that takes part, and where its peers reach it.
type Member struct {
	VM          string      `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Address     string      `json:"address"`
	Domain      string      `json:"domain"`
	CPUMillis   int         `json:"cpu_millis"`
}

// ID names the process among all that ever run on its VM.
func (m Member) ID() string { return m.VM + "/" + m.Incarnation.String() }
