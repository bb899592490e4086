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

// settingsPollInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadable is what follows from settings that may change while the instance runs.
type reloadable struct {
	settings  *Settings
	store     source.Store
	directory upstream.Directory
	timings   [source.NumKinds]source.Timing
}

// applySettings takes new settings. Clients of the store are kept while its address
// stays.
func (sh *Shell) applySettings(s *Settings) {
	next := &reloadable{settings: s}
	if before := sh.reloadable.Load(); before != nil && before.settings.StoreAddress == s.StoreAddress {
		next.store, next.directory = before.store, before.directory
	} else {
		next.store, next.directory = sh.adapter.Connect(s)
	}
	for k, bound := range s.Bounds {
		next.timings[k] = source.NewTiming(bound)
	}
	sh.reloadable.Store(next)
}

// reloadSettings reads the settings again on SIGHUP and when the file has changed.
func (sh *Shell) reloadSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := sh.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if sh.settingsModTime().Equal(seen) {
				continue
			}
		}
		seen = sh.settingsModTime()
		sh.reloadOnce()
	}
}

// settingsModTime returns the time of the settings file's last change; zero when it
// cannot be read, which the next reload reports.
func (sh *Shell) settingsModTime() time.Time {
	info, err := os.Stat(sh.settings.SettingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadOnce applies the settings file. Settings that are not valid change
// nothing.
func (sh *Shell) reloadOnce() {
	s, err := sh.settings.SettingsReload()
	if err != nil {
		sh.log.warn("settings not reloaded, the present ones stay", err)
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
	sh.applySettings(s)
	sh.counters.reloads.Inc(1)
	sh.log.reloaded(s, later)
}
