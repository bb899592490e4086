package upstream

import "time"

const (
	// seedDelay is the time for which a starting instance waits for a first response
	// of the store. A call takes 10 ms, and 300 ms when the store is slow.
	seedDelay = 150 * time.Millisecond
	// loadTime is the time that reading the store may take once it has responded.
	loadTime = 1500 * time.Millisecond
)

// NeedsSeeds reports whether an instance that started at the given time ago is to
// ask the seeds for the store's data: a call to the store has failed, or the store
// does not answer, or reading it takes long. Each seed answers with its complete
// data, and all instances of a fleet have the same few seeds. With 3,000 servers
// that is 0.4 MB for each instance that starts, so that the seeds' links would be
// the bottleneck when all of them start.
func NeedsSeeds(sinceStart time.Duration, storeAnswered, storeFailed bool) bool {
	switch {
	case storeFailed:
		return true
	case storeAnswered:
		return sinceStart >= loadTime
	}
	return sinceStart >= seedDelay
}
