package spill

import (
	"time"

	"cuminshift/internal/model"
)

const (
	// maxRefusedWithRoom is the refused fraction up to which a data centre counts as
	// having room, and minSamplesForRoom the number of samples from which on the fraction
	// is known.
	maxRefusedWithRoom = 0.03
	minSamplesForRoom  = 5
	// maxRefusedElsewhere is the refused fraction of all remote data centres together up to
	// which they have room.
	maxRefusedElsewhere = 0.06
	// overflowSamples is the number of flows that may go to the data centre with room
	// between two updates, per sample of all data centres. More would fill it before its
	// refusals show.
	overflowSamples = 0.1
	// maxTrials is the number of flows that go to data centres with fewer samples in a
	// trialInterval. Their responses show within that time whether there is room.
	maxTrials     = 20
	trialInterval = 300 * time.Millisecond
)

// Overflow decides where flows go that the own data centre has no room for and that would
// be refused otherwise. The Controller moves fractions of the new flows in steps of some
// hundred milliseconds; the Overflow takes what comes in the meantime. The zero value
// has no room anywhere.
type Overflow struct {
	// roomIn is the remote data centre that refuses least, if that is little; left is the
	// number of flows that may still go there until the next update.
	roomIn model.DataCentre
	left   float64
	// unknown is a remote data centre with too few samples; trials counts the flows that
	// were sent to such ones since trialsFrom.
	unknown       model.DataCentre
	trials        int
	trialsFrom    time.Time
	roomElsewhere bool
}

// Update takes the current view of all data centres. It is to be called every 100 ms.
func (o *Overflow) Update(now time.Time, dcs []DataCentre) {
	if now.Sub(o.trialsFrom) >= trialInterval {
		o.trials, o.trialsFrom = 0, now
	}
	o.roomIn, o.unknown = "", ""
	total, remote, refused, least := 0.0, 0.0, 0.0, maxRefusedWithRoom
	for i := range dcs {
		d := &dcs[i]
		total += d.Samples
		if d.Local || !d.Usable {
			continue
		}
		remote += d.Samples
		refused += d.Refused * d.Samples
		switch {
		case d.Samples < minSamplesForRoom:
			o.unknown = d.Name
		case d.Refused <= least:
			o.roomIn, least = d.Name, d.Refused
		}
	}
	o.left = max(1, total*overflowSamples)
	o.roomElsewhere = remote >= minSamplesForRoom && refused <= maxRefusedElsewhere*remote
}

// Take returns the data centre that a flow goes to instead of being refused, if there is
// one.
func (o *Overflow) Take() (dc model.DataCentre, ok bool) {
	switch {
	case o.roomIn != "" && o.left >= 1:
		o.left--
		return o.roomIn, true
	case o.unknown != "" && o.trials < maxTrials:
		o.trials++
		return o.unknown, true
	}
	return "", false
}

// Room reports whether a data centre has room for the flows that Take returns.
func (o *Overflow) Room() bool { return o.roomIn != "" }

// RoomElsewhere reports whether the remote data centres together refuse few requests. New
// flows are then not to be refused: what does not fit moves with the Controller's steps.
func (o *Overflow) RoomElsewhere() bool { return o.roomElsewhere }
