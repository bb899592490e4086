package gatewayshell

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// live is what follows from settings that may change while the instance runs.
type live struct {
	settings  *Settings
	store     source.Store
	directory upstream.Directory
	timings   [source.NumKinds]source.Timing
}

// apply takes new settings. Clients of the store are kept while its address
// stays.
func (sh *Shell) apply(s *Settings) {
	next := &live{settings: s}
	if before := sh.live.Load(); before != nil && before.settings.StoreAddress == s.StoreAddress {
		next.store, next.directory = before.store, before.directory
	} else {
		next.store, next.directory = sh.parts.Connect(s)
	}
	for k, bound := range s.ApplyBounds {
		next.timings[k] = source.NewTiming(bound)
	}
	sh.live.Store(next)
}

// reload reads the settings again on SIGHUP and when the file has changed.
func (sh *Shell) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	seen := sh.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if sh.modified().Equal(seen) {
				continue
			}
		}
		seen = sh.modified()
		sh.reloadOnce()
	}
}

// modified returns the time of the settings file's last change; zero when it
// cannot be read, which the next reload reports.
func (sh *Shell) modified() time.Time {
	info, err := os.Stat(sh.settings.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadOnce applies the settings file. Settings that are not valid change
// nothing.
func (sh *Shell) reloadOnce() {
	s, err := sh.settings.Reload()
	if err != nil {
		sh.log.failed("settings not reloaded, the present ones stay", err)
		return
	}
	var later []string
	if s.PacketAddress != sh.settings.PacketAddress {
		later = append(later, "packet address")
	}
	if s.ReadyAddress != sh.settings.ReadyAddress {
		later = append(later, "ready address")
	}
	if s.Instance != sh.settings.Instance || s.DataCentre != sh.settings.DataCentre {
		later = append(later, "instance")
	}
	sh.apply(s)
	sh.counters.reloads.Inc(1)
	sh.log.reloaded(s, later)
}
