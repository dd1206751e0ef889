// Command review-2 runs the cases of the second review that are scripts. Its arguments are the name of the case, the program
// under test and the folder of the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// longestRun is the time after which a case is given up.
	longestRun = 110 * time.Second
)

// caseFunc runs a case. It reports whether the rule was broken. trouble is false for a run without the disruption.
type caseFunc func(r *recorder, program string, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"late-zone":        lateZone,
	"cancel-forgotten": cancelForgotten,
	"users-return":     usersReturn,
	"cancel-cut":       cancelCut,
	"cancel-dropped":   cancelDropped,
	"smaller-kind":     smallerKind,
	"larger-side":      largerSide,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM FOLDER")
		os.Exit(exitUnable)
	}
	done := make(chan int, 1)
	go func() { done <- run(os.Args[1], os.Args[2], os.Args[3]) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case code := <-done:
		os.Exit(code)
	case <-stop:
	case <-time.After(longestRun):
	}
	fmt.Println("the case was ended before its result")
	killAll()
	os.Exit(exitUnable)
}

func run(name, program, folder string) int {
	r, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	broken, err := cases[name](r, program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitUnable
	case broken:
		r.printf("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		r.printf("RESULT: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
