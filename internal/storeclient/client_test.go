package storeclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"cuminshift/internal/config"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
)

// memoryStore is an object store in memory with fault injection.
type memoryStore struct {
	cuminshiftv1connect.UnimplementedObjectStoreHandler
	mu      sync.Mutex
	objects map[string]*pb.GetResponse
	// loseReplies is the number of writes of the root whose reply will be lost. The
	// connection is then closed, or stays open without a reply if hangOnLoss is set.
	loseReplies int
	hangOnLoss  bool
}

func (m *memoryStore) Get(_ context.Context, r *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.objects[r.Msg.GetKey()]
	return connect.NewResponse(&pb.GetResponse{Version: o.GetVersion(), Value: o.GetValue()}), nil
}

func (m *memoryStore) Put(ctx context.Context, r *connect.Request[pb.PutRequest]) (*connect.Response[pb.PutResponse], error) {
	version, lose, err := m.write(r.Msg)
	if lose && m.hangOnLoss {
		<-ctx.Done()
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&pb.PutResponse{Version: version}), err
}

func (m *memoryStore) write(r *pb.PutRequest) (version uint64, lose bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.objects[r.GetKey()]
	if r.IfVersion != nil && r.GetIfVersion() != o.GetVersion() {
		return 0, false, connect.NewError(connect.CodeFailedPrecondition, errors.New("version"))
	}
	o = &pb.GetResponse{Version: o.GetVersion() + 1, Value: r.GetValue()}
	m.objects[r.GetKey()] = o
	if lose = m.loseReplies > 0 && r.GetKey() == config.RootKey; lose {
		m.loseReplies--
	}
	return o.GetVersion(), lose, nil
}

// testTimeout is long, so that on a busy machine a late reply does not count as
// lost.
const testTimeout = 30 * time.Second

func serve(t *testing.T, h cuminshiftv1connect.ObjectStoreHandler, timeout time.Duration) (*Client, *httptest.Server) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewObjectStoreHandler(h))
	server := httptest.NewServer(mux)
	client := New(server.URL, timeout)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Guards against a lost reply that is reported as a call without effect, and against
// a refused connection that is reported as an unknown outcome.
func TestErrorTypeTellsWhetherWriteMayHaveTakenEffect(t *testing.T) {
	ctx := context.Background()
	m := &memoryStore{objects: map[string]*pb.GetResponse{}, loseReplies: 1}
	client, server := serve(t, m, testTimeout)

	var unknown *OutcomeUnknownError
	if _, err := client.Put(ctx, config.RootKey, []byte("w"), nil); !errors.As(err, &unknown) {
		t.Errorf("closed connection: got error %v, want OutcomeUnknownError", err)
	}
	hanging, _ := serve(t, &memoryStore{objects: map[string]*pb.GetResponse{}, loseReplies: 1, hangOnLoss: true}, 2*time.Second)
	if _, err := hanging.Put(ctx, config.RootKey, []byte("x"), nil); !errors.As(err, &unknown) {
		t.Errorf("hanging connection: got error %v, want OutcomeUnknownError", err)
	}
	if value, version, err := client.Get(ctx, config.RootKey); err != nil || version != 1 || string(value) != "w" {
		t.Errorf("read back: got %q, version %d, error %v", value, version, err)
	}
	var conflict *VersionMismatchError
	var absent uint64
	if _, err := client.Put(ctx, config.RootKey, []byte("y"), &absent); !errors.As(err, &conflict) {
		t.Errorf("version mismatch: got error %v, want VersionMismatchError", err)
	}
	server.Close()
	// A write on a kept connection that the server has just closed would have an
	// unknown outcome. Without kept connections the next call is refused, which
	// certainly has no effect.
	client.Close()
	var unavailable *UnavailableError
	if _, err := client.Put(ctx, config.RootKey, []byte("y"), nil); !errors.As(err, &unavailable) {
		t.Errorf("store down, write: got error %v, want UnavailableError", err)
	}
	if _, _, err := client.Get(ctx, config.RootKey); !errors.As(err, &unavailable) {
		t.Errorf("store down, read: got error %v, want UnavailableError", err)
	}
}

// Guards against a response that exhausts the memory of the instance.
func TestResponseIsBounded(t *testing.T) {
	m := &memoryStore{objects: map[string]*pb.GetResponse{"big": {Version: 1, Value: make([]byte, 2<<20)},
		"limit": {Version: 1, Value: make([]byte, 1<<20)}}}
	client, _ := serve(t, m, testTimeout)
	if _, _, err := client.Get(context.Background(), "big"); err == nil {
		t.Error("a response of 2 MB was accepted")
	}
	if value, _, err := client.Get(context.Background(), "limit"); err != nil || len(value) != 1<<20 {
		t.Errorf("response of 1 MB: got %d bytes, error %v", len(value), err)
	}
}

func testEdit(id string) config.Edit {
	return config.Edit{ID: id, Operator: "ana", Plans: &pb.PlanList{Plans: []*pb.PlanEntry{{Name: "gold"}}}}
}

func testEditor(id string, timeout time.Duration) *config.Editor {
	return config.NewEditor(config.EditorConfig{Deadline: time.Now().Add(timeout), Rand: rand.New(rand.NewPCG(1, 2))}, testEdit(id))
}

// Guards against an edit that is lost or applied twice because a reply of the store
// was lost, and against a store outage that is reported as any other error.
func TestRunEdit(t *testing.T) {
	ctx := context.Background()
	noneInForce := func(context.Context) uint64 { return 0 }
	m := &memoryStore{objects: map[string]*pb.GetResponse{}, loseReplies: 1}
	client, server := serve(t, m, testTimeout)
	done, err := RunEdit(ctx, client, testEditor("e1", testTimeout), noneInForce)
	if err != nil || done.Version != 1 {
		t.Fatalf("got %+v, error %v", done, err)
	}
	if done, err = RunEdit(ctx, client, testEditor("e1", testTimeout), noneInForce); err != nil || !done.AlreadyApplied || done.Version != 1 {
		t.Errorf("repeated edit: got %+v, error %v", done, err)
	}
	server.Close()
	var unavailable *config.StoreUnavailableError
	if _, err = RunEdit(ctx, client, testEditor("e2", 300*time.Millisecond), noneInForce); !errors.As(err, &unavailable) {
		t.Errorf("store down: got error %v, want StoreUnavailableError", err)
	}
}
