package config

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// addressOwners returns the addresses of the changed items before and after the
// changes, each with its owner in the form <service>@<data centre>. An address
// that moves between owners is in both results: an address has only one owner, so
// the item of the former owner has changed as well.
func addressOwners(changes []lists.Change) (before, after map[string]string) {
	before, after = map[string]string{}, map[string]string{}
	for _, c := range changes {
		if address, owner := addressAndOwner(c.Key, c.From); address != "" {
			before[address] = owner
		}
		if address, owner := addressAndOwner(c.Key, c.To); address != "" {
			after[address] = owner
		}
	}
	return before, after
}

// addressAndOwner returns the address of an item and its owner, or empty strings
// if the item has no address. The address is in canonical form, so that different
// spellings of one address compare equal.
func addressAndOwner(k lists.Key, v proto.Message) (address, owner string) {
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

// blockedAddresses returns the addresses that the changes must not give to their
// new owner yet. Such an address belongs to another owner in the current version,
// or was released by another owner in a version that is not known to be in force.
// awaited is the highest version of those releases, or 0 if there is none.
func blockedAddresses(changes []lists.Change, released []*pb.ReleasedAddress, inForce uint64) (blocked map[string]bool, awaited uint64) {
	blocked = map[string]bool{}
	before, after := addressOwners(changes)
	for address, owner := range after {
		if old, ok := before[address]; ok && old != owner {
			blocked[address] = true
		}
	}
	for _, r := range released {
		owner, ok := after[r.GetAddress()]
		if ok && owner != r.GetOwner() && r.GetVersion() > inForce {
			blocked[r.GetAddress()] = true
			awaited = max(awaited, r.GetVersion())
		}
	}
	return blocked, awaited
}

// stepOneChanges returns the changes of step one, in which no item gets a blocked
// address. A site whose new address is blocked keeps its former address if no
// other item takes that; otherwise step one omits the site and its servers. next
// is the content after all changes; the servers of an omitted site are taken from
// it.
func stepOneChanges(next lists.Items, changes []lists.Change, blocked map[string]bool) []lists.Change {
	_, taken := addressOwners(changes)
	out := make(map[lists.Key]lists.Change, len(changes))
	for _, c := range changes {
		out[c.Key] = c
	}
	for _, c := range changes {
		if address, _ := addressAndOwner(c.Key, c.To); !blocked[address] {
			continue
		}
		kept := lists.Change{Key: c.Key, From: c.From}
		former, _ := addressAndOwner(c.Key, c.From)
		if c.Key.Kind == lists.KindSite {
			if _, used := taken[former]; former != "" && !used {
				kept.To = c.From
			} else {
				omitServers(out, next, c.Key)
			}
		}
		out[c.Key] = kept
	}
	list := slices.Collect(maps.Values(out))
	list = slices.DeleteFunc(list, func(c lists.Change) bool { return equal(c.From, c.To) })
	slices.SortFunc(list, func(a, b lists.Change) int { return a.Key.Compare(b.Key) })
	return list
}

// omitServers adjusts the changes in out so that the site has no servers.
func omitServers(out map[lists.Key]lists.Change, next lists.Items, site lists.Key) {
	for k, v := range next {
		if k.Kind != lists.KindServer || k.Name != site.Name || v.(*pb.ServiceEntry).GetSites()[0].GetDataCentre() != site.Sub {
			continue
		}
		change, changed := out[k]
		if !changed {
			change = lists.Change{Key: k, From: v}
		}
		change.To = nil
		out[k] = change
	}
}

// pendingReleases returns the released addresses that the next version has to
// record: those that it releases itself, and the recorded ones that have no new
// owner and whose release is not known to be in force.
func pendingReleases(changes []lists.Change, released []*pb.ReleasedAddress, inForce, version uint64) []*pb.ReleasedAddress {
	before, after := addressOwners(changes)
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
