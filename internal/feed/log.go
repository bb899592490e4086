// Package feed defines how an instance passes data from the platform's store on
// to other instances, so that few of them call the store. It holds the log of
// recent updates and the encoding of updates.
package feed

import (
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// maxLogUpdates and maxLogBytes bound the updates of each source in the log. An
// instance that lacks older updates receives the complete state.
const (
	maxLogUpdates = 256
	maxLogBytes   = 8 << 20
)

// Estimates of the memory that the parts of an update take. A configuration is counted
// in full, although versions that were received as differences share their routes.
const (
	routeBytes  = 200
	serverBytes = 320
	updateBytes = 128
)

// sizeOf returns an estimate of the memory that an update takes.
func sizeOf(u *source.Update) int {
	size := updateBytes + serverBytes*(len(u.Servers)+len(u.DataCentres))
	if u.Configuration != nil {
		size += routeBytes * (len(u.Configuration.Routes) + len(u.Configuration.Services))
	}
	return size
}

// Log holds the latest updates of each source.
type Log struct {
	sources [source.NumKinds]sourceLog
}

type sourceLog struct {
	// base is the position before the first update in the log.
	base    source.Position
	updates []source.Update
	// bytes is the sum of sizeOf over the updates.
	bytes int
	// baseConfiguration is the configuration at base.
	baseConfiguration *routing.Configuration
}

// Append adds an update that was applied. A full update replaces the log.
func (l *Log) Append(k source.Kind, u source.Update) {
	log := &l.sources[k]
	if u.Full {
		*log = sourceLog{base: u.Position, baseConfiguration: u.Configuration}
		return
	}
	log.updates = append(log.updates, u)
	log.bytes += sizeOf(&u)
	n, bytes := 0, log.bytes
	for len(log.updates)-n > maxLogUpdates || (bytes > maxLogBytes && n < len(log.updates)) {
		bytes -= sizeOf(&log.updates[n])
		n++
	}
	log.dropOldest(n, log.bytes-bytes)
}

// dropOldest drops the first n updates, which take a number of bytes.
func (log *sourceLog) dropOldest(n, bytes int) {
	if n == 0 {
		return
	}
	log.base = log.updates[n-1].Position
	log.baseConfiguration = configurationAt(log, log.base)
	log.updates = append([]source.Update(nil), log.updates[n:]...)
	log.bytes -= bytes
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
