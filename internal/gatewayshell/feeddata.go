package gatewayshell

import (
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/feed"
	"cuminshift/internal/gateway"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/registry"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

// feedData is the data of a response: the changes of each source and their ages.
type feedData struct {
	updates [source.NumKinds]source.Update
	ages    [source.NumKinds]time.Duration
}

// decodeResponse decodes the data of a response. With ErrBaseMismatch, the ages are
// valid and the updates are not.
func (sh *Shell) decodeResponse(response *pb.FeedResponse) (feedData, error) {
	var data feedData
	if len(response.AgesMs) != source.NumKinds {
		return data, errors.Newf("feed: response has %d ages", len(response.AgesMs))
	}
	eras := sh.responseEras(response)
	for k, p := range sh.core.Positions() {
		data.updates[k].Position.Era = eras[k]
		data.ages[k] = time.Duration(response.AgesMs[k]) * time.Millisecond
		if eras[k] < p.Era {
			data.ages[k] = outdatedAge
		}
	}
	for _, m := range response.Updates {
		k, u, err := feed.Decode(m, sh.core.Configuration())
		if err != nil {
			return data, err
		}
		data.updates[k] = u
	}
	return data, nil
}

// applyFeedData passes the data to the core.
func (sh *Shell) applyFeedData(now time.Time, data *feedData) {
	for k := range source.Kind(source.NumKinds) {
		sh.handleEvent(gateway.SourceUpdated{Kind: k, Update: data.updates[k], AsOf: now.Add(-data.ages[k])})
		sh.era.observe(data.updates[k].Position.Era)
	}
}

// outdatedAge is the age of data from before the store was restored. It exceeds the
// maximum age of passed-on data of any source, so that the store is called.
const outdatedAge = time.Hour

// responseEras returns the era up to which the answering instance knows each source.
func (sh *Shell) responseEras(response *pb.FeedResponse) [source.NumKinds]source.Era {
	var eras [source.NumKinds]source.Era
	for k, p := range sh.core.Positions() {
		eras[k] = p.Era
		if len(response.Eras) == source.NumKinds {
			eras[k] = source.Era(response.Eras[k])
		}
	}
	return eras
}

func (sh *Shell) applyDeparted(instance upstream.Instance, servers []*pb.FeedServer) {
	if entries := sh.decodeServers(instance, servers); len(entries) > 0 {
		sh.handleEvent(gateway.DepartedServers{Entries: entries})
	}
}

// applyLost applies what the other instance knows and the restored store has lost.
func (sh *Shell) applyLost(instance upstream.Instance, response *pb.FeedResponse) {
	lost := gateway.LostChanges{Servers: sh.decodeServers(instance, response.LostServers), DataCentres: feed.DecodeDataCentres(response.LostDataCentres)}
	if len(lost.Servers)+len(lost.DataCentres) > 0 {
		sh.handleEvent(lost)
	}
}

// lostChanges returns the number of changes that the store has lost and this instance
// knows.
func (sh *Shell) lostChanges() int {
	lost := sh.core.LostChanges(time.Now())
	return len(lost.Servers) + len(lost.DataCentres)
}

// decodeServers returns the valid entries of messages.
func (sh *Shell) decodeServers(instance upstream.Instance, servers []*pb.FeedServer) []registry.Entry {
	var entries []registry.Entry
	for _, s := range servers {
		e, err := feed.DecodeServer(s)
		if err != nil {
			sh.log.upstreamFailed(instance, err)
			continue
		}
		entries = append(entries, e)
	}
	return entries
}
