package entry

import (
	"fmt"
	"net/netip"
	"time"

	"cuminshift/internal/config"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/rendezvous"
	"cuminshift/internal/serverhealth"
)

// ShouldWatchStore reports whether this instance should watch the store. Only a
// few instances of each data centre do so, the store watchers, and those that have
// no configuration yet.
func (c *Core) ShouldWatchStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Current().Version == 0 || c.replica.WatchesStore()
}

// MissingShards returns the hashes of the shards that the core still needs for a
// newer root, the store's object that lists the shards of a configuration version.
func (c *Core) MissingShards() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.MissingShards()
}

// Shard returns the content of a configuration shard, if the core has it.
func (c *Core) Shard(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Shard(hash)
}

// Configuration returns the configuration that this instance holds.
func (c *Core) Configuration() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Current()
}

// Lists returns the lists and marks of the configuration that this instance
// holds.
func (c *Core) Lists() lists.Content {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Content()
}

// InForceVersion returns the newest configuration version that all live instances
// hold, in this data centre and in those from which summaries still arrive.
func (c *Core) InForceVersion(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.ownSummary(now).GetInForceVersion()
	for _, s := range c.summaries {
		if now.Sub(s.receivedAt) < summaryTimeout {
			version = min(version, s.message.GetInForceVersion())
		}
	}
	return version
}

// applyConfig sends the messages of the replica, records a new configuration
// problem, and applies the replica's version if it has changed. source is a free
// text for the journal on where the version comes from.
func (c *Core) applyConfig(now time.Time, changed bool, messages []peer.Message, source string) {
	c.postAll(messages)
	if problem := c.replica.LastError(); problem != nil && problem != c.lastConfigProblem {
		c.journal.Add(now, "config", "configuration not applied", problem.Error())
	}
	c.lastConfigProblem = c.replica.LastError()
	if changed {
		c.setCatalog(now, c.replica.Current().Catalog, source)
	}
}

// setCatalog puts a catalog into use on this instance. source is a free text for
// the journal on where the catalog comes from.
func (c *Core) setCatalog(now time.Time, catalog *model.Catalog, source string) {
	old := c.catalog
	c.catalog = catalog
	c.journal.Add(now, "config", fmt.Sprintf("version %d applied", catalog.Version), source)
	isOut := catalog.DataCentres[c.cfg.DataCentre].Out
	localServers := map[model.ServerID]*model.BackendServer{}
	byAddress := map[netip.AddrPort]*model.BackendServer{}
	for id, s := range catalog.Servers {
		if s.DataCentre == c.cfg.DataCentre {
			localServers[id] = s
			byAddress[s.Address] = s
		}
	}
	c.forwarding.Store(&forwardingTable{catalog: catalog, dataCentreOut: isOut, serversByAddress: byAddress})
	c.recordRemovedServers(now, old, catalog)
	c.steering.SetServers(now, catalog.Version, localServers)
	c.health.SetServers(now, localServers)
	c.postAll(c.admitter.SetServers(now, localServers))
	wasOut := old != nil && old.DataCentres[c.cfg.DataCentre].Out
	if wasOut && !isOut {
		c.returnToService(now)
	}
	if isOut && !wasOut {
		c.journal.Add(now, "config", "data centre out of service", "marked by an operator")
	}
}

// recordRemovedServers remembers the servers that the next catalog no longer
// contains, so that packets of their flows are refused at once.
func (c *Core) recordRemovedServers(now time.Time, old, next *model.Catalog) {
	if old != nil {
		for id := range old.Servers {
			if next.Servers[id] == nil {
				c.removedServers[id] = now
			}
		}
	}
	for id := range c.removedServers {
		if next.Servers[id] != nil {
			delete(c.removedServers, id)
		}
	}
}

// returnToService marks every server of the data centre as cold, so that the
// load ramps up when the data centre returns to service.
func (c *Core) returnToService(now time.Time) {
	c.journal.Add(now, "config", "data centre back in service", "marked by an operator")
	for id, s := range c.catalog.Servers {
		if s.DataCentre == c.cfg.DataCentre {
			c.health.MarkCold(now, id)
			c.postAll(c.admitter.Observe(now, id, serverhealth.Cold))
		}
	}
}

// observePeerVersion passes the configuration version of another instance to the
// replica, which may then fetch it.
func (c *Core) observePeerVersion(now time.Time, from model.InstanceID, version uint64) {
	if from != c.cfg.Self {
		c.postAll(c.replica.ObservePeerVersion(now, from, version))
	}
}

// receivedSummary is the latest summary of another data centre.
type receivedSummary struct {
	receivedAt time.Time
	message    *pb.DataCentreSummary
}

// sendSummaries sends the summary of this data centre to the other data
// centres. Only the publisher does so, one instance in each data centre.
func (c *Core) sendSummaries(now time.Time) {
	if !c.members.Publishing(now) || c.catalog == nil {
		return
	}
	own := c.ownSummary(now)
	for _, dc := range c.directory.otherDataCentres(c.cfg.DataCentre) {
		ids := c.directory.instancesIn(dc)
		for _, to := range rendezvous.TopN(rendezvous.NewKey("summary", 0), ids, summaryRecipients) {
			c.post(peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_Summary{Summary: own}}})
		}
	}
}

func (c *Core) ownSummary(now time.Time) *pb.DataCentreSummary {
	s := &pb.DataCentreSummary{
		DataCentre:     string(c.cfg.DataCentre),
		ConfigVersion:  c.replica.Current().Version,
		InForceVersion: c.replica.Current().Version,
		SentMs:         uint64(now.UnixMilli()),
	}
	for _, m := range c.members.MemberStatuses(now) {
		s.LiveInstances++
		version := m.ConfigVersion
		if m.Instance == c.cfg.Self {
			version = c.replica.Current().Version
		}
		if version < s.ConfigVersion {
			s.Lagging = append(s.Lagging, string(m.Instance))
		}
		s.InForceVersion = min(s.InForceVersion, version)
	}
	return s
}

// handleSummary stores the summary of another data centre unless a newer one
// has arrived before.
func (c *Core) handleSummary(now time.Time, from model.InstanceID, s *pb.DataCentreSummary) {
	dc := model.DataCentre(s.GetDataCentre())
	if dc == c.cfg.DataCentre {
		return
	}
	last := c.summaries[dc]
	if last != nil && s.GetSentMs() < last.message.GetSentMs() {
		return
	}
	c.summaries[dc] = &receivedSummary{now, s}
	c.observePeerVersion(now, from, s.GetConfigVersion())
}

// handleInstanceList updates the directory with the platform's instance list,
// and the membership with the instances of this data centre.
func (c *Core) handleInstanceList(now time.Time, list []*pb.ListedInstance) {
	c.directory.update(now, list)
	var members []membership.InstanceListEntry
	for _, l := range list {
		if model.DataCentre(l.GetDataCentre()) == c.cfg.DataCentre {
			members = append(members, membership.InstanceListEntry{Instance: model.InstanceID(l.GetInstance()), Leaving: l.GetLeaving()})
		}
	}
	c.members.SetInstanceList(now, members)
}
