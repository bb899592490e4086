package entry

import (
	"net/netip"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// entryTTL is how long an instance that the list no longer names stays
// known: the list lags, and a new instance may not be in it yet.
const entryTTL = time.Minute

// directoryEntry is what the instance list, or the instance itself, says of an
// instance.
type directoryEntry struct {
	dataCentre      model.DataCentre
	peerAddress     string
	packetAddress   netip.AddrPort
	operatorAddress string
	leaving         bool
	// inList is set while the newest list names the instance.
	inList bool
	// lastSeen is when the list last named the instance or it sent a heartbeat.
	lastSeen time.Time
}

// directory holds the addresses of instances.
type directory map[model.InstanceID]directoryEntry

// update takes the instance list.
func (d directory) update(now time.Time, list []*pb.ListedInstance) {
	for id, l := range d {
		l.inList = false
		d[id] = l
	}
	for _, l := range list {
		packets, err := netip.ParseAddrPort(l.GetPacketAddress())
		if err != nil {
			continue
		}
		d[model.InstanceID(l.GetInstance())] = directoryEntry{model.DataCentre(l.GetDataCentre()), l.GetPeerAddress(), packets, l.GetOperatorAddress(), l.GetLeaving(), true, now}
	}
	for id, l := range d {
		if now.Sub(l.lastSeen) > entryTTL {
			delete(d, id)
		}
	}
}

// recordPeerAddress takes the address that an instance gave of itself.
func (d directory) recordPeerAddress(now time.Time, id model.InstanceID, dc model.DataCentre, address string) {
	e := d[id]
	e.dataCentre, e.peerAddress, e.lastSeen = dc, address, now
	d[id] = e
}

func (d directory) peerAddress(id model.InstanceID) (string, bool) {
	e, ok := d[id]
	return e.peerAddress, ok
}

// relayTarget returns the packet address of an instance of a data centre. turn
// makes copies of a packet go to different instances, as the fabric does: one
// of them may be dead and still listed.
func (d directory) relayTarget(dc model.DataCentre, turn uint64) (netip.AddrPort, bool) {
	ids := d.instancesIn(dc)
	if len(ids) == 0 {
		return netip.AddrPort{}, false
	}
	return d[ids[turn%uint64(len(ids))]].packetAddress, true
}

// instancesIn returns the listed instances of a data centre that are not
// leaving.
func (d directory) instancesIn(dc model.DataCentre) []model.InstanceID {
	var ids []model.InstanceID
	for id, e := range d {
		if e.dataCentre == dc && e.inList && !e.leaving {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// otherDataCentres returns the data centres other than dc, in order.
func (d directory) otherDataCentres(dc model.DataCentre) []model.DataCentre {
	seen := map[model.DataCentre]bool{dc: true}
	var out []model.DataCentre
	for _, e := range d {
		if !seen[e.dataCentre] {
			seen[e.dataCentre] = true
			out = append(out, e.dataCentre)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
