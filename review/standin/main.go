// Command standin plays one case of the review. It starts the project's own programs as
// separate processes on loopback addresses, and stand-ins for the platform, the operator, the
// servers and the clients. It writes what was sent, answered and run to a record, and exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case couldn't be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusNotPlayed = 2
)

// playLimit bounds a whole play, so that it ends within 120 s whatever happens.
const playLimit = 110 * time.Second

// cases are the cases by their names.
var cases = map[string]func(*play){
	"refused": playRefused,
	"left":    playLeft,
	"lost":    playLost,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(statusNotPlayed)
	}
	p, err := newPlay(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(statusNotPlayed)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer p.recoverFailure()
		cases[os.Args[1]](p)
	}()
	select {
	case <-done:
	case <-time.After(playLimit):
		p.fail("the play took longer than %s", playLimit)
	case <-ended:
		p.fail("interrupted")
	}
	os.Exit(p.end())
}
