package gateway

import (
	"time"

	"cuminshift/internal/flow"
)

// maxRefusedOpenings bounds the refused openings that are remembered. An instance with a
// link of 10 Mbit/s refuses some 1,000 a second under eight times the demand.
const maxRefusedOpenings = 16384

// refusedOpenings remembers the openings that were refused because of the load for as long
// as callers retransmit them. A caller retransmits a refused opening if the reset is lost
// or waits in a full link. Without memory, its copies would be admitted.
type refusedOpenings map[flow.Key]refusedOpening

type refusedOpening struct {
	at     time.Time
	reason Reason
}

func (r *refusedOpenings) add(now time.Time, k flow.Key, reason Reason) {
	if *r == nil {
		*r = refusedOpenings{}
	}
	if _, known := (*r)[k]; known || len(*r) < maxRefusedOpenings {
		(*r)[k] = refusedOpening{now, reason}
	}
}

// reason returns why the first transmission of an opening was refused, or ReasonNone.
func (r refusedOpenings) reason(now time.Time, k flow.Key) Reason {
	o, known := r[k]
	if !known || now.Sub(o.at) > openingWindow {
		return ReasonNone
	}
	return o.reason
}

func (r refusedOpenings) expire(now time.Time) {
	for k, o := range r {
		if now.Sub(o.at) > openingWindow {
			delete(r, k)
		}
	}
}
