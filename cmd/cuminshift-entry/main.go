// Command cuminshift-entry runs one entry instance.
//
// Exit codes: 0 after a planned stop (SIGTERM or SIGINT), 1 after a failure, 2
// for invalid settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cuminshift/internal/hangup"
	"cuminshift/internal/settings"
	"cuminshift/internal/shell"
)

const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() {
	var file string
	flaggy.SetName("cuminshift-entry")
	flaggy.SetDescription("entry instance of the cuminshift layer-4 load balancer")
	flaggy.String(&file, "s", "settings", "settings file (YAML, see docs/settings.md)")
	flaggy.Parse()
	if file == "" {
		flaggy.ShowHelp("--settings is missing")
		os.Exit(exitBadSettings)
	}
	os.Exit(run(file))
}

func run(file string) int {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	log, err := newLog(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer log.Sync()
	go func() {
		for range hangup.Signals() {
			log.Warn("entry: SIGHUP has no effect, settings are read at the start")
		}
	}()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := shell.Run(ctx, s, log); err != nil {
		log.Error("entry: stopped after a failure", zap.Error(err))
		return exitFailure
	}
	return 0
}

func newLog(s *settings.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(s.LogLevel)
	c.Encoding = "console"
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableStacktrace = true
	c.DisableCaller = true
	return c.Build()
}
