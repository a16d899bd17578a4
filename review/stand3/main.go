// Command reviewstand3 plays the cases of the third review: it starts frontd as separate processes, with
// stand-ins for the platform, the searchers and the callers, and judges what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// stage is what a case runs with.
type stage struct {
	*record
	// trouble is false if the disruption is left out.
	trouble bool
	// program is the project's program, and folder a temporary folder.
	program, folder string
}

// cases maps names to cases. A case reports whether the rule was broken.
var cases = map[string]func(s *stage) (broken bool, err error){
	"cut":   playCut,
	"power": playPower,
	"quota": playQuota,
}

// errUsage reports wrong arguments.
var errUsage = errors.New("usage: reviewstand3 CASE PROGRAM RECORD")

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

func main() {
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		fmt.Fprintln(os.Stderr, "case could not run: stopped before its end")
		killAll()
		os.Exit(exitNotRun)
	}()
	code, err := play(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
	}
	os.Exit(code)
}

func play(args []string) (int, error) {
	if len(args) != 3 || cases[args[0]] == nil {
		return exitNotRun, errUsage
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		return exitNotRun, err
	}
	r, err := newRecord(args[2])
	if err != nil {
		return exitNotRun, err
	}
	defer r.file.Close()
	folder, err := os.MkdirTemp("", "reviewstand3-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(folder)
	s := &stage{
		record:  r,
		trouble: os.Getenv("TROUBLE") != "0",
		program: program,
		folder:  folder,
	}
	s.say("case %s, disruption %v", args[0], s.trouble)
	broken, err := cases[args[0]](s)
	switch {
	case err != nil:
		s.say("not run: %v", err)
		return exitNotRun, err
	case broken:
		s.say("the rule was broken")
		return exitBroken, nil
	}
	s.say("the rule held")
	return exitHeld, nil
}
