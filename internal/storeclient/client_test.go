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

// memoryStore is a store in memoryStore with one fault at a time.
type memoryStore struct {
	cuminshiftv1connect.UnimplementedObjectStoreHandler
	mu      sync.Mutex
	objects map[string]*pb.GetResponse
	// loseReplies is the number of writes of the root whose answer is lost: the
	// connection breaks, or with hang stays silent.
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

// testTimeout is long, because a busy machine must not turn an answer into a
// lost one.
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

// Guards against a lost answer that is reported as "nothing was changed", and a
// refused connection that is reported as an unknown outcome.
func TestErrorTypeTellsWhetherWriteMayHaveTakenEffect(t *testing.T) {
	ctx := context.Background()
	m := &memoryStore{objects: map[string]*pb.GetResponse{}, loseReplies: 1}
	client, server := serve(t, m, testTimeout)

	var unknown *OutcomeUnknownError
	if _, err := client.Put(ctx, config.RootKey, []byte("w"), nil); !errors.As(err, &unknown) {
		t.Errorf("broken connection: %v", err)
	}
	silent, _ := serve(t, &memoryStore{objects: map[string]*pb.GetResponse{}, loseReplies: 1, hangOnLoss: true}, 2*time.Second)
	if _, err := silent.Put(ctx, config.RootKey, []byte("x"), nil); !errors.As(err, &unknown) {
		t.Errorf("silent connection: %v", err)
	}
	if value, version, err := client.Get(ctx, config.RootKey); err != nil || version != 1 || string(value) != "w" {
		t.Errorf("read back %q, %d, %v", value, version, err)
	}
	var conflict *VersionMismatchError
	var absent uint64
	if _, err := client.Put(ctx, config.RootKey, []byte("y"), &absent); !errors.As(err, &conflict) {
		t.Errorf("version mismatch: %v", err)
	}
	server.Close()
	// A write on a connection that the store has just closed is rightly an
	// unknown outcome; only a refused connection is certain.
	client.Close()
	var unavailable *UnavailableError
	if _, err := client.Put(ctx, config.RootKey, []byte("y"), nil); !errors.As(err, &unavailable) {
		t.Errorf("store down, write: %v", err)
	}
	if _, _, err := client.Get(ctx, config.RootKey); !errors.As(err, &unavailable) {
		t.Errorf("store down, read: %v", err)
	}
}

// Guards against an answer that fills the instance's memory.
func TestResponseIsBounded(t *testing.T) {
	m := &memoryStore{objects: map[string]*pb.GetResponse{"big": {Version: 1, Value: make([]byte, 2<<20)},
		"limit": {Version: 1, Value: make([]byte, 1<<20)}}}
	client, _ := serve(t, m, testTimeout)
	if _, _, err := client.Get(context.Background(), "big"); err == nil {
		t.Error("2 MB are accepted")
	}
	if value, _, err := client.Get(context.Background(), "limit"); err != nil || len(value) != 1<<20 {
		t.Errorf("1 MB: %d bytes, %v", len(value), err)
	}
}

func testEdit(id string) config.Edit {
	return config.Edit{ID: id, Operator: "ana", Plans: &pb.PlanList{Plans: []*pb.PlanEntry{{Name: "gold"}}}}
}

func testEditor(id string, limit time.Duration) *config.Editor {
	return config.NewEditor(config.EditorConfig{Deadline: time.Now().Add(limit), Rand: rand.New(rand.NewPCG(1, 2))}, testEdit(id))
}

// Guards against a driver that loses an edit whose answer was lost, or reports
// an outage as anything else.
func TestRunEdit(t *testing.T) {
	ctx := context.Background()
	none := func(context.Context) uint64 { return 0 }
	m := &memoryStore{objects: map[string]*pb.GetResponse{}, loseReplies: 1}
	client, server := serve(t, m, testTimeout)
	done, err := RunEdit(ctx, client, testEditor("e1", testTimeout), none)
	if err != nil || done.Version != 1 {
		t.Fatalf("got %+v, %v", done, err)
	}
	if done, err = RunEdit(ctx, client, testEditor("e1", testTimeout), none); err != nil || !done.AlreadyApplied || done.Version != 1 {
		t.Errorf("repeated: %+v, %v", done, err)
	}
	server.Close()
	var out *config.StoreUnavailableError
	if _, err = RunEdit(ctx, client, testEditor("e2", 300*time.Millisecond), none); !errors.As(err, &out) {
		t.Errorf("store down: %v", err)
	}
}
