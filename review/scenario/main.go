// Command scenario plays the cases of the independent review that cannot be put as
// days of the users' bench: it starts gateway processes among stand-ins of the
// platform on loopback addresses, disturbs them, and checks one rule.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

const (
	// maxDuration bounds a run.
	maxDuration = 110 * time.Second
	// troubleVariable is the environment variable that is 0 for a run without the
	// disruption.
	troubleVariable = "TROUBLE"
	// logsVariable is the environment variable with a folder for the logs of the
	// machines; they are dropped if it is empty.
	logsVariable = "KEEP_LOGS"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios by name. trouble is false for the run without the
// disruption.
var cases = map[string]func(s *site, rec *record, trouble bool) error{
	"stale-read":     staleRead,
	"big-storm":      bigStorm,
	"shared-token":   sharedToken,
	"reused-port":    reusedPort,
	"restored-store": restoredStore,
}

func main() {
	var name, binary, recordPath string
	flaggy.SetName("scenario")
	flaggy.String(&name, "c", "case", "name of the case")
	flaggy.String(&binary, "b", "binary", "path of cuminshift-gateway")
	flaggy.String(&recordPath, "r", "record", "file for the record")
	flaggy.Parse()
	os.Exit(run(name, binary, recordPath, os.Getenv(troubleVariable) != "0"))
}

func run(name, binary, recordPath string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	rec := newRecord(out)
	s, err := newSite(binary, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	result := make(chan error, 1)
	go func() { result <- play(s, rec, trouble) }()
	select {
	case err = <-result:
	case <-time.After(maxDuration):
		err = fmt.Errorf("the case did not end within %s", maxDuration)
	}
	if folder := os.Getenv(logsVariable); folder != "" {
		s.keepLogs(folder)
	}
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if n := rec.brokenCount(); n > 0 {
		rec.note("result: broken, %d times", n)
		fmt.Printf("%s: broken, %d times\n", name, n)
		return exitBroken
	}
	rec.note("result: held")
	fmt.Printf("%s: held\n", name)
	return exitHeld
}
