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
	// baseRevision is the revision before the first update in the log.
	baseRevision source.Revision
	updates      []source.Update
	// baseConfiguration is the configuration at baseRevision.
	baseConfiguration *routing.Configuration
}

// Append adds an update that was applied. A full update replaces the log.
func (l *Log) Append(k source.Kind, u source.Update) {
	log := &l.sources[k]
	if u.Full {
		log.baseRevision, log.updates, log.baseConfiguration = u.Revision, nil, u.Configuration
		return
	}
	log.updates = append(log.updates, u)
	if extra := len(log.updates) - maxLogUpdates; extra > 0 {
		log.baseRevision = log.updates[extra-1].Revision
		log.baseConfiguration = configurationAt(log, log.baseRevision)
		log.updates = append([]source.Update(nil), log.updates[extra:]...)
	}
}

// Since returns the changes after a revision as one update, which is empty when
// there are none; ok is false when the log no longer holds them.
func (l *Log) Since(k source.Kind, since source.Revision) (u source.Update, ok bool) {
	log := &l.sources[k]
	if since < log.baseRevision || since == 0 {
		return source.Update{}, false
	}
	for i := range log.updates {
		next := &log.updates[i]
		if next.Revision <= since {
			continue
		}
		u.Revision = next.Revision
		if next.Configuration != nil {
			u.Configuration = next.Configuration
		}
		u.Servers = append(u.Servers, next.Servers...)
		u.DataCentres = append(u.DataCentres, next.DataCentres...)
	}
	return u, true
}

// Configuration returns the configuration at a revision, or nil when the log no
// longer holds it.
func (l *Log) Configuration(at source.Revision) *routing.Configuration {
	log := &l.sources[source.Configuration]
	if at < log.baseRevision || at == 0 {
		return nil
	}
	return configurationAt(log, at)
}

func configurationAt(log *sourceLog, at source.Revision) *routing.Configuration {
	c := log.baseConfiguration
	for i := range log.updates {
		if u := &log.updates[i]; u.Revision <= at && u.Configuration != nil {
			c = u.Configuration
		}
	}
	return c
}
