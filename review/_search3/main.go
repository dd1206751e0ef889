package main

import (
	"fmt"
	"os"
)

// A case returns whether the rule was broken.
type playCase func(r *rig, trouble bool) (broken bool, err error)

var cases = map[string]playCase{"search": fuzz}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: search3 CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], out))
}

// play plays one case and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func play(c playCase, out *os.File) int {
	defer func() { _ = out.Close() }()
	r, err := newRig(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	broken, err := c(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.rec.add("could not run: %v", err)
		return 2
	case broken:
		r.rec.add("RULE BROKEN")
		return 1
	default:
		r.rec.add("rule held")
		return 0
	}
}
