package entry

import (
	"net/netip"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// directoryEntryTTL is how long an instance stays in the directory after it was
// last in the instance list or sent a heartbeat. The list lags, and a new instance
// may not be in it yet.
const directoryEntryTTL = time.Minute

// directoryEntry describes an instance, from the instance list and from the
// heartbeats of the instance itself.
type directoryEntry struct {
	dataCentre      model.DataCentre
	peerAddress     string
	packetAddress   netip.AddrPort
	operatorAddress string
	leaving         bool
	// inList is set while the newest instance list contains the instance.
	inList bool
	// lastSeen is when the instance was last in the list or sent a heartbeat.
	lastSeen time.Time
}

// directory holds the known instances of all data centres.
type directory map[model.InstanceID]directoryEntry

// update applies a new instance list and removes expired entries.
func (d directory) update(now time.Time, list []*pb.ListedInstance) {
	for id, e := range d {
		e.inList = false
		d[id] = e
	}
	for _, l := range list {
		packetAddress, err := netip.ParseAddrPort(l.GetPacketAddress())
		if err != nil {
			continue
		}
		d[model.InstanceID(l.GetInstance())] = directoryEntry{model.DataCentre(l.GetDataCentre()), l.GetPeerAddress(), packetAddress, l.GetOperatorAddress(), l.GetLeaving(), true, now}
	}
	for id, e := range d {
		if now.Sub(e.lastSeen) > directoryEntryTTL {
			delete(d, id)
		}
	}
}

// recordPeerAddress stores the peer address that an instance announced in a
// heartbeat.
func (d directory) recordPeerAddress(now time.Time, id model.InstanceID, dc model.DataCentre, address string) {
	e := d[id]
	e.dataCentre, e.peerAddress, e.lastSeen = dc, address, now
	d[id] = e
}

func (d directory) peerAddress(id model.InstanceID) (string, bool) {
	e, ok := d[id]
	return e.peerAddress, ok
}

// relayTarget returns the packet address of an instance of a data centre.
// Successive values of turn select different instances, so that copies of a
// packet reach different instances, as they do through the fabric: an instance
// may be dead and still listed.
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

// otherDataCentres returns the data centres other than dc, sorted.
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
