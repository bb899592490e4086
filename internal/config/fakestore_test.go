package config

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"time"

	"pgregory.net/rapid"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

var errFault = errors.New("injected fault")

type storedVersion struct {
	version uint64
	value   []byte
}

// fakeStore is a store in memory with fault injection.
type fakeStore struct {
	// objects contains all versions of each object, oldest first, for stale reads.
	objects map[string][]storedVersion
	// delayed contains the writes that have not taken effect yet.
	delayed []func()
	// fault chooses the fault of each call.
	fault func() fault
}

// fault is a fault of one store call. The order matters: reads fail with the faults
// above staleRead.
type fault int

const (
	noFault fault = iota
	unavailable
	staleRead
	requestLost  // the request is lost and has no effect
	replyLost    // the write takes effect and its response is lost
	writeDelayed // the response is lost and the write takes effect later
)

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]storedVersion{}, fault: func() fault { return noFault }}
}

func (s *fakeStore) latest(key string) storedVersion {
	if history := s.objects[key]; len(history) > 0 {
		return history[len(history)-1]
	}
	return storedVersion{}
}

func (s *fakeStore) get(key string, f fault) storedVersion {
	if history := s.objects[key]; f == staleRead && len(history) > 1 {
		return history[len(history)-2]
	}
	return s.latest(key)
}

func (s *fakeStore) put(key string, value []byte, ifVersion uint64) bool {
	if s.latest(key).version != ifVersion {
		return false
	}
	s.objects[key] = append(s.objects[key], storedVersion{ifVersion + 1, value})
	return true
}

func (s *fakeStore) perform(a Action) Result {
	f := s.fault()
	if f == unavailable {
		return StoreFailed{FailureUnavailable, errFault}
	}
	switch a := a.(type) {
	case ReadRoot:
		if f > staleRead {
			return StoreFailed{FailureUnavailable, errFault}
		}
		o := s.get(RootKey, f)
		return RootRead{o.version, o.value}
	case ReadShards:
		if f > staleRead {
			return StoreFailed{FailureUnavailable, errFault}
		}
		out := map[string][]byte{}
		for _, hash := range a.Hashes {
			if o := s.latest(ShardKey(hash)); o.version > 0 {
				out[hash] = o.value
			}
		}
		return ShardsRead{out}
	case WriteShards:
		for i, shard := range a.Shards {
			if f >= requestLost && i > 0 {
				return StoreFailed{FailureOutcomeUnknown, errFault}
			}
			s.put(ShardKey(shard.GetHash()), shard.GetContent(), 0)
		}
		return ShardsWritten{}
	case WriteRoot:
		switch f {
		case requestLost:
			return StoreFailed{FailureOutcomeUnknown, errFault}
		case writeDelayed:
			s.delayed = append(s.delayed, func() { s.put(RootKey, a.Value, a.IfVersion) })
			return StoreFailed{FailureOutcomeUnknown, errFault}
		}
		ok := s.put(RootKey, a.Value, a.IfVersion)
		switch {
		case f == replyLost:
			return StoreFailed{FailureOutcomeUnknown, errFault}
		case !ok:
			return StoreFailed{FailureVersionMismatch, errFault}
		}
		return RootWritten{}
	}
	panic(fmt.Sprintf("not a store action: %T", a))
}

// epoch is the start of the simulated time.
var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// runEdit runs an editor until its edit ends, on a simulated clock that advances by
// 1 ms per step. inForce returns the newest version in force, given the one that the
// editor waits for.
func runEdit(t rapid.TB, s *fakeStore, cfg EditorConfig, edit Edit, inForce func(wanted uint64) uint64) (Done, error) {
	t.Helper()
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if cfg.Deadline.IsZero() {
		cfg.Deadline = epoch.Add(6 * time.Second)
	}
	now, editor := epoch, NewEditor(cfg, edit)
	action := editor.Start(now)
	for range 100_000 {
		now = now.Add(time.Millisecond)
		var result Result
		switch a := action.(type) {
		case Done:
			return a, nil
		case Fail:
			return Done{}, a.Err
		case Wait:
			now, result = a.Until, Elapsed{}
		case QueryInForce:
			result = InForce{inForce(a.Version)}
		default:
			result = s.perform(a)
		}
		action = editor.Handle(now, result)
	}
	t.Fatal("the edit did not end within 100,000 steps")
	return Done{}, nil
}

// inForceImmediately puts each version in force as soon as it is published.
func inForceImmediately(wanted uint64) uint64 { return wanted }

func (s *fakeStore) content(t rapid.TB) (lists.Content, *pb.Root) {
	t.Helper()
	root, err := DecodeRoot(s.latest(RootKey).value)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Assemble(root.GetShards(), func(hash string) ([]byte, bool) {
		o := s.latest(ShardKey(hash))
		return o.value, o.version > 0
	})
	if err != nil {
		t.Fatal(err)
	}
	return c, root
}

func serverEntry(name, address string) *pb.ServerEntry {
	return &pb.ServerEntry{Name: name, Address: address, Slots: 3, Connections: 2000, ColdSlots: 1, ColdOpeningsPerSecond: 10}
}

// samplePlans returns the services campo and ordenes with two servers each.
func samplePlans() *pb.PlanList {
	return &pb.PlanList{
		Plans: []*pb.PlanEntry{{Name: "gold", Uses: []*pb.PlanUse{{Service: "campo", RequestsPerSecond: 100}}}},
		Services: []*pb.ServiceEntry{
			{Name: "campo", Objective: &pb.Objective{RefusedPpm: 1000}, Sites: []*pb.ServiceSite{{DataCentre: "norte",
				Address: "127.0.1.1:9000", Servers: []*pb.ServerEntry{serverEntry("s1", "127.0.2.1:9000"), serverEntry("s2", "127.0.2.2:9000")}}}},
			{Name: "ordenes", Sites: []*pb.ServiceSite{{DataCentre: "norte",
				Address: "127.0.1.2:9000", Servers: []*pb.ServerEntry{serverEntry("s1", "127.0.3.1:9000"), serverEntry("s2", "127.0.3.2:9000")}}}},
		},
	}
}

func sampleCallers(n int) *pb.CallerList {
	c := &pb.CallerList{}
	for i := range n {
		c.Callers = append(c.Callers, &pb.CallerEntry{Name: fmt.Sprintf("c%05d", i), Plan: "gold",
			Prefixes: []string{fmt.Sprintf("10.%d.%d.0/24", i/256, i%256)}})
	}
	return c
}

// storeWithSamples returns a store whose version 1 contains samplePlans and three
// sampleCallers.
func storeWithSamples(t rapid.TB) *fakeStore {
	t.Helper()
	s := newFakeStore()
	done, err := runEdit(t, s, EditorConfig{}, Edit{ID: "init", Operator: "ana", Callers: sampleCallers(3), Plans: samplePlans()}, inForceImmediately)
	if err != nil || done.Version != 1 {
		t.Fatalf("first edit: %+v, %v", done, err)
	}
	return s
}

// contentWithUnknownPlan returns invalid content, which no editor would publish: the
// plan of its caller does not exist.
func contentWithUnknownPlan() lists.Content {
	return lists.Content{Callers: &pb.CallerList{Callers: []*pb.CallerEntry{{Name: "x", Plan: "none", Prefixes: []string{"10.0.0.0/8"}}}}}
}
