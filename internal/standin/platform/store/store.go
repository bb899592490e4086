// Package store is a stand-in for the platform's metadata store: objects by
// kind and name, conditional writes, lists by pages, watches, outages.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pathPrefix = "/cuminshift/objects/"
	pageSize   = 50
	maxBody    = 1 << 20
)

// Object is one object of the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Meta is the part of an object that the store keeps.
type Meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Event is one change.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision int64
}

// Mode is how the store answers.
type Mode int

// Modes.
const (
	Up Mode = iota
	// Busy answers 503, Silent never, Reset breaks the connection.
	Busy
	Silent
	Reset
)

// Store is the stand-in; it is an http.Handler.
type Store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]*Object
	revision int64
	history  []Event
	// compactedRevision is the revision up to which the history is gone.
	compactedRevision int64
	changed           chan struct{}
	mode              Mode
	delay             time.Duration
	calls             map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{kinds: map[string]map[string]*Object{}, revision: 1, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetMode makes the store answer in a mode, after a delay.
func (s *Store) SetMode(m Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = m, delay
	s.notifyWatches()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Calls returns the number of calls by kind and method.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// Put writes an object whatever its revision, as the platform itself does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a caller's type cannot be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(kind, name string, spec json.RawMessage) *Object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*Object{}
	}
	o := s.kinds[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil {
		o = &Object{Meta: Meta{Name: name, Created: s.revision}}
		s.kinds[kind][name] = o
	}
	o.Spec, o.Meta.Revision = spec, s.revision
	s.recordEvent(Event{Object: *o, kind: kind, revision: s.revision})
	return o
}

func (s *Store) delete(kind, name string) bool {
	o := s.kinds[kind][name]
	if o == nil {
		return false
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.recordEvent(Event{Object: *o, Deleted: true, kind: kind, revision: s.revision})
	return true
}

func (s *Store) recordEvent(e Event) {
	s.history = append(s.history, e)
	s.notifyWatches()
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	mode, delay := s.mode, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if !applyMode(w, r, mode) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.handleWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.handleList(w, r, kind)
	case r.Method == http.MethodGet:
		s.handleGet(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.handleWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.handleRemove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// applyMode carries out an outage and reports whether the call is served.
func applyMode(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Silent:
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		return true
	}
	return false
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []Object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, *s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": revision})
}

func (s *Store) handleGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.kinds[kind][name]; o != nil {
		writeJSON(w, http.StatusOK, o)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, err1 := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err1 != nil || err2 != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, gone := s.eventsSince(kind, since)
		revision, changed, mode := s.revision, s.changed, s.mode
		s.mu.Unlock()
		if mode != Up {
			applyMode(w, r, mode)
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []Event{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, revision int64) (events []Event, gone bool) {
	if revision < s.compactedRevision {
		return nil, true
	}
	for _, e := range s.history {
		if e.kind == kind && e.revision > revision {
			events = append(events, e)
		}
	}
	return events, false
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil,
		current != nil && o.Meta.Revision != 0 && o.Meta.Revision != current.Meta.Revision:
		writeJSON(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && current == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func (s *Store) handleRemove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.kinds[kind][name]
	if revision := r.URL.Query().Get("revision"); current != nil && revision != "" && revision != strconv.FormatInt(current.Meta.Revision, 10) {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	if !s.delete(kind, name) {
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone; it then sees no answer.
	_ = json.NewEncoder(w).Encode(body)
}
