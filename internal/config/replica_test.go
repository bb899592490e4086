package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

func newTestHolder(id model.InstanceID, live []model.InstanceID) *Replica {
	h := NewReplica(ReplicaConfig{Self: id, DataCentre: "norte", Rand: rand.New(rand.NewPCG(1, 2))})
	h.SetLive(live)
	return h
}

// load gives a holder the newest version of the store, as a reader does.
func (s *fakeStore) load(h *Replica, now time.Time) (changed bool, out []peer.Message) {
	return s.loadRoot(h, now, s.latest(RootKey).value)
}

func (s *fakeStore) loadRoot(h *Replica, now time.Time, root []byte) (changed bool, out []peer.Message) {
	changed, out = h.HandleStoreRoot(now, root)
	if missing := h.MissingShards(); len(missing) > 0 {
		shards := map[string][]byte{}
		for _, hash := range missing {
			shards[hash] = s.latest(ShardKey(hash)).value
		}
		changed, out = h.AddShards(now, shards)
	}
	return changed, out
}

// edits makes n versions in the store.
func (s *fakeStore) edits(t rapid.TB, n int) {
	for i := range n {
		c, root := s.content(t)
		callers := proto.CloneOf(c.Callers)
		callers.Callers[0].Prefixes = []string{fmt.Sprintf("10.%d.0.0/16", 100+(int(root.GetVersion())+i)%100)}
		id := fmt.Sprintf("more-%d", root.GetVersion())
		if _, err := run(t, s, EditorConfig{}, Edit{ID: id, Operator: "o", BaseVersion: root.GetVersion(), Callers: callers}, atOnce); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a version that goes back, or becomes current while parts are
// missing or damaged.
func TestHolderIgnoresStaleAndPartialReads(t *testing.T) {
	s := started(t)
	old := s.latest(RootKey).value
	s.edits(t, 1)
	h := newTestHolder("a", nil)
	if changed, _ := s.load(h, epoch); !changed || h.Current().Version != 2 || len(h.Current().Catalog.Callers) != 3 {
		t.Fatalf("holds version %d", h.Current().Version)
	}
	if changed, _ := s.loadRoot(h, epoch, old); changed || h.Current().Version != 2 {
		t.Errorf("an older root makes version %d", h.Current().Version)
	}
	s.edits(t, 1)
	root := s.latest(RootKey).value
	if changed, _ := h.HandleStoreRoot(epoch, root[:len(root)-1]); changed || h.LastError() == nil {
		t.Errorf("a cut root makes version %d, problem %v", h.Current().Version, h.LastError())
	}
	if changed, _ := h.HandleStoreRoot(epoch, root); changed || len(h.MissingShards()) != 1 {
		t.Errorf("a root without its shards: version %d, missing %v", h.Current().Version, h.MissingShards())
	}
	if changed, _ := h.AddShards(epoch, map[string][]byte{h.MissingShards()[0]: []byte("x")}); changed {
		t.Error("a damaged shard is taken")
	}
	if changed, _ := s.load(h, epoch); !changed || h.Current().Version != 3 || h.LastError() != nil {
		t.Errorf("holds version %d, problem %v", h.Current().Version, h.LastError())
	}
}

// Guards against a complete but invalid version coming into force.
func TestHolderRejectsInvalidVersion(t *testing.T) {
	s := started(t)
	h := newTestHolder("a", nil)
	s.load(h, epoch)
	set, err := Split(sampleWithDanglingPlan())
	if err != nil {
		t.Fatal(err)
	}
	root, _ := DecodeRoot(s.latest(RootKey).value)
	bad := nextRoot(root, set.Refs, &pb.EditRecord{Id: "bad"})
	value, _ := encodeRoot(bad)
	h.HandleStoreRoot(epoch, value)
	if changed, _ := h.AddShards(epoch, set.Shards); changed || h.Current().Version != 1 || h.LastError() == nil {
		t.Errorf("holds version %d, problem %v", h.Current().Version, h.LastError())
	}
}

// Guards against an instance that stays behind because a delta does not fit
// what it holds.
func TestDamagedDeltaIsReplacedByTheWholeRoot(t *testing.T) {
	s := started(t)
	live := []model.InstanceID{"a", "b"}
	behind, ahead := newTestHolder("a", live), newTestHolder("b", live)
	s.load(behind, epoch)
	s.edits(t, 1)
	s.load(ahead, epoch)
	reply := ahead.HandleRequest(epoch, "a", &pb.ConfigRequest{HaveVersion: 1})[0].Body.GetConfigReply()
	reply.Root.Shards[0].Name += "0"
	behind.ObservePeerVersion(epoch, "b", 2)
	if changed, _ := behind.HandleReply(epoch, "b", reply); changed {
		t.Fatal("a damaged delta is taken")
	}
	out := behind.Tick(epoch.Add(requestTimeout))
	for _, m := range ahead.HandleRequest(epoch, "a", out[0].Body.GetConfigRequest()) {
		behind.HandleReply(epoch, "b", m.Body.GetConfigReply())
	}
	if behind.Current().Version != 2 {
		t.Errorf("holds version %d, problem %v", behind.Current().Version, behind.LastError())
	}
}

// Guards against a data centre without the store that learns of a version from
// another data centre and asks only its own instances for it.
func TestVersionComesFromAnotherDataCentre(t *testing.T) {
	s := started(t)
	h, remote := newTestHolder("a", []model.InstanceID{"a", "b"}), newTestHolder("r", nil)
	s.load(remote, epoch)
	now, out := epoch, h.ObservePeerVersion(epoch, "r", 1)
	out = out[:0] // the first request is lost
	for range 100 {
		for _, m := range out {
			if m.To != "r" {
				continue
			}
			for _, reply := range remote.HandleRequest(now, "a", m.Body.GetConfigRequest()) {
				h.HandleReply(now, "r", reply.Body.GetConfigReply())
			}
		}
		now = now.Add(requestTimeout)
		out = h.Tick(now)
	}
	if h.Current().Version != 1 {
		t.Errorf("holds version %d", h.Current().Version)
	}
}

// Guards against a wrong number of store readers in a data centre.
func TestTwoReaders(t *testing.T) {
	var live []model.InstanceID
	for n := range 20 {
		live = append(live, model.InstanceID(fmt.Sprintf("e%d", n)))
		count := 0
		for _, id := range live {
			if newTestHolder(id, live).WatchesStore() {
				count++
			}
		}
		if count != min(n+1, 2) {
			t.Errorf("%d instances have %d readers", n+1, count)
		}
	}
}

// Guards against a version that does not spread, spreads wrongly or goes back
// when messages are lost, repeated and reordered and instances restart empty.
func TestVersionSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := started(t)
		live := []model.InstanceID{"a", "b", "c", "d", "e"}
		holders := map[model.InstanceID]*Replica{}
		for _, id := range live {
			holders[id] = newTestHolder(id, live)
		}
		type envelope struct {
			from model.InstanceID
			m    peer.Message
		}
		var wire []envelope
		now := epoch
		post := func(from model.InstanceID, out []peer.Message) {
			for _, m := range out {
				wire = append(wire, envelope{from, m})
			}
		}
		deliver := func(e envelope) {
			h := holders[e.m.To]
			before := h.Current().Version
			switch body := e.m.Body.GetBody().(type) {
			case *pb.PeerMessage_ConfigRequest:
				post(e.m.To, h.HandleRequest(now, e.from, body.ConfigRequest))
			case *pb.PeerMessage_ConfigReply:
				_, out := h.HandleReply(now, e.from, body.ConfigReply)
				post(e.m.To, out)
			}
			if h.Current().Version < before {
				t.Fatalf("%s went from version %d to %d", e.m.To, before, h.Current().Version)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			id := rapid.SampledFrom(live).Draw(t, "instance")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				s.edits(t, rapid.IntRange(1, 3).Draw(t, "edits"))
			case 1:
				_, out := s.load(holders[id], now)
				post(id, out)
			case 2:
				holders[id] = newTestHolder(id, live)
			case 3:
				wire = nil
			default:
				post(id, holders[id].Tick(now))
				if len(wire) > 0 {
					i := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
					deliver(wire[i])
				}
			}
		}
		_, out := s.load(holders["a"], now)
		post("a", out)
		// comparePeriod bounds the rounds in which 5 instances meet with
		// certainty far beyond the number of checks.
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			for _, id := range live {
				post(id, holders[id].Tick(now))
			}
			for _, e := range wire {
				wire = wire[1:]
				deliver(e)
			}
		}
		want, root := s.content(t)
		for _, id := range live {
			h := holders[id]
			if h.Current().Version != root.GetVersion() || !proto.Equal(h.Content().Callers, want.Callers) || h.LastError() != nil {
				t.Fatalf("%s holds version %d of %d, problem %v", id, h.Current().Version, root.GetVersion(), h.LastError())
			}
		}
	})
}

// Guards against a damaged message from a peer that stops the process, or is
// taken for a version.
func FuzzReply(f *testing.F) {
	s := started(f)
	source := newTestHolder("b", nil)
	s.load(source, epoch)
	s.edits(f, 1)
	old := newTestHolder("a", nil)
	s.load(old, epoch)
	for _, have := range []uint64{0, 1} {
		reply := old.HandleRequest(epoch, "x", &pb.ConfigRequest{HaveVersion: have})[0].Body.GetConfigReply()
		data, err := proto.Marshal(reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	want, _ := s.content(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		reply := &pb.ConfigReply{}
		if proto.Unmarshal(data, reply) != nil {
			return
		}
		h := newTestHolder("c", []model.InstanceID{"a", "c"})
		h.HandleStoreRoot(epoch, source.encoded())
		h.AddShards(epoch, source.shards)
		changed, _ := h.HandleReply(epoch, "a", reply)
		h.Tick(epoch.Add(time.Second))
		if changed && (h.Current().Version != 2 || !proto.Equal(h.Content().Callers, want.Callers)) {
			t.Errorf("took version %d", h.Current().Version)
		}
	})
}

func (h *Replica) encoded() []byte {
	data, _ := proto.Marshal(h.held.Root)
	return data
}
