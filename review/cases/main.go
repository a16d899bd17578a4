// Command reviewcases runs the cases of the review: it starts daemons of frontd as separate
// processes, stand-ins for the platform's store, searchers and consumers, causes the
// disruption of a case, and checks the rule that the case names.
//
// It exits with status 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// environment is what a case needs.
type environment struct {
	program string
	dir     string
	trouble bool
	record  *record
}

// cases returns what each case does. A case returns whether the rule was broken.
var cases = map[string]func(e *environment) (broken bool, err error){
	"quota-freeze": quotaFreeze,
	"quota-roll":   quotaRoll,
	"quota-cut":    quotaCut,
	"refused":      refusedFailure,
	"poison":       poisonLeaving,
}

func main() {
	program := flag.String("program", "target/frontd", "program of the daemon")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *program, *file, *keep))
}

func runCase(name, program, file string, keep bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "reviewcases")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	signal.Ignore(syscall.SIGPIPE)
	e := &environment{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: newRecord()}
	broken, err := run(e)
	if err != nil {
		e.record.event("the case could not run: %v", err)
	}
	if err := e.record.write(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case err != nil:
		return 2
	case broken:
		return 1
	}
	return 0
}
