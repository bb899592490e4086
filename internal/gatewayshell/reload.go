package gatewayshell

import (
	"context"
	"os"
	"time"

	"cuminshift/internal/hangup"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

// settingsPollInterval is the time between two checks of the settings file,
// which may change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadable holds the settings that may change while the instance runs, and
// what is derived from them.
type reloadable struct {
	settings  *Settings
	store     source.Store
	directory upstream.Directory
	timings   [source.NumKinds]source.Timing
}

// applySettings puts the reloadable settings into effect. It keeps the clients of
// the store when the store's address is unchanged.
func (sh *Shell) applySettings(s *Settings) {
	next := &reloadable{settings: s}
	if previous := sh.reloadable.Load(); previous != nil && previous.settings.StoreAddress == s.StoreAddress {
		next.store, next.directory = previous.store, previous.directory
	} else {
		next.store, next.directory = sh.adapter.Connect(s)
	}
	for k, bound := range s.Bounds {
		next.timings[k] = source.NewTiming(bound)
	}
	sh.reloadable.Store(next)
}

// reloadSettings reloads the settings on SIGHUP and when the file has changed,
// until ctx ends.
func (sh *Shell) reloadSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := sh.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
		case <-ticker.C:
			if sh.settingsModTime().Equal(lastModTime) {
				continue
			}
		}
		lastModTime = sh.settingsModTime()
		sh.reloadOnce()
	}
}

// settingsModTime returns zero when the settings file cannot be read; the next
// reload reports this.
func (sh *Shell) settingsModTime() time.Time {
	info, err := os.Stat(sh.settings.SettingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadOnce applies the settings file. When the file is not valid, the current
// settings stay in effect.
func (sh *Shell) reloadOnce() {
	s, err := sh.settings.SettingsReload()
	if err != nil {
		sh.log.warn("settings not reloaded, keeping the current ones", err)
		return
	}
	var afterRestart []string
	if s.PacketAddress != sh.settings.PacketAddress {
		afterRestart = append(afterRestart, "packet address")
	}
	if s.ReadyAddress != sh.settings.ReadyAddress {
		afterRestart = append(afterRestart, "ready address")
	}
	if s.Instance != sh.settings.Instance || s.DataCentre != sh.settings.DataCentre {
		afterRestart = append(afterRestart, "instance")
	}
	if s.Bandwidth != sh.settings.Bandwidth {
		afterRestart = append(afterRestart, "bandwidth")
	}
	sh.applySettings(s)
	sh.counters.reloads.Inc(1)
	sh.log.reloaded(s, afterRestart)
}
