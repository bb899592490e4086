// Package feed defines how an instance passes data from the platform's store on
// to other instances, so that few of them call the store. It holds the log of
// recent updates and the encoding of updates.
package feed

import (
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// maxLogUpdates bounds the updates of each source in the log. An instance that
// lacks older updates receives the complete state.
const maxLogUpdates = 256

// Log holds the latest updates of each source.
type Log struct {
	sources [source.NumKinds]sourceLog
}

type sourceLog struct {
	// base is the position before the first update in the log.
	base    source.Position
	updates []source.Update
	// baseConfiguration is the configuration at base.
	baseConfiguration *routing.Configuration
}

// Append adds an update that was applied. A full update replaces the log.
func (l *Log) Append(k source.Kind, u source.Update) {
	log := &l.sources[k]
	if u.Full {
		log.base, log.updates, log.baseConfiguration = u.Position, nil, u.Configuration
		return
	}
	log.updates = append(log.updates, u)
	if extra := len(log.updates) - maxLogUpdates; extra > 0 {
		log.base = log.updates[extra-1].Position
		log.baseConfiguration = configurationAt(log, log.base)
		log.updates = append([]source.Update(nil), log.updates[extra:]...)
	}
}

// Since returns the changes after a position as one update, which is empty when
// there are none; ok is false when the log does not hold them.
func (l *Log) Since(k source.Kind, since source.Position) (u source.Update, ok bool) {
	log := &l.sources[k]
	if since.Before(log.base) || since.IsZero() {
		return source.Update{}, false
	}
	for i := range log.updates {
		next := &log.updates[i]
		if !since.Before(next.Position) {
			continue
		}
		u.Position = next.Position
		if next.Configuration != nil {
			u.Configuration = next.Configuration
		}
		u.Servers = append(u.Servers, next.Servers...)
		u.DataCentres = append(u.DataCentres, next.DataCentres...)
	}
	return u, true
}

// Configuration returns the configuration at a position, or nil when the log does
// not hold it.
func (l *Log) Configuration(at source.Position) *routing.Configuration {
	log := &l.sources[source.Configuration]
	if at.Before(log.base) || at.IsZero() {
		return nil
	}
	return configurationAt(log, at)
}

func configurationAt(log *sourceLog, at source.Position) *routing.Configuration {
	c := log.baseConfiguration
	for i := range log.updates {
		if u := &log.updates[i]; !at.Before(u.Position) && u.Configuration != nil {
			c = u.Configuration
		}
	}
	return c
}
