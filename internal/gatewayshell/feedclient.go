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
	"cuminshift/internal/registry"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

const (
	// registerTimeout bounds a call to the directory; the store's slow answers
	// take 300 ms.
	registerTimeout = time.Second
	// seedDelay is how long an instance that starts waits for the store, unless
	// a call fails, before it asks the seeds, which send it all they know.
	// Reading the store takes 20 ms, and 300 ms when its answers are slow.
	seedDelay = 150 * time.Millisecond
	// readyInterval is the time between two looks whether the instance serves
	// and may register.
	readyInterval = 20 * time.Millisecond
	// registerRetry is the pause after a failed registration.
	registerRetry = time.Second
	// fleetInterval is the time between two counts of the instances by one that
	// follows nobody.
	fleetInterval = 20 * time.Second
	// fleetFirst is the time from the registration to the first count: all
	// instances of a new fleet start within 0.3 s.
	fleetFirst = 2 * time.Second
	// followPause is the pause when there is nobody to follow.
	followPause = time.Second
)

func (sh *Shell) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(sh.settings.PacketAddress.Addr(), sh.settings.PeerPorts[0])
}

func (sh *Shell) listenPeer() (net.Listener, error) {
	l, err := net.Listen("tcp4", sh.peerAddress().String())
	return l, errors.Wrap(err, "gateway: listen for instances")
}

// followInstances registers the instance and follows another one, if there is
// one registered before it. While the store does not answer, a seed is followed.
func (sh *Shell) followInstances(ctx context.Context) {
	go sh.register(ctx)
	for begin := time.Now(); time.Since(begin) < seedDelay && !sh.registered() && !sh.storeFailed.Load(); {
		sleepUntil(ctx, time.Now().Add(readyInterval))
	}
	sh.seed()
	client := rpcframe.Client{DialTimeout: feedDialTimeout, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		return sh.feedBytes.Wrap(conn), nil
	}}
	defer client.Close()
	nextCount := time.Now().Add(fleetFirst)
	for ctx.Err() == nil {
		now := time.Now()
		sh.upstreamMu.Lock()
		instance, ok := sh.upstream.Next(now)
		sh.upstreamMu.Unlock()
		if ok {
			sh.followOnce(ctx, &client, instance)
			continue
		}
		sh.setFollowing("")
		if now.After(nextCount) && sh.registered() {
			nextCount = now.Add(fleetInterval)
			sh.countFleet(ctx)
		}
		pause := followPause
		if !sh.core.Loaded() {
			pause = readyInterval
		}
		sleepUntil(ctx, now.Add(pause))
	}
}

// seed takes the settings' seeds as instances to follow, unless the instance is
// registered.
func (sh *Shell) seed() {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	for _, ip := range sh.live.Load().settings.SeedAddresses {
		sh.upstream.Seed(sh.peerAddress(), netip.AddrPortFrom(ip, sh.settings.PeerPorts[0]))
	}
}

// register enters the instance in the directory once it serves.
func (sh *Shell) register(ctx context.Context) {
	self := upstream.Instance{Name: sh.settings.Instance, DataCentre: sh.settings.DataCentre, Address: sh.peerAddress(), Bandwidth: sh.settings.Bandwidth}
	for ctx.Err() == nil {
		if !sh.core.Ready() {
			sleepUntil(ctx, time.Now().Add(readyInterval))
			continue
		}
		err := sh.registerOnce(ctx, self)
		if err == nil {
			return
		}
		sh.log.failed("register the instance", err)
		sleepUntil(ctx, time.Now().Add(registerRetry))
	}
}

func (sh *Shell) registerOnce(ctx context.Context, self upstream.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	place, err := sh.live.Load().directory.Register(ctx, self)
	if err != nil {
		return err
	}
	all, rejected, err := sh.live.Load().directory.Instances(ctx)
	sh.log.rejected(rejected)
	if err != nil {
		return err
	}
	self.Place = place
	sh.upstreamMu.Lock()
	sh.upstream.Register(self, all)
	sh.upstreamMu.Unlock()
	sh.setFleet(len(all), rank(self, all))
	return nil
}

// rank is the instance's place among all, from 0.
func rank(self upstream.Instance, all []upstream.Instance) int {
	n := 0
	for _, i := range all {
		if i.Place < self.Place {
			n++
		}
	}
	return n
}

func (sh *Shell) countFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	all, rejected, err := sh.live.Load().directory.Instances(ctx)
	sh.log.rejected(rejected)
	if err != nil {
		sh.log.failed("count the instances", err)
		return
	}
	sh.setFleet(len(all), int(sh.rank.Load()))
	sh.feed.notify()
}

func (sh *Shell) setFleet(instances, rank int) {
	sh.rank.Store(int32(rank))
	if sh.fleet.Swap(int32(instances)) != int32(instances) {
		sh.handle(gateway.FleetSize{Instances: instances, Rank: rank})
	}
}

// followOnce makes one call to the followed instance.
func (sh *Shell) followOnce(ctx context.Context, client *rpcframe.Client, instance upstream.Instance) {
	response, err := sh.askFeed(ctx, client, instance)
	now := time.Now()
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	switch {
	case ctx.Err() != nil:
	case err != nil:
		sh.setFollowing("")
		sh.log.upstreamLost(instance, err)
		if sh.upstream.Failed(now, instance) {
			go sh.removeDead(ctx, instance)
		}
	case response.NotServing:
		sh.setFollowing("")
		sh.upstream.Failed(now, instance)
	case response.FullUp:
		sh.setFollowing("")
		sh.upstream.Refused(now, instance)
	default:
		sh.take(now, instance, response)
	}
}

func (sh *Shell) removeDead(ctx context.Context, instance upstream.Instance) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := sh.live.Load().directory.Remove(ctx, instance); err != nil {
		sh.log.failed("remove the registration of "+string(instance.Name), err)
	}
}

func (sh *Shell) askFeed(ctx context.Context, client *rpcframe.Client, instance upstream.Instance) (*pb.FeedResponse, error) {
	request := &pb.FeedRequest{Instance: string(sh.settings.Instance), Place: int64(sh.place()), WaitMs: uint32(feedWait.Milliseconds()),
		Departed: sh.following() != instance.Name, Whole: sh.askWhole.Load(),
		Address: sh.peerAddress().String(), Loaded: sh.core.Loaded()}
	for _, r := range sh.core.Revisions() {
		request.Revisions = append(request.Revisions, int64(r))
	}
	payload, err := proto.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "feed: request")
	}
	sh.counters.feedCalls.Inc(1)
	answer, err := client.Call(ctx, instance.Address.String(), feedMethod, payload, feedWait+feedMargin)
	if err != nil {
		return nil, err
	}
	response := &pb.FeedResponse{}
	return response, errors.Wrap(proto.Unmarshal(answer, response), "feed: response")
}

// take uses an answer. upstreamMu is held.
func (sh *Shell) take(now time.Time, instance upstream.Instance, response *pb.FeedResponse) {
	var ages [source.Kinds]time.Duration
	if len(response.AgesMs) != source.Kinds {
		sh.log.upstreamLost(instance, errors.Newf("feed: %d ages", len(response.AgesMs)))
		sh.upstream.Failed(now, instance)
		return
	}
	for k, ms := range response.AgesMs {
		ages[k] = time.Duration(ms) * time.Millisecond
	}
	if !sh.upstream.Answered(now, instance, upstream.Place(response.Place), ages) {
		return
	}
	sh.setFollowing(instance.Name)
	updates := make([]source.Update, source.Kinds)
	sh.askWhole.Store(false)
	for _, m := range response.Updates {
		k, u, err := feed.Decode(m, sh.core.Configuration())
		if errors.Is(err, feed.ErrOtherBase) {
			sh.askWhole.Store(true)
			return
		}
		if err != nil {
			sh.log.upstreamLost(instance, err)
			sh.upstream.Failed(now, instance)
			return
		}
		updates[k] = u
	}
	// Before the updates, since it decides what a missing entry means.
	sh.handle(gateway.RegistryOutage{Since: sinceMS(now, response.RegistryOutMs), Returned: sinceMS(now, response.RegistryReturnedMs)})
	for k := range source.Kind(source.Kinds) {
		sh.handle(gateway.SourceUpdated{Kind: k, Update: updates[k], AsOf: now.Add(-ages[k])})
	}
	sh.takeDeparted(instance, response.Departed)
	if response.Instances > 0 {
		sh.setFleet(int(response.Instances), int(sh.rank.Load()))
	}
	sh.feed.notify()
}

func (sh *Shell) takeDeparted(instance upstream.Instance, servers []*pb.FeedServer) {
	var entries []registry.Entry
	for _, s := range servers {
		e, err := feed.DecodeServer(s)
		if err != nil {
			sh.log.upstreamLost(instance, err)
			continue
		}
		entries = append(entries, e)
	}
	if len(entries) > 0 {
		sh.handle(gateway.DepartedServers{Entries: entries})
	}
}
