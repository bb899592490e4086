// Package hangup receives SIGHUP, by which operators ask a process to read its settings
// again. The signal ends a process that does not receive it, so the package does so when
// it is initialized. It imports little, to be initialized before other packages.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = receive()

func receive() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel of the signals since the start of the process. Signals that
// arrive while one waits are merged with it.
func Signals() <-chan os.Signal { return signals }
