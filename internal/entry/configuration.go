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

// ReadsStore reports whether this instance should watch the store: it is a
// reader of its data centre, or knows no configuration.
func (c *Core) ReadsStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Current().Version == 0 || c.holder.WatchesStore()
}

// MissingShards returns the hashes of the shards that the core lacks of a
// newer root.
func (c *Core) MissingShards() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.MissingShards()
}

// Shard returns a configuration shard that the core holds.
func (c *Core) Shard(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Shard(hash)
}

// Configuration returns the version that this instance holds.
func (c *Core) Configuration() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Current()
}

// Lists returns the lists and marks of the version that this instance holds.
func (c *Core) Lists() lists.Content {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Content()
}

// InForce returns the newest version that is in force on all live instances
// of all data centres that this instance hears of.
func (c *Core) InForce(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.ownSummary(now).GetInForceVersion()
	for _, s := range c.summaries {
		if now.Sub(s.at) < summaryLost {
			version = min(version, s.message.GetInForceVersion())
		}
	}
	return version
}

// configTaken puts the holder's version in force when it has changed.
func (c *Core) configTaken(now time.Time, changed bool, messages []peer.Message, source string) {
	c.postAll(messages)
	if problem := c.holder.LastError(); problem != nil && problem != c.configProblem {
		c.journal.Add(now, "config", "configuration not taken", problem.Error())
	}
	c.configProblem = c.holder.LastError()
	if changed {
		c.setCatalog(now, c.holder.Current().Catalog, source)
	}
}

func (c *Core) setCatalog(now time.Time, catalog *model.Catalog, source string) {
	old := c.catalog
	c.catalog = catalog
	c.journal.Add(now, "config", fmt.Sprintf("version %d in force", catalog.Version), source)
	out := catalog.DataCentres[c.cfg.DataCentre].Out
	local := map[model.ServerID]*model.BackendServer{}
	byAddress := map[netip.AddrPort]*model.BackendServer{}
	for id, s := range catalog.Servers {
		if s.DataCentre == c.cfg.DataCentre {
			local[id] = s
			byAddress[s.Address] = s
		}
	}
	c.fast.Store(&snapshot{catalog: catalog, out: out, servers: byAddress})
	c.noteFormer(now, old, catalog)
	c.steering.SetServers(now, catalog.Version, local)
	c.health.SetServers(now, local)
	c.postAll(c.admitter.SetServers(now, local))
	wasOut := old != nil && old.DataCentres[c.cfg.DataCentre].Out
	if wasOut && !out {
		c.dataCentreBack(now)
	}
	if out && !wasOut {
		c.journal.Add(now, "config", "data centre out of service", "marked by an operator")
	}
}

// noteFormer remembers the servers that a configuration no longer has, so that
// packets of their flows are refused at once.
func (c *Core) noteFormer(now time.Time, old, next *model.Catalog) {
	if old != nil {
		for id := range old.Servers {
			if next.Servers[id] == nil {
				c.former[id] = now
			}
		}
	}
	for id := range c.former {
		if next.Servers[id] != nil {
			delete(c.former, id)
		}
	}
}

// dataCentreBack treats every server as cold, so that load returns by ramp.
func (c *Core) dataCentreBack(now time.Time) {
	c.journal.Add(now, "config", "data centre back in service", "marked by an operator")
	for id, s := range c.catalog.Servers {
		if s.DataCentre == c.cfg.DataCentre {
			c.health.SetCold(now, id)
			c.postAll(c.admitter.Observe(now, id, serverhealth.Cold))
		}
	}
}

func (c *Core) versionSeen(now time.Time, from model.InstanceID, version uint64) {
	if from != c.cfg.Self {
		c.postAll(c.holder.ObservePeerVersion(now, from, version))
	}
}

// summary is what another data centre last said of itself.
type summary struct {
	at      time.Time
	message *pb.DataCentreSummary
}

// sendSummaries is the publisher's duty: one instance per data centre speaks
// for it.
func (c *Core) sendSummaries(now time.Time) {
	if !c.members.Publishing(now) || c.catalog == nil {
		return
	}
	own := c.ownSummary(now)
	for _, dc := range c.directory.others(c.cfg.DataCentre) {
		ids := c.directory.inDataCentre(dc)
		for _, to := range rendezvous.Ranked(rendezvous.NewKey("summary", 0), ids, summaryRecipients) {
			c.post(peer.Message{To: to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_Summary{Summary: own}}})
		}
	}
}

func (c *Core) ownSummary(now time.Time) *pb.DataCentreSummary {
	s := &pb.DataCentreSummary{
		DataCentre:     string(c.cfg.DataCentre),
		ConfigVersion:  c.holder.Current().Version,
		InForceVersion: c.holder.Current().Version,
		SentMs:         uint64(now.UnixMilli()),
	}
	for _, m := range c.members.Confirmations(now) {
		s.LiveInstances++
		version := m.ConfigVersion
		if m.Instance == c.cfg.Self {
			version = c.holder.Current().Version
		}
		if version < s.ConfigVersion {
			s.Lagging = append(s.Lagging, string(m.Instance))
		}
		s.InForceVersion = min(s.InForceVersion, version)
	}
	return s
}

func (c *Core) summary(now time.Time, from model.InstanceID, s *pb.DataCentreSummary) {
	dc := model.DataCentre(s.GetDataCentre())
	if dc == c.cfg.DataCentre {
		return
	}
	last := c.summaries[dc]
	if last != nil && s.GetSentMs() < last.message.GetSentMs() {
		return
	}
	c.summaries[dc] = &summary{now, s}
	c.versionSeen(now, from, s.GetConfigVersion())
}

func (c *Core) instanceList(now time.Time, list []*pb.ListedInstance) {
	c.directory.update(now, list)
	var members []membership.Listed
	for _, l := range list {
		if model.DataCentre(l.GetDataCentre()) == c.cfg.DataCentre {
			members = append(members, membership.Listed{Instance: model.InstanceID(l.GetInstance()), Leaving: l.GetLeaving()})
		}
	}
	c.members.SetInstanceList(now, members)
}
