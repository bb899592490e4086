// Command scenario2 plays one case of the second review: it starts gateway processes among
// stand-ins of the platform on loopback, plays planned work and, unless TROUBLE=0, the
// disruption of the case, and checks one rule.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

// scenarios are the cases by name.
var scenarios = map[string]func(*world, bool) (broken bool, err error){
	"replayed-restart":  replayedRestart,
	"late-registration": lateRegistration,
	"fleet-growth":      fleetGrowth,
	"cold-restart":      coldRestart,
	"forgotten-drain":   forgottenDrain,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: scenario2 CASE GATEWAY-BINARY RECORD")
		os.Exit(exitNotPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func play(name, binary, recordPath string, trouble bool) int {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotPlayed
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	w, err := newWorld(binary, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer w.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.stop()
		os.Exit(exitNotPlayed)
	}()
	w.note("case %s, disruption %t", name, trouble)
	broken, err := scenario(w, trouble)
	switch {
	case err != nil:
		w.note("not played: %v", err)
		return exitNotPlayed
	case broken:
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
