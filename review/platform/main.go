// Command platform plays the cases of the review that are scripts: it starts the
// project's own programs as separate processes on loopback addresses, with stand-ins for
// workers, clients and the operator of the users' platform.
//
//	platform CASE FOLDER
//
// FOLDER gets record.txt. The command runs from the root of the repository. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxRunTime ends a case that hangs, before the limit of a script.
	maxRunTime = 110 * time.Second
)

// testCase plays one case and returns a description of each break of the rule.
type testCase func(c *caseRun) ([]string, error)

var cases = map[string]testCase{
	"encoded-path":                 encodedPath,
	"late-heartbeat-after-restart": lateHeartbeatAfterRestart,
	"left-upload":                  uploadOfClientThatLeft,
	"silent-control-connections":   silentControlConnections,
	"slow-upload":                  slowUploadToDrainingWorker,
}

// caseRun is the environment of one run.
type caseRun struct {
	root    string
	rec     *record
	trouble bool
	system  *system
}

// start starts the system of the case.
func (c *caseRun) start(o options) error {
	return c.system.start(c.root, o)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE FOLDER")
		return exitFailed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	c := &caseRun{root: root, rec: rec, trouble: os.Getenv("TROUBLE") != "0", system: s}
	done := make(chan int, 1)
	go func() { done <- c.play(cases[args[0]]) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := exitFailed
	select {
	case code = <-done:
	case <-stop:
		fmt.Fprintln(os.Stderr, "interrupted")
	case <-time.After(maxRunTime):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return code
}

func (c *caseRun) play(t testCase) int {
	breaks, err := t(c)
	if err != nil {
		c.rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	for _, b := range breaks {
		c.rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	c.rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
