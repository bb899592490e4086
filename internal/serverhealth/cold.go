package serverhealth

import (
	"time"

	"cuminshift/internal/model"
)

// SetCold treats a server as one that has just started, such as after its
// data centre was out of service.
func (t *Tracker) MarkCold(now time.Time, id model.ServerID) {
	if s := t.servers[id]; s != nil {
		s.markCold(now)
		t.refresh(now, s)
	}
}
