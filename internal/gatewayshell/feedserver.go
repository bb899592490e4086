package gatewayshell

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cuminshift/internal/feed"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/routing"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

const (
	// feedMethod is the net/rpc method of the feed.
	feedMethod = "Feed.Changes"
	// feedWait is the time for which a call waits for changes. Together with
	// feedTimeoutMargin it bounds how long an unresponsive instance is followed.
	feedWait = 500 * time.Millisecond
	// feedTimeoutMargin is the time that a call may take to answer after its wait
	// has ended.
	feedTimeoutMargin = 300 * time.Millisecond
	// feedDialTimeout bounds the opening of a connection to an instance.
	feedDialTimeout = 200 * time.Millisecond
	// maxFollowers bounds the feed calls that an instance serves at a time: those
	// of its children in the tree, of the children of a failed child, and of the
	// first instances of other data centres.
	maxFollowers = 3 * upstream.FanOut
)

// Feed is the net/rpc receiver of the feed, by which this instance passes its data
// from the store on to the instances that follow it.
type Feed struct {
	shell *Shell
	// followers is the number of calls being served.
	followers atomic.Int32
	// learning is set during a request to an instance that knows more.
	learning atomic.Bool

	mu sync.Mutex
	// changed is closed and replaced when there are changes.
	changed chan struct{}
}

func newFeed(sh *Shell) *Feed { return &Feed{shell: sh, changed: make(chan struct{})} }

// notify ends the wait of the calls that wait for changes.
func (f *Feed) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (f *Feed) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Changes answers an encoded FeedRequest with a FeedResponse.
func (f *Feed) Changes(in rpcframe.Frame, out *rpcframe.Frame) error {
	request := &pb.FeedRequest{}
	if err := proto.Unmarshal(in.Payload, request); err != nil {
		return errors.Wrap(err, "feed: decode request")
	}
	if len(request.Revisions) != source.NumKinds {
		return errors.Newf("feed: request with %d revisions", len(request.Revisions))
	}
	response := f.respond(request)
	payload, err := proto.Marshal(response)
	if err != nil {
		return errors.Wrap(err, "feed: encode response")
	}
	out.Payload = payload
	return nil
}

func (f *Feed) respond(request *pb.FeedRequest) *pb.FeedResponse {
	f.addRequesterAsSeed(request)
	f.learnFromRequester(request)
	defer f.followers.Add(-1)
	switch {
	case f.followers.Add(1) > maxFollowers:
		return &pb.FeedResponse{Place: int64(f.shell.ownPlace()), FullUp: true}
	case !f.shell.servesFeed():
		return &pb.FeedResponse{Place: int64(f.shell.ownPlace()), NotServing: true}
	}
	timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer timer.Stop()
	confirmed := f.shell.core.ConfirmedAt()
	for {
		changed := f.nextChange()
		refreshed := f.shell.core.ConfirmedAt() != confirmed
		if response := f.buildResponse(request); len(response.Updates) > 0 || request.Departed || refreshed {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.buildResponse(request)
		}
	}
}

func (f *Feed) buildResponse(request *pb.FeedRequest) *pb.FeedResponse {
	now := time.Now()
	response := &pb.FeedResponse{Place: int64(f.shell.ownPlace()), Instances: uint32(f.shell.fleetSize.Load())}
	ages, ok := f.shell.core.Ages(now)
	if !ok {
		response.NotServing = true
		return response
	}
	positions := f.shell.core.Positions()
	outage := f.shell.core.RegistryOutage()
	response.RegistryReturnedMs, response.RegistryOutMs = ageMS(now, outage.LastEnd), ageMS(now, outage.Start)
	for k := range source.Kind(source.NumKinds) {
		response.AgesMs = append(response.AgesMs, uint32(ages[k].Milliseconds()))
		response.Eras = append(response.Eras, int64(positions[k].Era))
		since := requestedPosition(request, k, positions[k].Era)
		u := f.shell.core.UpdateSince(now, k, since)
		if k == source.Configuration && statesEras(request) {
			u.Configuration = f.shell.core.ConfigurationNewerThan(request.ConfigurationVersion)
		}
		if u.Position.IsZero() {
			u.Position = positions[k]
		}
		if !u.Empty() {
			message := feed.Encode(k, &u, f.baseConfiguration(request, &u, since))
			f.countUpdate(k, message)
			response.Updates = append(response.Updates, message)
		}
	}
	lost := f.shell.core.LostChanges(now)
	for i := range lost.Servers {
		response.LostServers = append(response.LostServers, feed.EncodeServer(&lost.Servers[i], false))
	}
	response.LostDataCentres = feed.EncodeDataCentres(lost.DataCentres)
	if request.Departed {
		for _, e := range f.shell.core.Departed() {
			response.Departed = append(response.Departed, feed.EncodeServer(&e, false))
		}
	}
	return response
}

// baseConfiguration returns the configuration that the requesting instance has, or
// nil if the update needs none or it is not known.
func (f *Feed) baseConfiguration(request *pb.FeedRequest, u *source.Update, since source.Position) *routing.Configuration {
	if u.Configuration == nil || request.Whole {
		return nil
	}
	base := f.shell.core.ConfigurationAt(since)
	if base != nil && statesEras(request) && base.Version != request.ConfigurationVersion {
		return nil
	}
	return base
}

// statesEras reports whether the requesting instance knows of eras. It then states
// the version of its configuration too.
func statesEras(request *pb.FeedRequest) bool { return len(request.Eras) == source.NumKinds }

// requestedPosition returns the position up to which the requesting instance knows a
// source. era is used if the request states none.
func requestedPosition(request *pb.FeedRequest, k source.Kind, era source.Era) source.Position {
	if statesEras(request) {
		era = source.Era(request.Eras[k])
	}
	return source.Position{Era: era, Revision: source.Revision(request.Revisions[k])}
}

func (f *Feed) countUpdate(k source.Kind, message *pb.FeedUpdate) {
	size := int64(proto.Size(message))
	f.shell.counters.feedUpdateSent[k].Inc(size)
	if message.Full {
		f.shell.counters.feedStateSent.Inc(size)
	}
}

// addRequesterAsSeed adds the requesting instance as a seed if it has loaded its
// data. After the failure of most instances, the remaining ones send requests to
// the instances that restart. The seeds in the settings of these may have no data
// either.
func (f *Feed) addRequesterAsSeed(request *pb.FeedRequest) {
	if !request.Loaded {
		return
	}
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil {
		f.shell.log.warn("invalid feed address of "+request.Instance, err)
		return
	}
	f.shell.upstreamMu.Lock()
	defer f.shell.upstreamMu.Unlock()
	f.shell.upstream.AddSeed(f.shell.peerAddress(), address)
}

// learnFromRequester requests what the requesting instance knows if it has a newer
// configuration or knows of more changes that the store has lost. An instance that
// started on a restored copy may be followed by others that were there before.
func (f *Feed) learnFromRequester(request *pb.FeedRequest) {
	if request.ConfigurationVersion <= f.shell.core.ConfigurationVersion() && int(request.LostChanges) <= f.shell.lostChanges() {
		return
	}
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil || !f.learning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.learning.Store(false)
		f.shell.learnFrom(context.Background(), upstream.Instance{Name: model.InstanceID(request.Instance), Address: address})
	}()
}

// ageMS returns the age of a time in milliseconds, at least 1. It returns 0 for
// the zero time.
func ageMS(now, t time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return uint32(max(1, now.Sub(t).Milliseconds()))
}

// timeFromAgeMS is the inverse of ageMS.
func timeFromAgeMS(now time.Time, ms uint32) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func (sh *Shell) ownPlace() upstream.Place {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	return sh.upstream.OwnPlace()
}

func (sh *Shell) registered() bool {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	return sh.upstream.Registered()
}

// servesFeed reports whether the instance passes its data on to others. Before the
// first configuration is written, that is an empty one.
func (sh *Shell) servesFeed() bool {
	_, read := sh.core.Ages(time.Now())
	return read && !sh.stopping.Load()
}

// serveFeed answers the requests of other instances until ctx ends.
func (sh *Shell) serveFeed(ctx context.Context) error {
	listener, err := sh.listenPeer()
	if err != nil {
		return err
	}
	return rpcframe.Serve(ctx, listener, sh.feed, sh.feedBytes.Wrap, func(err error) {
		sh.counters.socketErrors.Inc(1)
		sh.log.warn("cannot accept a connection of another instance, retrying", err)
	})
}
