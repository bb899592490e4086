package serverhealth

import (
	"time"

	"cuminshift/internal/model"
)

// SetCold treats a server as one that has just started, such as after its
// data centre was out of service.
func (h *Health) SetCold(now time.Time, id model.ServerID) {
	if s := h.servers[id]; s != nil {
		s.markCold(now)
		h.refresh(now, s)
	}
}
