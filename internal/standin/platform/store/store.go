// Package store is a stand-in for the metadata store of the users' platform. It
// keeps objects by kind and name, supports conditional writes, paged lists and
// watches, and simulates outages. Package standin/store is one for the object store
// in which the entry instances of package shell keep the lists.
package store

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pathPrefix = "/cuminshift/objects/"
	eraHeader  = "Store-Era"
	pageSize   = 50
	maxBody    = 1 << 20
)

// Object is one object of the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Meta is the part of an object that the store maintains.
type Meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Event is one change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision int64
}

// Mode selects how the store answers calls.
type Mode int

// Modes.
const (
	// Up answers normally.
	Up Mode = iota
	// Busy answers every call with status 503.
	Busy
	// Silent does not answer.
	Silent
	// Reset closes the connection without an answer.
	Reset
)

// Store keeps the objects in memory. It is an http.Handler.
type Store struct {
	mu sync.Mutex
	// kinds holds the objects by kind and name.
	kinds map[string]map[string]*Object
	// staleKinds, staleRevision and staleEra are the state that stale lists return; nil
	// and 0 for the present one.
	staleKinds    map[string]map[string]*Object
	staleRevision int64
	staleEra      int64
	revision      int64
	// era is the number of restorations from a copy, plus 1.
	era     int64
	history []Event
	// changedInEra holds, by kind, the names of the objects whose spec was changed in
	// this era.
	changedInEra map[string]map[string]bool
	// compactedRevision is the revision up to which the history has been
	// dropped.
	compactedRevision int64
	// changed is closed and replaced on each write, compaction and change of
	// mode.
	changed chan struct{}
	mode    Mode
	delay   time.Duration
	// texts holds the specs of PutText; their objects have placeholders for them.
	textsMu sync.Mutex
	texts   []string
	// calls counts the calls by method and kind, separated by a space.
	calls map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{kinds: map[string]map[string]*Object{}, revision: 1, era: 1, changedInEra: map[string]map[string]bool{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetMode sets the mode in which the store answers and the delay before each
// answer.
func (s *Store) SetMode(m Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = m, delay
	s.notifyWatches()
}

// Compact drops the history. Watches from earlier revisions then fail with
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Copy is the state of a store at some time.
type Copy struct {
	kinds    map[string]map[string]*Object
	revision int64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{kinds: cloneKinds(s.kinds), revision: s.revision}
}

// Restore replaces the state by a copy. Changes since the copy are lost, their
// revisions are given out again, and the era rises. Waiting watches are cut off.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds, s.revision = cloneKinds(c.kinds), c.revision
	s.history = slices.DeleteFunc(s.history, func(e Event) bool { return e.revision > c.revision })
	s.compactedRevision = min(s.compactedRevision, c.revision)
	s.era++
	clear(s.changedInEra)
	s.notifyWatches()
}

// Rewrite writes the objects of a kind again as they are in a copy, and deletes the
// others, as the writers of what a restored store has lost do. It leaves alone what has
// been changed since the restoration.
func (s *Store) Rewrite(kind string, c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := maps.Clone(s.changedInEra[kind])
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if c.kinds[kind][name] == nil && !changed[name] {
			s.delete(kind, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.kinds[kind])) {
		if !changed[name] {
			s.put(kind, name, c.kinds[kind][name].Spec)
		}
	}
}

func cloneKinds(kinds map[string]map[string]*Object) map[string]map[string]*Object {
	out := map[string]map[string]*Object{}
	for kind, objects := range kinds {
		out[kind] = map[string]*Object{}
		for name, o := range objects {
			clone := *o
			out[kind][name] = &clone
		}
	}
	return out
}

// FreezeStale keeps the present state: lists that allow stale responses return it
// from now on.
func (s *Store) FreezeStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleKinds, s.staleRevision, s.staleEra = cloneKinds(s.kinds), s.revision, s.era
}

// Calls returns the number of calls by method and kind; a key is "GET config" or,
// for a call that allows a stale response, "GET config stale".
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// Contains reports whether the store has the object.
func (s *Store) Contains(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name] != nil
}

// Put writes an object regardless of its revision, as the platform itself does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // spec is of a type that cannot be encoded
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
	s.noteChanged(kind, name)
	s.recordEvent(Event{Object: *o, kind: kind, revision: s.revision})
	return o
}

func (s *Store) noteChanged(kind, name string) {
	if s.changedInEra[kind] == nil {
		s.changedInEra[kind] = map[string]bool{}
	}
	s.changedInEra[kind][name] = true
}

func (s *Store) putStatus(kind string, o *Object, status json.RawMessage) {
	if string(o.Status) == string(status) {
		return
	}
	s.revision++
	o.Status, o.Meta.Revision = status, s.revision
	s.recordEvent(Event{Object: *o, kind: kind, revision: s.revision})
}

func (s *Store) delete(kind, name string) bool {
	o := s.kinds[kind][name]
	if o == nil {
		return false
	}
	delete(s.kinds[kind], name)
	s.noteChanged(kind, name)
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
	key := r.Method + " " + kind
	if r.URL.Query().Has("allow_stale") {
		key += " stale"
	}
	s.calls[key]++
	mode, delay := s.mode, s.delay
	s.stateEra(w)
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

// applyMode treats a call as the mode requires. It reports true if the call is to
// be served normally.
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
	s.stateEra(w)
	kinds, revision := s.kinds, s.revision
	if s.staleKinds != nil && r.URL.Query().Has("allow_stale") {
		kinds, revision = s.staleKinds, s.staleRevision
		w.Header().Set(eraHeader, strconv.FormatInt(s.staleEra, 10))
	}
	var names []string
	for name := range kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []Object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, *kinds[kind][name])
	}
	s.mu.Unlock()
	s.writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": revision})
}

func (s *Store) handleGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	if o := s.kinds[kind][name]; o != nil {
		s.writeJSON(w, http.StatusOK, o)
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
	s.mu.Lock()
	s.stateEra(w)
	firstEra := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, gone := s.eventsSince(kind, since)
		era, revision, changed, mode := s.era, s.revision, s.changed, s.mode
		s.mu.Unlock()
		if era != firstEra {
			applyMode(w, r, Reset)
			return
		}
		if mode != Up {
			applyMode(w, r, mode)
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.writeJSON(w, http.StatusOK, map[string]any{"events": []Event{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events of a kind after a revision; gone is true when
// some of them have been dropped or the store has no such revision.
func (s *Store) eventsSince(kind string, revision int64) (events []Event, gone bool) {
	if revision < s.compactedRevision || revision > s.revision {
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
	s.stateEra(w)
	name, ofStatus := strings.CutSuffix(name, "/status")
	current := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil,
		current != nil && o.Meta.Revision != 0 && o.Meta.Revision != current.Meta.Revision:
		s.writeJSON(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && current == nil:
		w.WriteHeader(http.StatusNotFound)
	case ofStatus:
		s.putStatus(kind, current, o.Status)
		s.writeJSON(w, http.StatusOK, current)
	default:
		s.writeJSON(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func (s *Store) handleRemove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	current := s.kinds[kind][name]
	if revision := r.URL.Query().Get("revision"); current != nil && revision != "" && revision != strconv.FormatInt(current.Meta.Revision, 10) {
		s.writeJSON(w, http.StatusConflict, current)
		return
	}
	if !s.delete(kind, name) {
		w.WriteHeader(http.StatusNotFound)
	}
}

// stateEra sets the header with the era. mu must be held.
func (s *Store) stateEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
}

func (s *Store) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // body is of a type that cannot be encoded
	}
	// The client may have disconnected; it then gets no answer.
	_, _ = w.Write(s.insertTexts(data))
}
