package entry

import (
	"net/netip"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// forgetAfter is how long an instance that the list no longer names stays
// known: the list lags, and a new instance may not be in it yet.
const forgetAfter = time.Minute

// listed is what the instance list, or the instance itself, says of an
// instance.
type listed struct {
	dataCentre model.DataCentre
	peer       string
	packets    netip.AddrPort
	operator   string
	leaving    bool
	// current is set while the newest list names the instance.
	current bool
	// seen is when the list last named the instance or it sent a heartbeat.
	seen time.Time
}

// directory holds the addresses of instances.
type directory map[model.InstanceID]listed

// update takes the instance list.
func (d directory) update(now time.Time, list []*pb.ListedInstance) {
	for id, l := range d {
		l.current = false
		d[id] = l
	}
	for _, l := range list {
		packets, err := netip.ParseAddrPort(l.GetPacketAddress())
		if err != nil {
			continue
		}
		d[model.InstanceID(l.GetInstance())] = listed{model.DataCentre(l.GetDataCentre()), l.GetPeerAddress(), packets, l.GetOperatorAddress(), l.GetLeaving(), true, now}
	}
	for id, l := range d {
		if now.Sub(l.seen) > forgetAfter {
			delete(d, id)
		}
	}
}

// heard takes the address that an instance gave of itself.
func (d directory) heard(now time.Time, id model.InstanceID, dc model.DataCentre, address string) {
	l := d[id]
	l.dataCentre, l.peer, l.seen = dc, address, now
	d[id] = l
}

func (d directory) peerAddress(id model.InstanceID) (string, bool) {
	l, ok := d[id]
	return l.peer, ok
}

// relayTo returns the packet address of an instance of a data centre. turn
// makes copies of a packet go to different instances, as the fabric does: one
// of them may be dead and still listed.
func (d directory) relayTo(dc model.DataCentre, turn uint64) (netip.AddrPort, bool) {
	ids := d.inDataCentre(dc)
	if len(ids) == 0 {
		return netip.AddrPort{}, false
	}
	return d[ids[turn%uint64(len(ids))]].packets, true
}

// inDataCentre returns the listed instances of a data centre that are not
// leaving.
func (d directory) inDataCentre(dc model.DataCentre) []model.InstanceID {
	var ids []model.InstanceID
	for id, l := range d {
		if l.dataCentre == dc && l.current && !l.leaving {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// others returns the data centres other than dc, in order.
func (d directory) others(dc model.DataCentre) []model.DataCentre {
	seen := map[model.DataCentre]bool{dc: true}
	var out []model.DataCentre
	for _, l := range d {
		if !seen[l.dataCentre] {
			seen[l.dataCentre] = true
			out = append(out, l.dataCentre)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
