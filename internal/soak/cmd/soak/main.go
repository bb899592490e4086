// Command soak runs cuminshift-gateway processes against stand-ins and injects
// faults. It exits with status 1 when a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"cuminshift/internal/soak"
)

func main() {
	o := soak.Options{Binary: "target/cuminshift-gateway", Seed: 1, EventPeriod: 12 * time.Second, EventCount: 12, InstancesPerZone: 2, ServersPerZone: 3, HostsPerZone: 3}
	seeds, verbose := 1, false
	flaggy.SetName("soak")
	flaggy.SetDescription("injects faults into entry instances and checks what callers and servers observe")
	flaggy.String(&o.Binary, "b", "binary", "path of cuminshift-gateway")
	flaggy.UInt64(&o.Seed, "s", "seed", "first seed")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds")
	flaggy.Duration(&o.EventPeriod, "l", "length", "time over which events are injected")
	flaggy.Int(&o.EventCount, "e", "events", "number of injected events")
	flaggy.Bool(&verbose, "v", "verbose", "print each injected event")
	flaggy.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	out := io.Discard
	if verbose {
		out = os.Stderr
	}
	failed := 0
	for n := 0; n < seeds && ctx.Err() == nil; n++ {
		r, err := soak.Run(ctx, o, out)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Print(r)
		if len(r.Violations) > 0 {
			failed++
		}
		o.Seed++
	}
	fmt.Printf("%d passed, %d failed\n", seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
