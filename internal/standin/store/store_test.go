package store

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
)

func start(t *testing.T) (*Store, cuminshiftv1connect.ObjectStoreClient, string) {
	t.Helper()
	s, srv, err := Start(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return s, cuminshiftv1connect.NewObjectStoreClient(http.DefaultClient, srv.URL()), srv.URL()
}

func put(t *testing.T, c cuminshiftv1connect.ObjectStoreClient, value string, ifVersion *uint64) (uint64, error) {
	t.Helper()
	r, err := c.Put(t.Context(), connect.NewRequest(&pb.PutRequest{Key: "k", Value: []byte(value), IfVersion: ifVersion}))
	if err != nil {
		return 0, err
	}
	return r.Msg.GetVersion(), nil
}

func get(t *testing.T, c cuminshiftv1connect.ObjectStoreClient) *pb.GetResponse {
	t.Helper()
	r, err := c.Get(t.Context(), connect.NewRequest(&pb.GetRequest{Key: "k"}))
	if err != nil {
		t.Fatal(err)
	}
	return r.Msg
}

// Guards against a conditional update that overwrites a concurrent one.
func TestConditionalUpdate(t *testing.T) {
	_, c, _ := start(t)
	if v, err := put(t, c, "a", proto.Uint64(0)); v != 1 || err != nil {
		t.Fatalf("first write: version %d, %v, want version 1", v, err)
	}
	if _, err := put(t, c, "b", proto.Uint64(0)); connect.CodeOf(err) != connect.CodeFailedPrecondition {
		t.Errorf("write with an outdated if_version: %v, want FAILED_PRECONDITION", err)
	}
	if v, err := put(t, c, "b", proto.Uint64(1)); v != 2 || err != nil {
		t.Errorf("write with the current if_version: version %d, %v, want version 2", v, err)
	}
}

// Guards against faults without the documented effect: a write with a lost
// answer must take effect, and a stale read must return the old object.
func TestFaults(t *testing.T) {
	s, c, url := start(t)
	if _, err := put(t, c, "a", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := http.Post(url+"/fault", "application/json", strings.NewReader(`{"lose_answers":1,"stale":true}`)); err != nil {
		t.Fatal(err)
	}
	if _, err := put(t, c, "b", nil); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("write with a lost answer: %v, want UNAVAILABLE", err)
	}
	if g := get(t, c); string(g.GetValue()) != "a" || g.GetVersion() != 1 {
		t.Errorf("stale read returned %q in version %d, want \"a\" in version 1", g.GetValue(), g.GetVersion())
	}
	s.SetFaults(Faults{})
	if g := get(t, c); string(g.GetValue()) != "b" || g.GetVersion() != 2 {
		t.Errorf("write with a lost answer did not take effect: %q in version %d", g.GetValue(), g.GetVersion())
	}
	s.SetFaults(Faults{Down: true})
	if _, err := put(t, c, "c", nil); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("write during an outage: %v, want UNAVAILABLE", err)
	}
}

// Guards against a watch that misses a write, and against one that does not end
// when the store goes down.
func TestWatch(t *testing.T) {
	s, c, _ := start(t)
	watch := func(after uint64, wait time.Duration) (*pb.GetResponse, error) {
		r, err := c.Watch(t.Context(), connect.NewRequest(&pb.WatchRequest{Key: "k", AfterVersion: after, WaitMs: uint32(wait.Milliseconds())}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	}
	if g, err := watch(0, 10*time.Millisecond); err != nil || g.GetVersion() != 0 {
		t.Errorf("watch without a write: %v, %v", g, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { _, _ = put(t, c, "a", nil) })
	if g, err := watch(0, 10*time.Second); err != nil || g.GetVersion() != 1 {
		t.Errorf("watch with a write: %v, %v", g, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { s.SetFaults(Faults{Down: true}) })
	if _, err := watch(1, 10*time.Second); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("watch during an outage: %v, want UNAVAILABLE", err)
	}
}
