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

func newTestReplica(id model.InstanceID, live []model.InstanceID) *Replica {
	r := NewReplica(ReplicaConfig{Self: id, DataCentre: "norte", Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetLive(live)
	return r
}

// loadInto passes the newest version in the store to a replica, as an instance that
// watches the store does.
func (s *fakeStore) loadInto(r *Replica, now time.Time) (changed bool, out []peer.Message) {
	return s.loadRootInto(r, now, s.latest(RootKey).value)
}

// loadRootInto passes a root and the shards that it needs to a replica.
func (s *fakeStore) loadRootInto(r *Replica, now time.Time, root []byte) (changed bool, out []peer.Message) {
	changed, out = r.HandleStoreRoot(now, root)
	if missing := r.MissingShards(); len(missing) > 0 {
		shards := map[string][]byte{}
		for _, hash := range missing {
			shards[hash] = s.latest(ShardKey(hash)).value
		}
		changed, out = r.AddShards(now, shards)
	}
	return changed, out
}

func (s *fakeStore) publishVersions(t rapid.TB, n int) {
	for i := range n {
		c, root := s.content(t)
		callers := proto.CloneOf(c.Callers)
		callers.Callers[0].Prefixes = []string{fmt.Sprintf("10.%d.0.0/16", 100+(int(root.GetVersion())+i)%100)}
		id := fmt.Sprintf("more-%d", root.GetVersion())
		if _, err := runEdit(t, s, EditorConfig{}, Edit{ID: id, Operator: "o", BaseVersion: root.GetVersion(), Callers: callers}, inForceImmediately); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a return to an older version, and against a version that becomes
// current while parts are missing or corrupt.
func TestReplicaIgnoresStaleAndPartialReads(t *testing.T) {
	s := storeWithSamples(t)
	old := s.latest(RootKey).value
	s.publishVersions(t, 1)
	r := newTestReplica("a", nil)
	if changed, _ := s.loadInto(r, epoch); !changed || r.Current().Version != 2 || len(r.Current().Catalog.Callers) != 3 {
		t.Fatalf("has version %d, want 2 with 3 callers", r.Current().Version)
	}
	if changed, _ := s.loadRootInto(r, epoch, old); changed || r.Current().Version != 2 {
		t.Errorf("after an older root: version %d", r.Current().Version)
	}
	s.publishVersions(t, 1)
	root := s.latest(RootKey).value
	if changed, _ := r.HandleStoreRoot(epoch, root[:len(root)-1]); changed || r.LastError() == nil {
		t.Errorf("after a truncated root: version %d, last error %v", r.Current().Version, r.LastError())
	}
	if changed, _ := r.HandleStoreRoot(epoch, root); changed || len(r.MissingShards()) != 1 {
		t.Errorf("after a root without its shards: version %d, missing %v", r.Current().Version, r.MissingShards())
	}
	if changed, _ := r.AddShards(epoch, map[string][]byte{r.MissingShards()[0]: []byte("x")}); changed {
		t.Error("a corrupt shard was accepted")
	}
	if changed, _ := s.loadInto(r, epoch); !changed || r.Current().Version != 3 || r.LastError() != nil {
		t.Errorf("after a full read: version %d, last error %v", r.Current().Version, r.LastError())
	}
}

// Guards against a complete but invalid version that becomes current.
func TestReplicaRejectsInvalidVersion(t *testing.T) {
	s := storeWithSamples(t)
	r := newTestReplica("a", nil)
	s.loadInto(r, epoch)
	set, err := Split(contentWithUnknownPlan())
	if err != nil {
		t.Fatal(err)
	}
	root, _ := DecodeRoot(s.latest(RootKey).value)
	bad := nextRoot(root, set.Refs, &pb.EditRecord{Id: "bad"})
	value, _ := encodeRoot(bad)
	r.HandleStoreRoot(epoch, value)
	if changed, _ := r.AddShards(epoch, set.Shards); changed || r.Current().Version != 1 || r.LastError() == nil {
		t.Errorf("after an invalid version: version %d, last error %v", r.Current().Version, r.LastError())
	}
}

// Guards against an instance that stays on an old version because a delta does not
// apply to its root.
func TestCorruptDeltaIsReplacedByFullRoot(t *testing.T) {
	s := storeWithSamples(t)
	live := []model.InstanceID{"a", "b"}
	behind, ahead := newTestReplica("a", live), newTestReplica("b", live)
	s.loadInto(behind, epoch)
	s.publishVersions(t, 1)
	s.loadInto(ahead, epoch)
	reply := ahead.HandleRequest(epoch, "a", &pb.ConfigRequest{HaveVersion: 1})[0].Body.GetConfigReply()
	reply.Root.Shards[0].Name += "0"
	behind.ObservePeerVersion(epoch, "b", 2)
	if changed, _ := behind.HandleReply(epoch, "b", reply); changed {
		t.Fatal("a corrupt delta was accepted")
	}
	out := behind.Tick(epoch.Add(requestTimeout))
	for _, m := range ahead.HandleRequest(epoch, "a", out[0].Body.GetConfigRequest()) {
		behind.HandleReply(epoch, "b", m.Body.GetConfigReply())
	}
	if behind.Current().Version != 2 {
		t.Errorf("has version %d, want 2; last error %v", behind.Current().Version, behind.LastError())
	}
}

// Guards against a data centre that cannot reach the store, learns of a version from
// another data centre and requests it only from its own instances.
func TestVersionIsFetchedFromAnotherDataCentre(t *testing.T) {
	s := storeWithSamples(t)
	r, remote := newTestReplica("a", []model.InstanceID{"a", "b"}), newTestReplica("r", nil)
	s.loadInto(remote, epoch)
	now, out := epoch, r.ObservePeerVersion(epoch, "r", 1)
	out = out[:0] // the first request is lost
	for range 100 {
		for _, m := range out {
			if m.To != "r" {
				continue
			}
			for _, reply := range remote.HandleRequest(now, "a", m.Body.GetConfigRequest()) {
				r.HandleReply(now, "r", reply.Body.GetConfigReply())
			}
		}
		now = now.Add(requestTimeout)
		out = r.Tick(now)
	}
	if r.Current().Version != 1 {
		t.Errorf("has version %d, want 1", r.Current().Version)
	}
}

// Guards against a wrong number of instances that watch the store in a data centre.
func TestTwoInstancesWatchTheStore(t *testing.T) {
	var live []model.InstanceID
	for n := range 20 {
		live = append(live, model.InstanceID(fmt.Sprintf("e%d", n)))
		count := 0
		for _, id := range live {
			if newTestReplica(id, live).WatchesStore() {
				count++
			}
		}
		if count != min(n+1, 2) {
			t.Errorf("with %d live instances, %d watch the store", n+1, count)
		}
	}
}

// Guards against a version that does not reach all replicas, arrives with the wrong
// content or is replaced by an older one when messages are lost, repeated and
// reordered and instances restart without a version.
func TestVersionReachesAllReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storeWithSamples(t)
		live := []model.InstanceID{"a", "b", "c", "d", "e"}
		replicas := map[model.InstanceID]*Replica{}
		for _, id := range live {
			replicas[id] = newTestReplica(id, live)
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
			r := replicas[e.m.To]
			before := r.Current().Version
			switch body := e.m.Body.GetBody().(type) {
			case *pb.PeerMessage_ConfigRequest:
				post(e.m.To, r.HandleRequest(now, e.from, body.ConfigRequest))
			case *pb.PeerMessage_ConfigReply:
				_, out := r.HandleReply(now, e.from, body.ConfigReply)
				post(e.m.To, out)
			}
			if r.Current().Version < before {
				t.Fatalf("%s returned from version %d to %d", e.m.To, before, r.Current().Version)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			id := rapid.SampledFrom(live).Draw(t, "instance")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				s.publishVersions(t, rapid.IntRange(1, 3).Draw(t, "edits"))
			case 1:
				_, out := s.loadInto(replicas[id], now)
				post(id, out)
			case 2:
				replicas[id] = newTestReplica(id, live)
			case 3:
				wire = nil
			default:
				post(id, replicas[id].Tick(now))
				if len(wire) > 0 {
					i := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
					deliver(wire[i])
				}
			}
		}
		_, out := s.loadInto(replicas["a"], now)
		post("a", out)
		// In 600 rounds each of the 5 instances compares its version with a random
		// peer once per compareInterval. The probability that one of them misses the
		// version is negligible even over all checks.
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			for _, id := range live {
				post(id, replicas[id].Tick(now))
			}
			for _, e := range wire {
				wire = wire[1:]
				deliver(e)
			}
		}
		want, root := s.content(t)
		for _, id := range live {
			r := replicas[id]
			if r.Current().Version != root.GetVersion() || !proto.Equal(r.Content().Callers, want.Callers) || r.LastError() != nil {
				t.Fatalf("%s has version %d, want %d; last error %v", id, r.Current().Version, root.GetVersion(), r.LastError())
			}
		}
	})
}

// Guards against a corrupt message from a peer that crashes the process or is
// accepted as a version.
func FuzzReply(f *testing.F) {
	s := storeWithSamples(f)
	older := newTestReplica("b", nil)
	s.loadInto(older, epoch)
	s.publishVersions(f, 1)
	newer := newTestReplica("a", nil)
	s.loadInto(newer, epoch)
	for _, have := range []uint64{0, 1} {
		reply := newer.HandleRequest(epoch, "x", &pb.ConfigRequest{HaveVersion: have})[0].Body.GetConfigReply()
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
		r := newTestReplica("c", []model.InstanceID{"a", "c"})
		r.HandleStoreRoot(epoch, older.encodedRoot())
		r.AddShards(epoch, older.shards)
		changed, _ := r.HandleReply(epoch, "a", reply)
		r.Tick(epoch.Add(time.Second))
		if changed && (r.Current().Version != 2 || !proto.Equal(r.Content().Callers, want.Callers)) {
			t.Errorf("accepted version %d with other content than version 2", r.Current().Version)
		}
	})
}

func (r *Replica) encodedRoot() []byte {
	data, _ := proto.Marshal(r.current.Root)
	return data
}

// Guards against an accepted edit that reverts with the restart of all instances, and
// against edits that fail for ever: the store has returned from an older copy.
func TestLostVersionIsWrittenAgain(t *testing.T) {
	s := storeWithSamples(t)
	old := s.latest(RootKey).value
	s.publishVersions(t, 1)
	r := newTestReplica("a", nil)
	s.loadInto(r, epoch)
	if rewrite := r.RewriteFor(s.latest(RootKey).value); rewrite != nil {
		t.Fatalf("rewrite of the version that the store has: %+v", rewrite)
	}
	rewrite := r.RewriteFor(old)
	if rewrite == nil || rewrite.Version != 2 || len(rewrite.Shards) != 1 {
		t.Fatalf("after an older copy: %+v; want version 2 with the one shard that the copy lacks", rewrite)
	}
	if rewrite := r.RewriteFor(nil); rewrite == nil || len(rewrite.Shards) != len(r.Current().Root.GetShards()) {
		t.Fatalf("after an empty copy: %+v; want all shards", rewrite)
	}
	restored := newTestReplica("b", nil)
	restored.HandleStoreRoot(epoch, rewrite.Root)
	shards := map[string][]byte{}
	for _, hash := range restored.MissingShards() {
		shards[hash], _ = r.Shard(hash)
	}
	if changed, _ := restored.AddShards(epoch, shards); !changed || restored.Current().Version != 2 {
		t.Errorf("an instance that starts on the rewritten store has version %d", restored.Current().Version)
	}
}
