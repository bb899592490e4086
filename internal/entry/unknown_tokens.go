package entry

import (
	"time"

	"cuminshift/internal/model"
)

const (
	// configApplyLimit is the time within which an accepted edit is in force at all
	// instances.
	configApplyLimit = 6 * time.Second
	// maxUnknownTokens bounds the number of remembered tokens.
	maxUnknownTokens = 4096
)

// unknownTokenTable holds the tokens that name no server of the configuration or of
// those that this instance has seen removed. Such a server belongs to a newer
// configuration, or was removed before this instance started. The first kind is known
// within configApplyLimit.
type unknownTokenTable map[model.ServerID]time.Time

// observe records a packet with an unknown token. It reports whether the token was
// first seen so long ago that its server must have been removed.
func (u unknownTokenTable) observe(now time.Time, id model.ServerID) (removed bool) {
	firstSeen, ok := u[id]
	if !ok && len(u) < maxUnknownTokens {
		u[id] = now
	}
	return ok && now.Sub(firstSeen) > configApplyLimit
}

// expire forgets the tokens that were first seen before a time.
func (u unknownTokenTable) expire(before time.Time) {
	for id, firstSeen := range u {
		if firstSeen.Before(before) {
			delete(u, id)
		}
	}
}
