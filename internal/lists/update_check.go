package lists

import (
	"fmt"
	"net/netip"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// check returns the findings in the changed entries, both on their own and in
// combination with the unchanged ones.
func (u *updater) check() findings.Findings {
	items := make(Items, len(u.changes))
	for _, c := range u.changes {
		if c.To != nil {
			items[c.Key] = c.To
		}
	}
	content := Unflatten(items)
	for _, s := range content.Plans.GetServices() {
		u.completeSites(s)
	}
	c := newChecker(CallerFile{List: content.Callers}, PlanFile{List: content.Plans}, content.Marks)
	c.checkServices()
	for _, s := range u.next.Services {
		c.serviceNames[s.Name] = true
	}
	c.checkPlans()
	for name := range u.next.Plans {
		c.planNames[name] = true
	}
	c.checkCallers()
	c.checkMarks()
	u.checkRemovedReferences()
	u.checkAddresses(c)
	u.checkPrefixes(content.Callers)
	return append(u.found, c.found...)
}

// completeSites sets the missing site addresses of a partial service, which
// checkServices requires.
func (u *updater) completeSites(e *pb.ServiceEntry) {
	s := u.next.Services[model.NewServiceID(e.GetName())]
	if s == nil {
		return
	}
	for _, part := range e.GetSites() {
		if site := s.SiteOf(model.DataCentre(part.GetDataCentre())); site != nil && part.GetAddress() == "" {
			part.Address = site.Address.String()
		}
	}
}

// checkRemovedReferences reports removed plans and services that entries of the
// next catalog still refer to.
func (u *updater) checkRemovedReferences() {
	u.forEachOfKind(KindPlan, func(c Change) {
		if c.To != nil {
			return
		}
		for _, caller := range u.next.Callers {
			if caller.Plan == nil {
				u.report(c, "plan is removed but caller %q refers to it", caller.Name)
				return
			}
		}
	})
	u.forEachOfKind(KindService, func(c Change) {
		id := model.NewServiceID(c.Key.Name)
		for _, plan := range u.next.Plans {
			if _, ok := plan.Uses[id]; ok && c.To == nil {
				u.report(c, "service is removed but plan %q refers to it", plan.Name)
			}
		}
	})
}

// checkAddresses reports addresses of the changed entries, as collected by the
// checker, that more than one server or site of the next catalog has.
func (u *updater) checkAddresses(c *checker) {
	if len(c.addresses) == 0 && len(c.healthAddresses) == 0 {
		return
	}
	addressCount, healthCount := map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
	for _, b := range u.next.Servers {
		if _, ok := c.addresses[b.Address]; ok {
			addressCount[b.Address]++
		}
		if len(c.healthAddresses) == 0 || b.Health == "" {
			continue
		}
		if a, err := netip.ParseAddrPort(b.Health); err == nil && c.healthAddresses[a] != "" {
			healthCount[a]++
		}
	}
	for address := range u.next.Sites {
		if _, ok := c.addresses[address]; ok {
			addressCount[address]++
		}
	}
	for _, counts := range []map[netip.AddrPort]int{addressCount, healthCount} {
		for address, n := range counts {
			if n > 1 {
				u.found = append(u.found, findings.Finding{File: "update", Path: address.String(), Message: "address is used more than once"})
			}
		}
	}
}

// checkPrefixes reports prefixes of the changed callers that overlap those of
// any other caller.
func (u *updater) checkPrefixes(changed *pb.CallerList) {
	type changedPrefix struct {
		prefix netip.Prefix
		caller string
	}
	var prefixes []changedPrefix
	for _, e := range changed.GetCallers() {
		for _, text := range e.GetPrefixes() {
			if p, err := ParsePrefix(text); err == nil {
				prefixes = append(prefixes, changedPrefix{p, e.GetName()})
			}
		}
	}
	if len(prefixes) == 0 {
		return
	}
	for name, caller := range u.next.Callers {
		for _, p := range caller.Prefixes {
			for _, o := range prefixes {
				if o.caller != name && o.prefix.Overlaps(p) {
					u.found = append(u.found, findings.Finding{File: "update", Path: "caller " + o.caller,
						Message: fmt.Sprintf("prefix %s overlaps %s of caller %q", o.prefix, p, name)})
				}
			}
		}
	}
}
