// Command cuminctl edits the lists and marks of cuminshift and shows its state.
// Run "cuminctl --help" for the commands and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"

	"cuminshift/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
