// Package instancelist is a stand-in for the platform's instance list, in which
// changes become visible after a lag.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.yaml.in/yaml/v3"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/standin/httpserve"
)

// Entry is one listed instance.
type Entry struct {
	Instance        string `json:"instance" yaml:"instance"`
	DataCentre      string `json:"data_centre" yaml:"data_centre"`
	PeerAddress     string `json:"peer_address" yaml:"peer_address"`
	PacketAddress   string `json:"packet_address" yaml:"packet_address"`
	OperatorAddress string `json:"operator_address" yaml:"operator_address"`
	Leaving         bool   `json:"leaving" yaml:"leaving"`
}

type pendingChange struct {
	visibleAt time.Time
	apply     func(map[string]Entry)
}

// List is an instance list. It implements the InstanceList handler.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	entries map[string]Entry
	pending []pendingChange
}

// New returns a list that shows entries at once and later changes after lag.
func New(lag time.Duration, entries []Entry) *List {
	l := &List{lag: lag, entries: map[string]Entry{}}
	for _, e := range entries {
		l.entries[e.Instance] = e
	}
	return l
}

// Start serves a list on addr until the context ends. Besides the InstanceList
// service, it accepts POST /instances to add an entry in JSON, DELETE
// /instances/NAME to remove one, POST /instances/NAME/leaving to mark one as
// leaving, and POST /fault with {"down":true} to make calls fail. GET /instances
// returns the visible entries.
func Start(ctx context.Context, addr string, lag time.Duration, entries []Entry) (*List, *httpserve.Server, error) {
	l := New(lag, entries)
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewInstanceListHandler(l))
	mux.HandleFunc("POST /instances", l.serveAdd)
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) { httpserve.WriteJSON(w, l.Visible()) })
	mux.HandleFunc("DELETE /instances/{name}", func(_ http.ResponseWriter, r *http.Request) { l.Remove(r.PathValue("name")) })
	mux.HandleFunc("POST /instances/{name}/leaving", func(_ http.ResponseWriter, r *http.Request) { l.MarkLeaving(r.PathValue("name")) })
	mux.Handle("/fault", httpserve.GetSetHandler(l.faults, func(f Faults) { l.SetDown(f.Down) }))
	srv, err := httpserve.Start(ctx, addr, mux)
	return l, srv, err
}

// Faults selects the faults to inject.
type Faults struct {
	// Down fails the calls of the InstanceList service with UNAVAILABLE.
	Down bool `json:"down"`
}

func (l *List) faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Faults{l.down}
}

// SetDown sets whether calls of the InstanceList service fail with UNAVAILABLE.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) serveAdd(w http.ResponseWriter, r *http.Request) {
	var e Entry
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil || e.Instance == "" {
		http.Error(w, "body is not a JSON instance entry with an instance name", http.StatusBadRequest)
		return
	}
	l.Add(e)
}

// Add adds or replaces an entry after the lag.
func (l *List) Add(e Entry) {
	l.applyAfterLag(func(m map[string]Entry) { m[e.Instance] = e })
}

// Remove removes an entry after the lag.
func (l *List) Remove(name string) {
	l.applyAfterLag(func(m map[string]Entry) { delete(m, name) })
}

// MarkLeaving marks an instance as leaving after the lag.
func (l *List) MarkLeaving(name string) {
	l.applyAfterLag(func(m map[string]Entry) {
		if e, ok := m[name]; ok {
			e.Leaving = true
			m[name] = e
		}
	})
}

func (l *List) applyAfterLag(apply func(map[string]Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{time.Now().Add(l.lag), apply})
}

// Visible returns the entries that are visible now, sorted by instance name.
func (l *List) Visible() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.pending[0].apply(l.entries)
		l.pending = l.pending[1:]
	}
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// List returns the visible entries. It fails with UNAVAILABLE while the list is
// down.
func (l *List) List(context.Context, *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	if l.faults().Down {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("instance list is down"))
	}
	out := &pb.ListResponse{}
	for _, e := range l.Visible() {
		out.Instances = append(out.Instances, &pb.ListedInstance{
			Instance: e.Instance, DataCentre: e.DataCentre, PeerAddress: e.PeerAddress,
			PacketAddress: e.PacketAddress, OperatorAddress: e.OperatorAddress, Leaving: e.Leaving,
		})
	}
	return connect.NewResponse(out), nil
}

// ReadFile reads entries from a YAML file that lists them under the key
// "instances".
func ReadFile(file string) ([]Entry, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var content struct {
		Instances []Entry `yaml:"instances"`
	}
	if err := yaml.Unmarshal(b, &content); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return content.Instances, nil
}

// ParseEntry parses
// NAME/DATA_CENTRE/PEER_ADDRESS/PACKET_ADDRESS/OPERATOR_ADDRESS.
func ParseEntry(s string) (Entry, error) {
	fields := strings.Split(s, "/")
	if len(fields) != 5 {
		return Entry{}, fmt.Errorf("instance %q: want NAME/DATA_CENTRE/PEER_ADDRESS/PACKET_ADDRESS/OPERATOR_ADDRESS", s)
	}
	return Entry{Instance: fields[0], DataCentre: fields[1], PeerAddress: fields[2], PacketAddress: fields[3], OperatorAddress: fields[4]}, nil
}
