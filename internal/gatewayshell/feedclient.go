package gatewayshell

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/feed"
	"cuminshift/internal/gateway"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/upstream"
)

const (
	// readyPollInterval is the time between two checks whether the instance has
	// read all sources and is registered.
	readyPollInterval = 20 * time.Millisecond
	// fleetCountInterval is the time between two counts of the registered
	// instances by an instance that follows no other.
	fleetCountInterval = 20 * time.Second
	// firstFleetCountDelay is the time before the first count. All instances of a
	// new fleet start within 0.3 s.
	firstFleetCountDelay = 2 * time.Second
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

func (sh *Shell) decideUpstream() {
	sh.upstreamDecidedOnce.Do(func() { close(sh.upstreamDecided) })
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
