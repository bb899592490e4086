package gatewayshell

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/feed"
	"cuminshift/internal/gateway"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/registry"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

const (
	// directoryTimeout bounds the calls to the directory of one operation, which
	// reads the registrations page by page. Slow responses of the store take 300 ms.
	directoryTimeout = 5 * time.Second
	// readyPollInterval is the time between two checks whether the instance has
	// read all sources and is registered.
	readyPollInterval = 20 * time.Millisecond
	// registerRetryInterval is the pause after a failed registration.
	registerRetryInterval = time.Second
	// fleetCountInterval is the time between two counts of the registered
	// instances by an instance that follows no other.
	fleetCountInterval = 20 * time.Second
	// firstFleetCountDelay is the time before the first count. All instances of a
	// new fleet start within 0.3 s.
	firstFleetCountDelay = 2 * time.Second
	// renewalInterval is the mean time between the renewals of two instances after a
	// restoration of the store, which all of them notice at the same time.
	renewalInterval = 10 * time.Millisecond
	// noUpstreamPause is the pause when there is no instance to follow.
	noUpstreamPause = time.Second
)

// peerAddress returns the address of this instance's feed server.
func (sh *Shell) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(sh.settings.PacketAddress.Addr(), sh.settings.PeerPorts[0])
}

func (sh *Shell) listenPeer() (net.Listener, error) {
	l, err := net.Listen("tcp4", sh.peerAddress().String())
	return l, errors.Wrap(err, "gateway: listen for feed requests of other instances")
}

// followUpstream registers the instance and follows another one, if one precedes
// it. While the store does not answer, it follows a seed.
func (sh *Shell) followUpstream(ctx context.Context) {
	go sh.register(ctx)
	sh.awaitStore(ctx)
	sh.addSeeds()
	client := sh.newFeedClient()
	defer client.Close()
	nextCount := time.Now().Add(firstFleetCountDelay)
	for ctx.Err() == nil {
		now := time.Now()
		sh.upstreamMu.Lock()
		instance, ok := sh.upstream.Next(now)
		sh.upstreamMu.Unlock()
		if ok {
			sh.pollUpstream(ctx, client, instance)
			continue
		}
		sh.setFollowedInstance("")
		if sh.registered() {
			sh.decideUpstream()
			sh.loseUpstream()
		}
		if now.After(nextCount) && sh.registered() {
			nextCount = now.Add(fleetCountInterval)
			sh.countFleet(ctx)
		}
		pause := noUpstreamPause
		if !sh.registered() {
			pause = readyPollInterval
		}
		sleepUntil(ctx, now.Add(pause))
	}
}

// newFeedClient returns a client of other instances' feeds.
func (sh *Shell) newFeedClient() *rpcframe.Client {
	return &rpcframe.Client{DialTimeout: feedDialTimeout, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		return sh.feedBytes.Wrap(conn), nil
	}}
}

// awaitStore waits until the instance is registered or needs the seeds.
func (sh *Shell) awaitStore(ctx context.Context) {
	begin := time.Now()
	for !sh.registered() && !upstream.NeedsSeeds(time.Since(begin), sh.storeAnswered.Load(), sh.storeFailed.Load()) {
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return
		}
	}
}

// addSeeds adds the seeds of the settings as instances to follow, unless this
// instance is registered.
func (sh *Shell) addSeeds() {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	for _, ip := range sh.reloadable.Load().settings.SeedAddresses {
		sh.upstream.AddSeed(sh.peerAddress(), netip.AddrPortFrom(ip, sh.settings.PeerPorts[0]))
	}
}

// register registers the instance in the directory once it has read all sources,
// so that it has something to pass on. It retries until it succeeds or ctx ends.
func (sh *Shell) register(ctx context.Context) {
	for ctx.Err() == nil {
		if !sh.servesFeed() {
			sleepUntil(ctx, time.Now().Add(readyPollInterval))
			continue
		}
		err := sh.registerOnce(ctx, sh.ownRegistration())
		if err == nil {
			return
		}
		sh.log.warn("cannot register the instance, retrying", err)
		sleepUntil(ctx, time.Now().Add(registerRetryInterval))
	}
}

func (sh *Shell) registerOnce(ctx context.Context, self upstream.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	place, err := sh.reloadable.Load().directory.Register(ctx, self)
	if err != nil {
		return err
	}
	all, err := sh.registeredInstances(ctx)
	if err != nil {
		return err
	}
	self.Place = place
	sh.upstreamMu.Lock()
	sh.upstream.Register(self, all)
	sh.setFollowedInstance("") // a seed that was followed so far is not a candidate any more
	sh.upstreamMu.Unlock()
	sh.setFleetSize(len(all), rank(self, all))
	return nil
}

// registeredInstances returns the instances in the directory.
func (sh *Shell) registeredInstances(ctx context.Context) ([]upstream.Instance, error) {
	all, rejected, err := sh.reloadable.Load().directory.Instances(ctx)
	sh.log.rejected(rejected)
	return all, err
}

// renewRegistrations renews the registration after each restoration of the store, until
// ctx ends.
func (sh *Shell) renewRegistrations(ctx context.Context) {
	for previous := unknownEra; ; {
		select {
		case <-ctx.Done():
			return
		case <-sh.era.after(previous):
		}
		first := previous == unknownEra
		if previous = sh.era.current(); !first {
			sh.fleetMu.Lock()
			sh.fleet.StoreRestored(time.Now())
			sh.fleetMu.Unlock()
			sh.renewRegistration(ctx)
		}
	}
}

// renewRegistration registers the instance again if a restored store has lost its
// registration or holds an earlier one. It retries until it succeeds or ctx ends. The calls of a large fleet are spread over time.
func (sh *Shell) renewRegistration(ctx context.Context) {
	spread := time.Duration(sh.fleetSize.Load()) * renewalInterval
	if !sleepUntil(ctx, time.Now().Add(rand.N(spread+1))) {
		return
	}
	for ctx.Err() == nil {
		if !sh.registered() {
			sleepUntil(ctx, time.Now().Add(readyPollInterval))
			continue
		}
		err := sh.renewOnce(ctx)
		if err == nil {
			return
		}
		sh.log.warn("cannot check the registration of the instance, retrying", err)
		sleepUntil(ctx, time.Now().Add(registerRetryInterval))
	}
}

func (sh *Shell) renewOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	self := sh.ownRegistration()
	place, err := sh.reloadable.Load().directory.Place(callCtx, self.Name)
	if err != nil || place == self.Place {
		return err
	}
	sh.log.registrationLost()
	return sh.registerOnce(ctx, self)
}

// ownRegistration returns the registration of this instance, with its present place.
func (sh *Shell) ownRegistration() upstream.Instance {
	return upstream.Instance{Name: sh.settings.Instance, DataCentre: sh.settings.DataCentre, Address: sh.peerAddress(),
		Bandwidth: sh.settings.Bandwidth, Place: sh.ownPlace()}
}

func (sh *Shell) decideUpstream() {
	sh.upstreamDecidedOnce.Do(func() { close(sh.upstreamDecided) })
}

// rank returns the number of instances that registered before self.
func rank(self upstream.Instance, all []upstream.Instance) int {
	n := 0
	for _, i := range all {
		if i.Place < self.Place {
			n++
		}
	}
	return n
}

// countFleet updates the number of registered instances from the directory, and the
// candidates to follow: after many instances have registered again at the same time,
// one that knew only their earlier registrations has no candidate left.
func (sh *Shell) countFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	all, err := sh.registeredInstances(ctx)
	if err != nil {
		sh.log.warn("cannot count the registered instances", err)
		return
	}
	sh.upstreamMu.Lock()
	sh.upstream.Refresh(all)
	sh.upstreamMu.Unlock()
	sh.setFleetSize(len(all), int(sh.rank.Load()))
	sh.feed.notify()
}

// setFleetSize records a count of the registered instances and the rank of this one.
func (sh *Shell) setFleetSize(registered, rank int) {
	sh.fleetMu.Lock()
	instances := sh.fleet.Count(time.Now(), registered)
	sh.fleetMu.Unlock()
	sh.rank.Store(int32(rank))
	if sh.fleetSize.Swap(int32(instances)) != int32(instances) {
		sh.handleEvent(gateway.FleetSize{Instances: instances, Rank: rank})
	}
}

// pollUpstream makes one call to an instance, and follows it if it answers.
func (sh *Shell) pollUpstream(ctx context.Context, client *rpcframe.Client, instance upstream.Instance) {
	request := sh.newFeedRequest()
	request.WaitMs = uint32(feedWait.Milliseconds())
	request.Departed = sh.followedInstance() != instance.Name
	request.Whole = sh.needFullConfiguration.Load()
	response, err := sh.callFeed(ctx, client, instance.Address, request)
	now := time.Now()
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	switch {
	case ctx.Err() != nil:
	case err != nil:
		sh.setFollowedInstance("")
		sh.log.upstreamFailed(instance, err)
		if sh.upstream.RecordFailure(now, instance) {
			go sh.removeRegistration(ctx, instance)
		}
	case response.NotServing:
		sh.setFollowedInstance("")
		sh.upstream.RecordFailure(now, instance)
	case response.FullUp:
		sh.setFollowedInstance("")
		sh.upstream.RecordRefusal(now, instance)
	default:
		sh.applyResponse(now, instance, response)
	}
}

func (sh *Shell) removeRegistration(ctx context.Context, instance upstream.Instance) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if err := sh.reloadable.Load().directory.Remove(ctx, instance); err != nil {
		sh.log.warn("cannot remove the registration of "+string(instance.Name), err)
	}
}

// newFeedRequest returns a request for what this instance does not know.
func (sh *Shell) newFeedRequest() *pb.FeedRequest {
	request := &pb.FeedRequest{Instance: string(sh.settings.Instance), Place: int64(sh.ownPlace()),
		Address: sh.peerAddress().String(), Loaded: sh.core.Loaded(), ConfigurationVersion: sh.core.ConfigurationVersion(), LostChanges: uint32(sh.lostChanges())}
	for _, p := range sh.core.Positions() {
		request.Revisions, request.Eras = append(request.Revisions, int64(p.Revision)), append(request.Eras, int64(p.Era))
	}
	return request
}

func (sh *Shell) callFeed(ctx context.Context, client *rpcframe.Client, address netip.AddrPort, request *pb.FeedRequest) (*pb.FeedResponse, error) {
	payload, err := proto.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode request")
	}
	sh.counters.feedCalls.Inc(1)
	answer, err := client.Call(ctx, address.String(), feedMethod, payload, feedWait+feedTimeoutMargin)
	if err != nil {
		return nil, err
	}
	response := &pb.FeedResponse{}
	return response, errors.Wrap(proto.Unmarshal(answer, response), "feed: decode response")
}

// applyResponse passes the data of the followed instance's response to the core.
// upstreamMu must be held.
func (sh *Shell) applyResponse(now time.Time, instance upstream.Instance, response *pb.FeedResponse) {
	data, err := sh.decodeResponse(response)
	if err != nil && !errors.Is(err, feed.ErrBaseMismatch) {
		sh.log.upstreamFailed(instance, err)
		sh.upstream.RecordFailure(now, instance)
		return
	}
	if !sh.upstream.RecordAnswer(now, instance, upstream.Place(response.Place), data.ages) {
		return
	}
	sh.setFollowedInstance(instance.Name)
	sh.decideUpstream()
	sh.needFullConfiguration.Store(err != nil)
	if err != nil {
		return
	}
	// The outage precedes the updates, since it decides what a missing entry
	// means.
	sh.handleEvent(gateway.RegistryOutage{Start: timeFromAgeMS(now, response.RegistryOutMs), LastEnd: timeFromAgeMS(now, response.RegistryReturnedMs)})
	sh.applyFeedData(now, &data)
	sh.applyLost(instance, response)
	sh.applyDeparted(instance, response.Departed)
	if response.Instances > 0 {
		sh.setFleetSize(int(response.Instances), int(sh.rank.Load()))
	}
	sh.feed.notify()
}

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

func (sh *Shell) applyFeedData(now time.Time, data *feedData) {
	for k := range source.Kind(source.NumKinds) {
		sh.handleEvent(gateway.SourceUpdated{Kind: k, Update: data.updates[k], AsOf: now.Add(-data.ages[k])})
		sh.era.observe(data.updates[k].Position.Era)
	}
}

// learnFrom requests once what an instance knows that follows this one.
func (sh *Shell) learnFrom(ctx context.Context, follower upstream.Instance) {
	client := sh.newFeedClient()
	defer client.Close()
	request := sh.newFeedRequest()
	request.Whole = true
	response, err := sh.callFeed(ctx, client, follower.Address, request)
	if err != nil {
		sh.log.upstreamFailed(follower, err)
		return
	}
	if response.NotServing || response.FullUp {
		return // it states again with its next request what it knows
	}
	now := time.Now()
	data, err := sh.decodeResponse(response)
	if err != nil {
		sh.log.upstreamFailed(follower, err)
		return
	}
	sh.applyFeedData(now, &data)
	sh.applyLost(follower, response)
	sh.feed.notify()
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
	lost := sh.core.LostChanges()
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
