package timeline

import "fmt"

// gaps describes the events that are missing from the part.
func (p Part) gaps() []string {
	name := p.Process
	if name == "" {
		name = "process"
	}
	if p.Source != "" {
		name += " at " + p.Source
	}
	if p.Error != "" {
		return []string{fmt.Sprintf("%s: unreachable: %s", name, p.Error)}
	}
	var out []string
	if p.Off {
		out = append(out, name+": recording is switched off")
	}
	if p.Overwritten > 0 {
		out = append(out, fmt.Sprintf("%s: %d events up to lamport %d were overwritten", name, p.Overwritten, p.LostThrough))
	}
	if p.Withheld > 0 {
		out = append(out, fmt.Sprintf("%s: %d matching events exceed the limit; the oldest were left out", name, p.Withheld))
	}
	return out
}
