// Stand runs the cases of the review: it starts the project's programs on loopback addresses with stand-in clients, replicas and a
// platform, and reports whether a rule was broken.
//
// Usage: stand CASE RECORD, at the root of the repository. The environment variable TROUBLE=0 leaves the disruption out. The exit
// status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
	// caseLimit is the longest time that a case may take.
	caseLimit = 115 * time.Second
	arguments = 3
)

// verdict is the result of a case: how often the rule was broken.
type verdict struct{ broken int }

// caseFunc plays a case. trouble is false if the disruption is to be left out.
type caseFunc func(f *fleet, trouble bool) (verdict, error)

var cases = map[string]caseFunc{
	"smuggle": playSmuggle,
	"memory":  playMemory,
	"drain":   playDrain,
}

func main() {
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case with a fleet of its own and returns the exit status.
func run(play caseFunc, path string) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer log.close()
	f, err := newFleet(log)
	if err != nil {
		log.write("could not run: %v", err)
		return statusNotRun
	}
	defer f.close()
	results := make(chan int, 1)
	go func() { results <- conclude(f, play) }()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	select {
	case status := <-results:
		return status
	case <-interrupts:
		log.write("interrupted")
	case <-time.After(caseLimit):
		log.write("could not run: not finished after %v", caseLimit)
	}
	return statusNotRun
}

func conclude(f *fleet, play caseFunc) int {
	trouble := os.Getenv("TROUBLE") != "0"
	f.log.write("disruption: %v", trouble)
	result, err := play(f, trouble)
	switch {
	case err != nil:
		f.log.write("could not run: %v", err)
		return statusNotRun
	case result.broken > 0:
		f.log.write("RULE BROKEN (%d)", result.broken)
		return statusBroken
	}
	f.log.write("rule held")
	return statusHeld
}
