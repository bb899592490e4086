package lists

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/yamlsource"
)

const (
	// maxNameBytes limits names so that they fit metric labels and shard entries.
	maxNameBytes = 63
	// maxPrefixesPerCaller keeps the entry of a caller (up to 45 bytes per
	// prefix) below half of the store's value limit of 1 MB.
	maxPrefixesPerCaller = 10_000
	// maxRate is per second. For comparison, all instances together are planned
	// to open 720,000 flows/s in two years.
	maxRate = 10_000_000
	// maxConcurrent is above the 470 million open flows planned in two years.
	maxConcurrent = 1_000_000_000
	// maxSlots and maxConnections are per server and far above the 3 slots and
	// 2,000 connections of existing servers.
	maxSlots       = 100_000
	maxConnections = 10_000_000
	// maxPriority is the numerically highest, that is, the lowest priority of a plan.
	maxPriority = 255
	// maxLateMS is one hour; the deadlines of requests are a few seconds.
	maxLateMS = 3_600_000
	ppmTotal  = 1_000_000
)

// checker collects the findings in one configuration.
type checker struct {
	callers CallerFile
	plans   PlanFile
	marks   *pb.Marks
	found   findings.Findings

	planNames    map[string]bool
	serviceNames map[string]bool
	// addresses and healthAddresses map each address to the text that names its
	// owner in findings.
	addresses       map[netip.AddrPort]string
	healthAddresses map[netip.AddrPort]string
	serverIDs       map[model.ServerID]string
	// hashServer and hashService are model.NewServerID and model.NewServiceID.
	// Tests replace hashServer to produce collisions.
	hashServer  func(service, server string) model.ServerID
	hashService func(name string) model.ServiceID
}

func newChecker(callers CallerFile, plans PlanFile, marks *pb.Marks) *checker {
	c := Content{callers.List, plans.List, marks}.withDefaults()
	callers.List, plans.List = c.Callers, c.Plans
	if callers.Source == nil {
		callers.Source = &yamlsource.Source{File: "callers"}
	}
	if plans.Source == nil {
		plans.Source = &yamlsource.Source{File: "plans"}
	}
	return &checker{
		callers: callers, plans: plans, marks: c.Marks,
		planNames: map[string]bool{}, serviceNames: map[string]bool{},
		addresses: map[netip.AddrPort]string{}, healthAddresses: map[netip.AddrPort]string{},
		serverIDs:  map[model.ServerID]string{},
		hashServer: model.NewServerID, hashService: model.NewServiceID,
	}
}

func (c *checker) reportInCallers(message string, path ...any) {
	c.found = append(c.found, c.callers.Source.FindingAt(message, path...))
}

func (c *checker) reportInPlans(message string, path ...any) {
	c.found = append(c.found, c.plans.Source.FindingAt(message, path...))
}

func (c *checker) reportInMarks(message string, path ...any) {
	c.found = append(c.found, (&yamlsource.Source{File: "marks"}).FindingAt(message, path...))
}

// checkAll runs the checks that every published version must pass.
func (c *checker) checkAll() {
	c.checkServices()
	c.checkPlans()
	c.checkCallers()
	c.checkMarks()
}

func (c *checker) checkServices() {
	ids := map[model.ServiceID]string{}
	for i, s := range c.plans.List.GetServices() {
		path := []any{"services", i}
		name := s.GetName()
		c.checkName(c.reportInPlans, "service", name, subPath(path, "name")...)
		if c.serviceNames[name] {
			c.reportInPlans(fmt.Sprintf("duplicate service %q", name), subPath(path, "name")...)
			continue
		}
		c.serviceNames[name] = true
		id := c.hashService(name)
		if other, ok := ids[id]; ok {
			c.reportInPlans(fmt.Sprintf("service %q has the same id hash as %q; rename one", name, other), subPath(path, "name")...)
		}
		ids[id] = name
		c.checkObjective(s.GetObjective(), subPath(path, "objective"))
		c.checkSites(s, path)
	}
}

func (c *checker) checkObjective(o *pb.Objective, path []any) {
	checkPPM := func(field string, v uint32) {
		if v > ppmTotal {
			c.reportInPlans(fmt.Sprintf("%s %d is above %d (100%%)", field, v, ppmTotal), subPath(path, field)...)
		}
	}
	checkPPM("broken_flows_ppm", o.GetBrokenFlowsPpm())
	checkPPM("refused_ppm", o.GetRefusedPpm())
	checkPPM("late_ppm", o.GetLatePpm())
	if o.GetLatePpm() > 0 && o.GetLateMs() == 0 {
		c.reportInPlans("late_ppm requires late_ms", subPath(path, "late_ppm")...)
	}
	if o.GetLateMs() > maxLateMS {
		c.reportInPlans(fmt.Sprintf("late_ms %d is above %d", o.GetLateMs(), maxLateMS), subPath(path, "late_ms")...)
	}
}

func (c *checker) checkSites(s *pb.ServiceEntry, path []any) {
	centres, servers := map[string]bool{}, map[string]bool{}
	for i, site := range s.GetSites() {
		path := subPath(path, "sites", i)
		dc := site.GetDataCentre()
		c.checkName(c.reportInPlans, "data centre", dc, subPath(path, "data_centre")...)
		if centres[dc] {
			c.reportInPlans(fmt.Sprintf("service %q has two sites in data centre %q", s.GetName(), dc), subPath(path, "data_centre")...)
		}
		centres[dc] = true
		c.claimAddress(c.addresses, site.GetAddress(), fmt.Sprintf("service %q in %s", s.GetName(), dc), subPath(path, "address"))
		for j, server := range site.GetServers() {
			path := subPath(path, "servers", j)
			if servers[server.GetName()] {
				c.reportInPlans(fmt.Sprintf("duplicate server %q in service %q", server.GetName(), s.GetName()), subPath(path, "name")...)
			} else {
				servers[server.GetName()] = true
				c.checkServerID(s.GetName(), server.GetName(), subPath(path, "name"))
			}
			c.checkServer(s.GetName(), server, path)
		}
	}
}

func (c *checker) checkServerID(service, server string, path []any) {
	id, name := c.hashServer(service, server), service+"/"+server
	if id == 0 {
		c.reportInPlans(fmt.Sprintf("server %q has the reserved id hash 0; rename it", name), path...)
		return
	}
	if other, ok := c.serverIDs[id]; ok {
		c.reportInPlans(fmt.Sprintf("server %q has the same id hash as %q; rename one", name, other), path...)
		return
	}
	c.serverIDs[id] = name
}

func (c *checker) checkServer(service string, s *pb.ServerEntry, path []any) {
	c.checkName(c.reportInPlans, "server", s.GetName(), subPath(path, "name")...)
	owner := fmt.Sprintf("server %q of service %q", s.GetName(), service)
	c.claimAddress(c.addresses, s.GetAddress(), owner, subPath(path, "address"))
	if s.GetHealth() != "" {
		c.claimAddress(c.healthAddresses, s.GetHealth(), owner, subPath(path, "health"))
	}
	c.checkRange("slots", s.GetSlots(), 1, maxSlots, path)
	c.checkRange("connections", s.GetConnections(), 1, maxConnections, path)
	c.checkRange("cold_slots", s.GetColdSlots(), 1, maxSlots, path)
	c.checkRange("cold_openings_per_second", s.GetColdOpeningsPerSecond(), 1, maxRate, path)
	if s.GetColdSlots() > s.GetSlots() {
		c.reportInPlans(fmt.Sprintf("cold_slots %d is above slots %d", s.GetColdSlots(), s.GetSlots()), subPath(path, "cold_slots")...)
	}
	if s.GetColdOpeningsPerSecond() > s.GetConnections() {
		c.reportInPlans(fmt.Sprintf("cold_openings_per_second %d is above connections %d",
			s.GetColdOpeningsPerSecond(), s.GetConnections()), subPath(path, "cold_openings_per_second")...)
	}
}

func (c *checker) checkRange(field string, v, lowest, highest uint32, path []any) {
	if v < lowest || v > highest {
		c.reportInPlans(fmt.Sprintf("%s %d is outside %d to %d", field, v, lowest, highest), subPath(path, field)...)
	}
}

// claimAddress parses an address and records its owner. It reports an address
// that is invalid or already in use.
func (c *checker) claimAddress(owners map[netip.AddrPort]string, text, owner string, path []any) {
	addr, err := ParseAddress(text)
	if err != nil {
		c.reportInPlans(err.Error(), path...)
		return
	}
	if other, ok := owners[addr]; ok {
		c.reportInPlans(fmt.Sprintf("address %s of %s is already used by %s", addr, owner, other), path...)
		return
	}
	owners[addr] = owner
}

func (c *checker) checkPlans() {
	for i, p := range c.plans.List.GetPlans() {
		path := []any{"plans", i}
		c.checkName(c.reportInPlans, "plan", p.GetName(), subPath(path, "name")...)
		if c.planNames[p.GetName()] {
			c.reportInPlans(fmt.Sprintf("duplicate plan %q", p.GetName()), subPath(path, "name")...)
		}
		c.planNames[p.GetName()] = true
		used := map[string]bool{}
		for j, u := range p.GetUses() {
			path := subPath(path, "uses", j)
			if !c.serviceNames[u.GetService()] {
				c.reportInPlans(fmt.Sprintf("plan %q refers to unknown service %q", p.GetName(), u.GetService()), subPath(path, "service")...)
			}
			if used[u.GetService()] {
				c.reportInPlans(fmt.Sprintf("plan %q lists service %q twice", p.GetName(), u.GetService()), subPath(path, "service")...)
			}
			used[u.GetService()] = true
			c.checkUse(u, path)
		}
	}
}

func (c *checker) checkUse(u *pb.PlanUse, path []any) {
	c.checkRange("openings_per_second", u.GetOpeningsPerSecond(), 0, maxRate, path)
	c.checkRange("requests_per_second", u.GetRequestsPerSecond(), 0, maxRate, path)
	c.checkRange("concurrent_flows", u.GetConcurrentFlows(), 0, maxConcurrent, path)
	c.checkRange("concurrent_requests", u.GetConcurrentRequests(), 0, maxConcurrent, path)
	c.checkRange("priority", u.GetPriority(), 0, maxPriority, path)
}

func (c *checker) checkCallers() {
	names := map[string]bool{}
	var prefixes []callerPrefix
	for i, e := range c.callers.List.GetCallers() {
		path := []any{"callers", i}
		c.checkName(c.reportInCallers, "caller", e.GetName(), subPath(path, "name")...)
		if names[e.GetName()] {
			c.reportInCallers(fmt.Sprintf("duplicate caller %q", e.GetName()), subPath(path, "name")...)
		}
		names[e.GetName()] = true
		if !c.planNames[e.GetPlan()] && !c.plans.Source.Malformed() {
			c.reportInCallers(fmt.Sprintf("caller %q refers to unknown plan %q", e.GetName(), e.GetPlan()), subPath(path, "plan")...)
		}
		switch n := len(e.GetPrefixes()); {
		case n == 0:
			c.reportInCallers(fmt.Sprintf("caller %q has no prefixes", e.GetName()), path...)
		case n > maxPrefixesPerCaller:
			c.reportInCallers(fmt.Sprintf("caller %q has %d prefixes; the maximum is %d", e.GetName(), n, maxPrefixesPerCaller), subPath(path, "prefixes")...)
		}
		for j, text := range e.GetPrefixes() {
			path := subPath(path, "prefixes", j)
			prefix, err := ParsePrefix(text)
			if err != nil {
				c.reportInCallers(err.Error(), path...)
				continue
			}
			prefixes = append(prefixes, callerPrefix{prefix, e.GetName(), i, j})
		}
	}
	c.checkOverlaps(prefixes)
}

// callerPrefix is a prefix and its position in the caller list: entry
// entryIndex, prefix prefixIndex.
type callerPrefix struct {
	prefix                  netip.Prefix
	caller                  string
	entryIndex, prefixIndex int
}

// checkOverlaps reports prefixes that overlap those of another caller and
// duplicate prefixes of one caller. It sorts the prefixes so that each follows
// those that contain it, and keeps the containing prefixes on a stack.
func (c *checker) checkOverlaps(prefixes []callerPrefix) {
	slices.SortStableFunc(prefixes, func(a, b callerPrefix) int {
		if n := a.prefix.Addr().Compare(b.prefix.Addr()); n != 0 {
			return n
		}
		return a.prefix.Bits() - b.prefix.Bits()
	})
	var stack []callerPrefix
	for _, p := range prefixes {
		for len(stack) > 0 && !stack[len(stack)-1].prefix.Overlaps(p.prefix) {
			stack = stack[:len(stack)-1]
		}
		if len(stack) > 0 {
			outer := stack[len(stack)-1]
			switch {
			case outer.entryIndex != p.entryIndex:
				c.reportInCallers(fmt.Sprintf("prefix %s of caller %q overlaps %s of caller %q",
					p.prefix, p.caller, outer.prefix, outer.caller), "callers", p.entryIndex, "prefixes", p.prefixIndex)
			case outer.prefix == p.prefix:
				c.reportInCallers(fmt.Sprintf("duplicate prefix %s of caller %q", p.prefix, p.caller), "callers", p.entryIndex, "prefixes", p.prefixIndex)
			}
		}
		stack = append(stack, p)
	}
}

func (c *checker) checkMarks() {
	check := func(kind, field string, names []string) {
		seen := map[string]bool{}
		for i, name := range names {
			c.checkName(c.reportInMarks, kind, name, field, i)
			if seen[name] {
				c.reportInMarks(fmt.Sprintf("%s %q is marked out twice", kind, name), field, i)
			}
			seen[name] = true
		}
	}
	check("data centre", "data_centres_out", c.marks.GetDataCentresOut())
	check("instance", "instances_out", c.marks.GetInstancesOut())
}

// checkMarkedDataCentres reports marks on data centres that no service has a
// site in. Such a mark has no effect, although the operator would assume that
// the data centre is out of service.
func (c *checker) checkMarkedDataCentres() {
	known := map[string]bool{}
	for _, s := range c.plans.List.GetServices() {
		for _, site := range s.GetSites() {
			known[site.GetDataCentre()] = true
		}
	}
	for i, dc := range c.marks.GetDataCentresOut() {
		if !known[dc] {
			c.reportInMarks(fmt.Sprintf("data centre %q has no site", dc), "data_centres_out", i)
		}
	}
}

func (c *checker) checkName(report func(string, ...any), kind, name string, path ...any) {
	if err := CheckName(name); err != nil {
		report(kind+" "+err.Error(), path...)
	}
}

// CheckName returns an error unless name consists of letters, digits and ". _ -".
// "/", "@" and space are not allowed because they are separators in server IDs, in
// owners of addresses and in the subjects of the command explain.
func CheckName(name string) error {
	switch {
	case name == "":
		return errors.New("name is missing")
	case len(name) > maxNameBytes:
		return fmt.Errorf("name %q is longer than %d bytes", name[:16]+"...", maxNameBytes)
	case strings.IndexFunc(name, isInvalidNameRune) >= 0:
		return fmt.Errorf("name %q contains characters other than letters, digits, '.', '_' and '-'", name)
	}
	return nil
}

func isInvalidNameRune(r rune) bool {
	return r == unicode.ReplacementChar || !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("._-", r)
}

// ParseAddress parses ip:port. It rejects addresses that no single process can
// own: unspecified and multicast addresses, addresses with a zone, IPv4-mapped
// IPv6 addresses and port 0.
func ParseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return a, fmt.Errorf("invalid address %q: want ip:port", text)
	case a.Addr().Is4In6():
		return a, fmt.Errorf("invalid address %q: write IPv4 addresses in IPv4 notation", text)
	case a.Addr().Zone() != "":
		return a, fmt.Errorf("invalid address %q: zones are not allowed", text)
	case a.Port() == 0:
		return a, fmt.Errorf("invalid address %q: port 0 is not allowed", text)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return a, fmt.Errorf("invalid address %q: unspecified and multicast addresses are not allowed", text)
	}
	return a, nil
}

// ParsePrefix parses an address prefix. It accepts only the canonical form,
// without host bits and not IPv4-mapped.
func ParsePrefix(text string) (netip.Prefix, error) {
	p, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		return p, fmt.Errorf("invalid prefix %q: want ip/bits", text)
	case p.Addr().Is4In6():
		return p, fmt.Errorf("invalid prefix %q: write IPv4 prefixes in IPv4 notation", text)
	case p != p.Masked():
		return p, fmt.Errorf("invalid prefix %q: host bits are set; the prefix that contains it is %s", text, p.Masked())
	}
	return p, nil
}

// subPath appends steps (field names and list indexes, see
// yamlsource.Source.FindingAt) to a path. The result does not share the backing
// array of path.
func subPath(path []any, steps ...any) []any {
	return append(slices.Clip(path), steps...)
}
