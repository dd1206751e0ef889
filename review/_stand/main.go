// Command stand plays the cases of this review: it starts edge daemons as separate processes on loopback addresses,
// with stand-ins for the platform's store, the workers and the clients, and checks one rule from what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit is the longest time of a case. A longer one counts as one that could not run.
const caseLimit = 110 * time.Second

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases are the cases by name. A case returns what broke its rule, empty if the rule held.
var cases = map[string]func(r *rig, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays one case and returns the exit status.
func play(name, recordPath string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCouldNot
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer rec.close()
	rec.line("case %s, with the disruption: %v", name, trouble)
	r, err := newRig(rec)
	if err != nil {
		rec.line("could not run: %v", err)
		return exitCouldNot
	}
	defer r.close()
	go endEarly(r)
	broken, err := run(r, trouble)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		return exitCouldNot
	case len(broken) > 0:
		for _, b := range broken {
			rec.line("BROKEN: %s", b)
		}
		return exitBroken
	}
	rec.line("held")
	return exitHeld
}

// endEarly ends all processes of a case that takes too long or is interrupted.
func endEarly(r *rig) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-interrupted:
		r.rec.line("interrupted: %v", s)
	case <-time.After(caseLimit):
		r.rec.line("could not run: the case takes too long")
	}
	r.close()
	os.Exit(exitCouldNot)
}
