// Command cuminshift-gateway runs one entry instance on the users' platform.
//
// Exit codes: 0 after a planned stop (SIGTERM or SIGINT), 1 after a failure, 2
// for invalid settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cuminshift/internal/boundedlog"
	"cuminshift/internal/gatewayshell"
	"cuminshift/platform"
)

const (
	exitFailure     = 1
	exitBadSettings = 2

	// gcPercent keeps the heap small. An instance uses less than a hundredth of
	// a core, so that more frequent collections cost less than the memory.
	gcPercent = 25
)

func main() {
	file := os.Getenv(platform.SettingsVariable)
	flaggy.SetName("cuminshift-gateway")
	flaggy.SetDescription("entry instance of the cuminshift layer-4 load balancer on the users' platform")
	flaggy.String(&file, "s", "settings", "settings file; default: the path in "+platform.SettingsVariable)
	flaggy.Parse()
	if file == "" {
		flaggy.ShowHelp("no settings file given")
		os.Exit(exitBadSettings)
	}
	os.Exit(run(file))
}

func run(file string) int {
	debug.SetGCPercent(gcPercent)
	s, err := platform.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	out := boundedlog.New(os.Stdout)
	log := newLog(out)
	defer log.Sync()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	adapter := platform.Adapter()
	adapter.LogDropped = out.Dropped
	if err := gatewayshell.Run(ctx, s, adapter, log); err != nil {
		log.Error("gateway: stopped after a failure", zap.Error(err))
		return exitFailure
	}
	return 0
}

func newLog(out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, zapcore.InfoLevel))
}
