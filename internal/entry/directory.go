package entry

import (
	"net/netip"
	"sort"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rendezvous"
)

// listed is what the instance list says of an instance.
type listed struct {
	dataCentre model.DataCentre
	peer       string
	packets    netip.AddrPort
	operator   string
	leaving    bool
}

// directory holds the addresses of instances. An instance that left the list
// stays known until the next read, because the list lags.
type directory map[model.InstanceID]listed

// update replaces the directory by the list, and returns the list's instances
// of a data centre in order.
func (d directory) update(list []*pb.ListedInstance, dc model.DataCentre) []model.InstanceID {
	clear(d)
	var local []model.InstanceID
	for _, l := range list {
		packets, err := netip.ParseAddrPort(l.GetPacketAddress())
		if err != nil {
			continue
		}
		id := model.InstanceID(l.GetInstance())
		d[id] = listed{model.DataCentre(l.GetDataCentre()), l.GetPeerAddress(), packets, l.GetOperatorAddress(), l.GetLeaving()}
		if model.DataCentre(l.GetDataCentre()) == dc {
			local = append(local, id)
		}
	}
	sort.Slice(local, func(i, j int) bool { return local[i] < local[j] })
	return local
}

func (d directory) peerAddress(id model.InstanceID) (string, bool) {
	l, ok := d[id]
	return l.peer, ok
}

// relayTo returns the packet address of an instance of a data centre; a flow
// keeps its instance while the list is unchanged.
func (d directory) relayTo(dc model.DataCentre, flow model.FlowHash) (netip.AddrPort, bool) {
	ids := d.inDataCentre(dc)
	if len(ids) == 0 {
		return netip.AddrPort{}, false
	}
	best := rendezvous.Ranked(rendezvous.NewKey("relay", uint64(flow)), ids, 1)[0]
	return d[best].packets, true
}

// inDataCentre returns the instances of a data centre that are not leaving.
func (d directory) inDataCentre(dc model.DataCentre) []model.InstanceID {
	var ids []model.InstanceID
	for id, l := range d {
		if l.dataCentre == dc && !l.leaving {
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
