package config

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// addressOwners returns the addresses that the changed items held and will hold, with
// their owner <service>@<data centre>. An address that moves is in both: each
// address has one owner, so the former one has changed too.
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

// addressAndOwner returns the address that an item holds and the item's owner. The
// address is in canonical form, because two spellings are one address.
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

// blockedAddresses returns the addresses that the changes cannot give to their
// new owner yet: each belongs to another owner in the current version, or was
// released by another owner in a version that is not known to be in force.
// awaited is the highest such version.
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

// stepOneChanges returns the changes without the blocked addresses. A site whose new
// address is blocked keeps its former one when that is free; else it is left
// out with its servers, which are found in next, the content after all changes.
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

// omitServers turns the changes so that the site has no servers.
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

// unconfirmedReleases returns the unconfirmedReleases that the next version has to remember.
func unconfirmedReleases(changes []lists.Change, released []*pb.ReleasedAddress, inForce, version uint64) []*pb.ReleasedAddress {
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
