package entry

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Metrics returns the registry of the latency histograms.
func (c *Core) Metrics() metrics.Registry {
	return c.metrics
}

// ServersToPoll returns the servers whose health endpoint this instance polls:
// those of which it is the admitter, so that each server is polled by one instance
// only. The other instances get the result through the server reports in its
// heartbeats.
func (c *Core) ServersToPoll() []*model.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil {
		return nil
	}
	var out []*model.BackendServer
	for id, s := range c.catalog.Servers {
		if s.DataCentre == c.cfg.DataCentre && s.Health != "" && c.state.Admitter(id) == c.cfg.Self {
			out = append(out, s)
		}
	}
	return out
}

// Status returns the state of the instances, servers and data centres as known to
// this instance.
func (c *Core) Status(now time.Time) *pb.StatusResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &pb.StatusResponse{
		Instance:      string(c.cfg.Self),
		DataCentre:    string(c.cfg.DataCentre),
		ConfigVersion: c.replica.Current().Version,
		Generation:    c.state.Version.Generation,
		Publisher:     string(c.state.Version.Publisher),
		Instances:     c.instanceStatus(now),
		Servers:       c.serverStatus(now),
		Counters:      c.counts.values(),
	}
	if c.catalog != nil {
		s.DataCentres = append(s.DataCentres, c.ownSummary(now))
	}
	for _, other := range c.summaries {
		s.DataCentres = append(s.DataCentres, c.summaryForStatus(now, other))
	}
	sort.Slice(s.DataCentres, func(i, j int) bool { return s.DataCentres[i].DataCentre < s.DataCentres[j].DataCentre })
	return s
}

// summaryTimeout is the age of the latest summary from which a data centre
// counts as unreachable.
const summaryTimeout = 3 * time.Second

// summaryForStatus returns the latest summary of a data centre. The summary of an
// unreachable data centre is returned without live instances.
func (c *Core) summaryForStatus(now time.Time, s *receivedSummary) *pb.DataCentreSummary {
	if now.Sub(s.receivedAt) < summaryTimeout {
		return s.message
	}
	return &pb.DataCentreSummary{DataCentre: s.message.GetDataCentre(), ConfigVersion: s.message.GetConfigVersion(), InForceVersion: s.message.GetInForceVersion(), SentMs: s.message.GetSentMs()}
}

func (c *Core) instanceStatus(now time.Time) []*pb.InstanceStatus {
	reported := map[model.InstanceID]*pb.InstanceStatus{}
	for _, m := range c.members.MemberStatuses(now) {
		reported[m.Instance] = &pb.InstanceStatus{ConfigVersion: m.ConfigVersion, Generation: m.AppliedVersion.Generation, UptimeS: uint32(m.Uptime / time.Second)}
	}
	var out []*pb.InstanceStatus
	for _, m := range c.state.Members {
		s := reported[m.Instance]
		if s == nil {
			s = &pb.InstanceStatus{}
		}
		s.Instance, s.State = string(m.Instance), m.State
		if at, ok := c.lastHeard[m.Instance]; ok {
			s.LastHeardMs = uint64(max(0, now.Sub(at).Milliseconds()))
		}
		if m.Instance == c.cfg.Self {
			s.ConfigVersion, s.Generation = c.replica.Current().Version, c.state.Version.Generation
			s.UptimeS = uint32(now.Sub(c.cfg.Started) / time.Second)
		}
		out = append(out, s)
	}
	return out
}

func (c *Core) serverStatus(now time.Time) []*pb.ServerStatus {
	if c.catalog == nil {
		return nil
	}
	var out []*pb.ServerStatus
	for id, server := range c.catalog.Servers {
		if server.DataCentre != c.cfg.DataCentre {
			continue
		}
		grants := c.admitter.Status(now, id)
		out = append(out, &pb.ServerStatus{
			Service:      c.catalog.Services[server.Service].Name,
			Server:       server.Name,
			Condition:    c.health.Condition(id),
			OpenFlows:    max(0, c.mergedReports.OpenFlows(id)),
			BusySlots:    uint32(grants.Outstanding),
			AllowedSlots: uint32(grants.Allowed),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Server < out[j].Server
	})
	return out
}

// Burn returns the burn rates of the service-level objectives, as counted by this
// instance.
func (c *Core) Burn(now time.Time) *pb.BurnResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil {
		return &pb.BurnResponse{}
	}
	return &pb.BurnResponse{Lines: c.burn.Report(now, c.catalog, c.cfg.DataCentre)}
}

// Explain describes how a caller, an address or a flow is routed, and lists the
// journal entries that contain the subject. subject is a caller name, an IP
// address, a service address or "caller-ip:port service-ip:port".
func (c *Core) Explain(now time.Time, subject string) *pb.ExplainResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := &pb.ExplainResponse{}
	for _, e := range c.journal.Entries(subject) {
		response.Journal = append(response.Journal, e.Proto())
	}
	if c.catalog == nil {
		response.Lines = []string{"this instance has no configuration yet; openings are refused with INSTANCE_NOT_READY"}
		return response
	}
	response.Lines = c.explainLines(now, subject)
	return response
}

func (c *Core) explainLines(now time.Time, subject string) []string {
	if caller, service, ok := strings.Cut(subject, " "); ok {
		return c.explainFlow(now, caller, service)
	}
	if caller := c.catalog.Callers[subject]; caller != nil {
		return c.explainCaller(caller)
	}
	if service, err := netip.ParseAddrPort(subject); err == nil {
		return c.explainAddress(service)
	}
	if addr, err := netip.ParseAddr(subject); err == nil {
		caller := c.catalog.CallerOf(addr)
		if caller == nil {
			return []string{fmt.Sprintf("no caller has a prefix that contains %s; openings from it are refused with NOT_IN_PLAN", addr)}
		}
		return c.explainCaller(caller)
	}
	return []string{fmt.Sprintf("%q is not a caller, an address or a flow; a flow is written \"caller-ip:port service-ip:port\"", subject)}
}

func (c *Core) explainCaller(caller *model.Caller) []string {
	lines := []string{fmt.Sprintf("caller %s is on plan %s with prefixes %v", caller.Name, caller.Plan.Name, caller.Prefixes)}
	for id, use := range caller.Plan.Uses {
		if service := c.catalog.Services[id]; service != nil {
			lines = append(lines, fmt.Sprintf("plan %s allows %s: %s", caller.Plan.Name, service.Name, formatUse(use)))
		}
	}
	sort.Strings(lines[1:])
	return lines
}

func formatUse(u model.PlanUse) string {
	return fmt.Sprintf("openings %s, requests %s, flows %s, running requests %s, highest priority %d",
		formatLimit(u.OpeningsPerSecond, "/s"), formatLimit(u.RequestsPerSecond, "/s"), formatLimit(u.ConcurrentFlows, ""), formatLimit(u.ConcurrentRequests, ""), u.Priority)
}

func formatLimit(n int, unit string) string {
	if n == 0 {
		return "unlimited"
	}
	return fmt.Sprintf("%d%s", n, unit)
}

func (c *Core) explainAddress(address netip.AddrPort) []string {
	site := c.catalog.Sites[address]
	if site == nil {
		return []string{fmt.Sprintf("no service has the address %s; openings to it are refused with NO_SERVER", address)}
	}
	state := "in service"
	if c.catalog.DataCentres[site.DataCentre].Out {
		state = "out of service; openings are refused with DATA_CENTRE_OUT"
	}
	lines := []string{fmt.Sprintf("address %s belongs to service %s in data centre %s, which is %s", address, site.Service.Name, site.DataCentre, state)}
	if site.DataCentre != c.cfg.DataCentre {
		return append(lines, "this instance relays its packets to an instance of that data centre")
	}
	return lines
}

func (c *Core) explainFlow(now time.Time, callerText, serviceText string) []string {
	callerAddress, err1 := netip.ParseAddrPort(callerText)
	serviceAddress, err2 := netip.ParseAddrPort(serviceText)
	if err1 != nil || err2 != nil {
		return []string{"a flow is written \"caller-ip:port service-ip:port\""}
	}
	lines := c.explainAddress(serviceAddress)
	site := c.catalog.Sites[serviceAddress]
	if site == nil || site.DataCentre != c.cfg.DataCentre {
		return lines
	}
	matchedCaller := c.catalog.CallerOf(callerAddress.Addr())
	if _, ok := c.catalog.AllowedUse(matchedCaller, site.Service.ID); !ok {
		return append(lines, fmt.Sprintf("address %s has no plan that allows %s; its packets are refused with NOT_IN_PLAN", callerAddress.Addr(), site.Service.Name))
	}
	lines = append(lines, fmt.Sprintf("caller %s is on plan %s, which allows %s", matchedCaller.Name, matchedCaller.Plan.Name, site.Service.Name))
	return append(lines, "packets of an open flow go to the server that their token names; "+c.explainOpening(now, site.Service.ID, model.FlowKey{Caller: callerAddress, Service: serviceAddress}.Hash()))
}

// explainOpening describes where an opening of the flow would go now.
func (c *Core) explainOpening(now time.Time, service model.ServiceID, flow model.FlowHash) string {
	if c.members.Fenced(now) {
		return "this instance has no lease; openings are refused with INSTANCE_NOT_READY"
	}
	server, ok := c.steering.Preview(now, service, flow, c.health)
	if !ok {
		return "no server of the service takes new flows; openings are refused with NO_SERVER"
	}
	return "an opening would go to server " + c.serverName(server)
}

// State returns the published state that this instance has applied.
func (c *Core) State() *dcstate.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
