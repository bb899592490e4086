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
	"cuminshift/internal/routing"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/source"
	"cuminshift/internal/upstream"
)

const (
	// feedMethod is the net/rpc method of the feed.
	feedMethod = "Feed.Changes"
	// feedWait is how long a call waits for changes; with feedMargin it bounds
	// how long a silent instance is followed.
	feedWait = 500 * time.Millisecond
	// feedMargin is the time beyond its wait in which a call has to answer.
	feedMargin = 300 * time.Millisecond
	// feedDialTimeout bounds the opening of a connection to an instance.
	feedDialTimeout = 200 * time.Millisecond
	// maxFollowers bounds the instances that one instance serves: those of the
	// tree, those of a lost child, and first ones of other data centres.
	maxFollowers = 3 * upstream.FanOut
)

// Feed is the net/rpc receiver that passes on what this instance knows.
type Feed struct {
	shell     *Shell
	followers atomic.Int32

	mu sync.Mutex
	// changed is closed, and replaced, when there is something new.
	changed chan struct{}
}

func newFeed(sh *Shell) *Feed { return &Feed{shell: sh, changed: make(chan struct{})} }

// notify wakes the calls that wait for changes.
func (f *Feed) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) wait() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Changes answers an encoded FeedRequest with a FeedResponse.
func (f *Feed) Changes(in rpcframe.Frame, out *rpcframe.Frame) error {
	request := &pb.FeedRequest{}
	if err := proto.Unmarshal(in.Payload, request); err != nil {
		return errors.Wrap(err, "feed: request")
	}
	if len(request.Revisions) != source.Kinds {
		return errors.Newf("feed: request with %d revisions", len(request.Revisions))
	}
	response := f.answer(request)
	payload, err := proto.Marshal(response)
	if err != nil {
		return errors.Wrap(err, "feed: response")
	}
	out.Payload = payload
	return nil
}

func (f *Feed) answer(request *pb.FeedRequest) *pb.FeedResponse {
	f.learnAsker(request)
	defer f.followers.Add(-1)
	switch {
	case f.followers.Add(1) > maxFollowers:
		return &pb.FeedResponse{Place: int64(f.shell.place()), FullUp: true}
	case !f.shell.serving():
		return &pb.FeedResponse{Place: int64(f.shell.place()), NotServing: true}
	}
	timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer timer.Stop()
	first := f.shell.core.ConfirmedAt()
	for {
		changed := f.wait()
		renewed := f.shell.core.ConfirmedAt() != first
		if response := f.collect(request); len(response.Updates) > 0 || request.Departed || renewed {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.collect(request)
		}
	}
}

func (f *Feed) collect(request *pb.FeedRequest) *pb.FeedResponse {
	now := time.Now()
	response := &pb.FeedResponse{Place: int64(f.shell.place()), Instances: uint32(f.shell.fleet.Load())}
	ages, ok := f.shell.core.Ages(now)
	if !ok {
		response.NotServing = true
		return response
	}
	outage := f.shell.core.RegistryOutage()
	response.RegistryReturnedMs, response.RegistryOutMs = ageMS(now, outage.Returned), ageMS(now, outage.Since)
	for k := range source.Kind(source.Kinds) {
		response.AgesMs = append(response.AgesMs, uint32(ages[k].Milliseconds()))
		since := source.Revision(request.Revisions[k])
		if u := f.shell.core.UpdateSince(now, k, since); !u.Empty() {
			var base *routing.Configuration
			if u.Configuration != nil && !request.Whole {
				base = f.shell.core.ConfigurationAt(since)
			}
			response.Updates = append(response.Updates, feed.Encode(k, &u, base))
		}
	}
	if request.Departed {
		for _, e := range f.shell.core.Departed() {
			response.Departed = append(response.Departed, feed.EncodeServer(&e, false))
		}
	}
	return response
}

// learnAsker takes an instance that asks as a seed. After a loss of most
// instances, those that are left ask the ones that start again, whose own seeds
// may know nothing either.
func (f *Feed) learnAsker(request *pb.FeedRequest) {
	if !request.Loaded {
		return
	}
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil {
		f.shell.log.failed("feed: address of "+request.Instance, err)
		return
	}
	f.shell.upstreamMu.Lock()
	defer f.shell.upstreamMu.Unlock()
	f.shell.upstream.Seed(f.shell.peerAddress(), address)
}

// ageMS returns the age of a time in milliseconds, at least 1; 0 for the zero
// time.
func ageMS(now, t time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return uint32(max(1, now.Sub(t).Milliseconds()))
}

// sinceMS is the opposite of ageMS.
func sinceMS(now time.Time, ms uint32) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// place returns the instance's place in the directory.
func (sh *Shell) place() upstream.Place {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	return sh.upstream.Self()
}

// registered reports whether the instance is in the directory.
func (sh *Shell) registered() bool {
	sh.upstreamMu.Lock()
	defer sh.upstreamMu.Unlock()
	return sh.upstream.Registered()
}

// serving reports whether the instance passes on what it knows.
func (sh *Shell) serving() bool { return !sh.stopping.Load() && sh.core.Loaded() }

// serveFeed answers other instances until ctx ends.
func (sh *Shell) serveFeed(ctx context.Context) error {
	listener, err := sh.listenPeer()
	if err != nil {
		return err
	}
	return rpcframe.Serve(ctx, listener, sh.feed, sh.feedBytes.Wrap)
}
