package serverhealth

import (
	"time"

	"cuminshift/internal/model"
)

// MarkCold marks a server as cold, as if it had just started, for example when
// its data centre returns to service.
func (t *Tracker) MarkCold(now time.Time, id model.ServerID) {
	if s := t.servers[id]; s != nil {
		s.markCold(now)
		t.refresh(now, s)
	}
}
