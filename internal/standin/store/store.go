// Package store is a stand-in for the object store in which the entry instances of
// package shell keep the lists; package platform/store is one for the metadata
// store of the users' platform. It keeps versioned objects in memory, supports
// conditional updates and watches, and injects faults that can be changed while it
// runs.
package store

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/standin/httpserve"
)

// MaxValueSize is the largest size of an object's value, in bytes; see
// docs/design.md, section 1, Platform.
const MaxValueSize = 1 << 20

// Faults selects the faults to inject.
type Faults struct {
	// Down fails every call, including pending watches, with UNAVAILABLE.
	Down bool `json:"down"`
	// Silent accepts calls and never answers them.
	Silent bool `json:"silent"`
	// SlowMS delays every answer, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// Stale answers reads and watches from the objects as they were when the
	// fault was switched on.
	Stale bool `json:"stale"`
	// LoseAnswers is the number of subsequent writes that take effect but return
	// UNAVAILABLE.
	LoseAnswers int `json:"lose_answers"`
}

// Stats counts calls, rejected conditional updates and lost answers.
type Stats struct {
	Gets, Puts, Watches, Conflicts, LostAnswers uint64
}

type object struct {
	version uint64
	value   []byte
}

// Store holds the objects. It implements the ObjectStore handler.
type Store struct {
	mu      sync.Mutex
	objects map[string]object
	// staleObjects is the copy that reads and watches see while Faults.Stale is
	// set.
	staleObjects map[string]object
	faults       Faults
	stats        Stats
	// changed is closed and replaced on each write and each change of faults.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]object{}, changed: make(chan struct{})}
}

// Start serves a new store on addr until the context ends.
func Start(ctx context.Context, addr string) (*Store, *httpserve.Server, error) {
	s := New()
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewObjectStoreHandler(s))
	mux.Handle("/fault", httpserve.GetSetHandler(s.Faults, s.SetFaults))
	mux.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { httpserve.WriteJSON(w, s.Stats()) })
	srv, err := httpserve.Start(ctx, addr, mux)
	return s, srv, err
}

// Faults returns the faults that are injected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults that are injected.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.staleObjects = make(map[string]object, len(s.objects))
		for k, o := range s.objects {
			s.staleObjects[k] = o
		}
	}
	s.faults = f
	s.notifyWatches()
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func unavailableError(text string) error {
	return connect.NewError(connect.CodeUnavailable, errors.New(text))
}

// applyFaults injects the faults that take effect before a call is carried out.
func (s *Store) applyFaults(ctx context.Context) error {
	f := s.Faults()
	if f.Silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.SlowMS > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
		}
	}
	if f.Down {
		return unavailableError("object store is down")
	}
	return nil
}

func (s *Store) lookup(key string) object {
	if s.faults.Stale {
		return s.staleObjects[key]
	}
	return s.objects[key]
}

// Get implements the ObjectStore handler.
func (s *Store) Get(ctx context.Context, r *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Gets++
	return newGetResponse(s.lookup(r.Msg.GetKey())), nil
}

func newGetResponse(o object) *connect.Response[pb.GetResponse] {
	return connect.NewResponse(&pb.GetResponse{Version: o.version, Value: o.value})
}

// Put implements the ObjectStore handler.
func (s *Store) Put(ctx context.Context, r *connect.Request[pb.PutRequest]) (*connect.Response[pb.PutResponse], error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	if len(r.Msg.GetValue()) > MaxValueSize {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("value is larger than 1 MiB"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	o := s.objects[r.Msg.GetKey()]
	if r.Msg.IfVersion != nil && r.Msg.GetIfVersion() != o.version {
		s.stats.Conflicts++
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("object version differs from if_version"))
	}
	o = object{o.version + 1, append([]byte(nil), r.Msg.GetValue()...)}
	s.objects[r.Msg.GetKey()] = o
	s.notifyWatches()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.stats.LostAnswers++
		return nil, unavailableError("connection lost")
	}
	return connect.NewResponse(&pb.PutResponse{Version: o.version}), nil
}

// Watch implements the ObjectStore handler.
func (s *Store) Watch(ctx context.Context, r *connect.Request[pb.WatchRequest]) (*connect.Response[pb.GetResponse], error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	s.stats.Watches++
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		o, f, changed := s.lookup(r.Msg.GetKey()), s.faults, s.changed
		s.mu.Unlock()
		switch {
		case f.Silent:
			<-ctx.Done()
			return nil, ctx.Err()
		case f.Down:
			return nil, unavailableError("object store is down")
		case expired || o.version > r.Msg.GetAfterVersion():
			return newGetResponse(o), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			expired = true
		case <-changed:
		}
	}
}
