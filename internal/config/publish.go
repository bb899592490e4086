package config

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// owners maps each service and server address to <service>@<data centre>.
func owners(items lists.Items) map[string]string {
	m := map[string]string{}
	for k, v := range items {
		if address, owner := ownership(k, v); address != "" {
			m[address] = owner
		}
	}
	return m
}

// ownership returns the address that an item holds and the item's owner. The
// address is in canonical form, because two spellings are one address.
func ownership(k lists.Key, v proto.Message) (address, owner string) {
	e, ok := v.(*pb.ServiceEntry)
	if !ok || len(e.GetSites()) != 1 {
		return "", ""
	}
	site := e.GetSites()[0]
	address = site.GetAddress()
	if k.Kind == lists.KindServer {
		address = site.GetServers()[0].GetAddress()
	}
	if a, err := lists.ParseAddress(address); err == nil {
		address = a.String()
	}
	return address, e.GetName() + "@" + site.GetDataCentre()
}

// blockedAddresses returns the addresses of next that cannot be published yet:
// each belongs to another owner in the current version, or was released by
// another owner in a version that is not known to be in force. awaited is the
// highest such version.
func blockedAddresses(current, next lists.Items, released []*pb.ReleasedAddress, inForce uint64) (blocked map[string]bool, awaited uint64) {
	blocked = map[string]bool{}
	before, after := owners(current), owners(next)
	for address, owner := range after {
		if old, ok := before[address]; ok && old != owner {
			blocked[address] = true
		}
	}
	for _, r := range released {
		owner, ok := after[r.GetAddress()]
		if ok && owner != r.GetOwner() && before[r.GetAddress()] != owner && r.GetVersion() > inForce {
			blocked[r.GetAddress()] = true
			awaited = max(awaited, r.GetVersion())
		}
	}
	return blocked, awaited
}

// stepOne returns next without its blocked addresses. A site whose new address
// is blocked keeps its former one when that is free; else it is left out with
// its servers.
func stepOne(current, next lists.Items, blocked map[string]bool) lists.Items {
	out, taken := maps.Clone(next), owners(next)
	for _, k := range next.Keys() {
		address, _ := ownership(k, next[k])
		if !blocked[address] || address == "" {
			continue
		}
		delete(out, k)
		if k.Kind != lists.KindSite {
			continue
		}
		former, owner := ownership(k, current[k])
		if _, used := taken[former]; former != "" && !used && !blocked[former] {
			out[k], taken[former] = current[k], owner
			continue
		}
		maps.DeleteFunc(out, func(o lists.Key, v proto.Message) bool {
			return o.Kind == lists.KindServer && o.Name == k.Name &&
				v.(*pb.ServiceEntry).GetSites()[0].GetDataCentre() == k.Sub
		})
	}
	return out
}

// releases returns the releases that the next version has to remember.
func releases(current, next lists.Items, released []*pb.ReleasedAddress, inForce, version uint64) []*pb.ReleasedAddress {
	before, after := owners(current), owners(next)
	keep := map[string]*pb.ReleasedAddress{}
	for _, r := range released {
		if _, owned := after[r.GetAddress()]; !owned && r.GetVersion() > inForce {
			keep[r.GetAddress()] = r
		}
	}
	for address, owner := range before {
		if after[address] != owner {
			keep[address] = &pb.ReleasedAddress{Address: address, Owner: owner, Version: version}
		}
	}
	return slices.SortedFunc(maps.Values(keep), func(a, b *pb.ReleasedAddress) int {
		return strings.Compare(a.GetAddress(), b.GetAddress())
	})
}
