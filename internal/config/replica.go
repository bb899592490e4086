package config

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/rendezvous"
)

const (
	// replyBytes bounds the shards in one reply to a peer.
	replyBytes = 256 << 10
	// wantHashes bounds the hashes in one request, which take 66 bytes each.
	wantHashes = 64
	// requestTimeout is the pause before missing parts are asked for again, from
	// another peer.
	requestTimeout = 300 * time.Millisecond
	// announceFanout is the number of peers told of a new version; with 3, an
	// announcement reaches 94% of them, and the others learn it by comparePeriod.
	announceFanout = 3
	// comparePeriod is the time between comparisons with one random peer.
	comparePeriod = time.Second
	// readers is the number of instances of a data centre that watch the store.
	readers = 2
)

// Snapshot is one complete and valid version. It is immutable.
type Snapshot struct {
	Version uint64
	Root    *pb.Root
	Catalog *model.Catalog
}

// ReplicaConfig holds the surroundings of a Holder.
type ReplicaConfig struct {
	Self       model.InstanceID
	DataCentre model.DataCentre
	Rand       *rand.Rand
}

// Replica keeps the newest version that an instance has seen; versions only go
// forward. It is not safe for concurrent use.
type Replica struct {
	cfg  ReplicaConfig
	live []model.InstanceID

	held   *Snapshot
	shards map[string][]byte
	// next is a newer root whose shards are not all at hand, or nil.
	next    *pb.Root
	missing map[string]bool
	// rejected is the newest complete version that was not valid.
	rejected uint64
	problem  error
	// needFull is set when a delta did not give the root that it should; the next
	// requests ask for the whole root.
	needFull bool

	// newest is the highest version heard of, at source.
	newest  uint64
	source  model.InstanceID
	asked   time.Time
	compare time.Time
}

// NewReplica returns a holder of version 0, which is empty.
func NewReplica(cfg ReplicaConfig) *Replica {
	catalog, _ := buildCatalog(0, lists.Content{})
	return &Replica{cfg: cfg, shards: map[string][]byte{}, missing: map[string]bool{},
		held: &Snapshot{Root: &pb.Root{}, Catalog: catalog}}
}

// Current returns the version held.
func (h *Replica) Current() *Snapshot { return h.held }

// Content puts the lists of the version held together. They are not kept,
// because they take as much memory as the catalog and only operators read them.
func (h *Replica) Content() lists.Content {
	// The shards were complete and decoded when the version became current.
	content, _ := Assemble(h.held.Root.GetShards(), h.Shard)
	return content
}

// LastError returns why a newer version is not in force here, or nil.
func (h *Replica) LastError() error { return h.problem }

// SetLive sets the live instances of the data centre.
func (h *Replica) SetLive(ids []model.InstanceID) { h.live = slices.Clone(ids) }

// WatchesStore says whether this instance watches the store: it has rendezvous rank
// 0 or 1 among the live instances and itself.
func (h *Replica) WatchesStore() bool {
	ids := h.live
	if !slices.Contains(ids, h.cfg.Self) {
		ids = append(slices.Clip(ids), h.cfg.Self)
	}
	key := rendezvous.NewKey("config-reader/"+string(h.cfg.DataCentre), 0)
	return slices.Contains(rendezvous.Ranked(key, ids, readers), h.cfg.Self)
}

// Shard returns a shard at hand.
func (h *Replica) Shard(hash string) ([]byte, bool) {
	data, ok := h.shards[hash]
	return data, ok
}

// MissingShards returns the shards that a newer root needs, in order.
func (h *Replica) MissingShards() []string {
	out := make([]string, 0, len(h.missing))
	for hash := range h.missing {
		out = append(out, hash)
	}
	slices.Sort(out)
	return out
}

// HandleStoreRoot takes the root object as read from the store. Older, equal and
// damaged ones are ignored. It reports whether Current changed; if not, Missing
// names the shards to read.
func (h *Replica) HandleStoreRoot(now time.Time, value []byte) (changed bool, announce []peer.Message) {
	root, err := DecodeRoot(value)
	if err != nil {
		h.problem = err
		return false, nil
	}
	return h.offer(now, root)
}

// AddShards takes shards read from the store. Those that are not missing, or
// whose content does not match the hash, are ignored.
func (h *Replica) AddShards(now time.Time, shards map[string][]byte) (changed bool, announce []peer.Message) {
	for hash, data := range shards {
		if !h.missing[hash] {
			continue
		}
		if err := verifyShard(hash, data); err != nil {
			h.problem = err
			continue
		}
		h.shards[hash] = data
		delete(h.missing, hash)
	}
	return h.advance(now)
}

// offer takes a verified root.
func (h *Replica) offer(now time.Time, root *pb.Root) (bool, []peer.Message) {
	if root.GetVersion() <= max(h.held.Version, h.rejected) || root.GetVersion() <= h.next.GetVersion() {
		return false, nil
	}
	h.next = root
	h.newest = max(h.newest, root.GetVersion())
	clear(h.missing)
	for _, ref := range root.GetShards() {
		if _, ok := h.shards[ref.GetHash()]; !ok {
			h.missing[ref.GetHash()] = true
		}
	}
	return h.advance(now)
}

// advance makes the next root the version held when it is complete and valid.
func (h *Replica) advance(now time.Time) (bool, []peer.Message) {
	if h.next == nil || len(h.missing) > 0 {
		return false, nil
	}
	root := h.next
	h.next = nil
	catalog, err := h.catalogOf(root)
	if err == nil {
		h.held, h.problem = &Snapshot{Version: root.GetVersion(), Root: root, Catalog: catalog}, nil
	}
	h.dropShards()
	if err != nil {
		h.rejected, h.problem = root.GetVersion(), err
		return false, nil
	}
	return true, h.announce()
}

// catalogOf returns the catalog of a complete root. A small change updates the
// catalog held: at 82,000 servers that takes a fraction of building it anew.
func (h *Replica) catalogOf(root *pb.Root) (*model.Catalog, error) {
	if changes, err := diffRefs(h.held.Root.GetShards(), root.GetShards(), h.Shard); err == nil && len(changes) <= lists.MaxUpdateChanges {
		if catalog, found := lists.UpdateCatalog(h.held.Catalog, root.GetVersion(), changes); len(found) == 0 {
			return catalog, nil
		}
	}
	content, err := Assemble(root.GetShards(), h.Shard)
	if err != nil {
		return nil, err
	}
	catalog, found := buildCatalog(root.GetVersion(), content)
	return catalog, found.Err()
}

// dropShards forgets the shards that the version held does not name.
func (h *Replica) dropShards() {
	named := make(map[string]bool, len(h.held.Root.GetShards()))
	for _, ref := range h.held.Root.GetShards() {
		named[ref.GetHash()] = true
	}
	for hash := range h.shards {
		if !named[hash] {
			delete(h.shards, hash)
		}
	}
}

// announce tells a few random peers the version held. A ConfigRequest tells it
// and lets a peer that is ahead reply.
func (h *Replica) announce() []peer.Message {
	return h.requestsTo(h.randomPeers(announceFanout), nil)
}

func (h *Replica) requestsTo(to []model.InstanceID, want []string) []peer.Message {
	var out []peer.Message
	have := h.held.Version
	if h.needFull {
		have = 0
	}
	for _, id := range to {
		out = append(out, peer.Message{To: id, Body: &pb.PeerMessage{Body: &pb.PeerMessage_ConfigRequest{
			ConfigRequest: &pb.ConfigRequest{HaveVersion: have, WantShards: want}}}})
	}
	return out
}

func (h *Replica) randomPeers(n int) []model.InstanceID {
	var out []model.InstanceID
	for _, i := range h.cfg.Rand.Perm(len(h.live)) {
		if id := h.live[i]; id != h.cfg.Self && len(out) < n {
			out = append(out, id)
		}
	}
	return out
}

// ObservePeerVersion takes the version that a peer holds, from a heartbeat or summary, and
// asks for it when it is newer.
func (h *Replica) ObservePeerVersion(now time.Time, from model.InstanceID, version uint64) []peer.Message {
	if version <= max(h.newest, h.held.Version, h.rejected) {
		return nil
	}
	h.newest, h.source, h.asked = version, from, now
	return h.requestsTo([]model.InstanceID{from}, nil)
}

// Tick asks again for what did not arrive and compares versions with a random
// peer.
func (h *Replica) Tick(now time.Time) []peer.Message {
	if h.behind() && now.Sub(h.asked) >= requestTimeout {
		h.asked, h.compare = now, now
		to := h.randomPeers(1)
		// The source may be in another data centre and the only one that has the
		// version, or may be gone; so it is asked every other time.
		if h.source != "" && (len(to) == 0 || h.cfg.Rand.IntN(2) == 0) {
			to = []model.InstanceID{h.source}
		}
		return h.requestsTo(to, h.wants())
	}
	if now.Sub(h.compare) >= comparePeriod {
		h.compare = now
		return h.requestsTo(h.randomPeers(1), nil)
	}
	return nil
}

func (h *Replica) behind() bool {
	return h.next != nil || h.newest > max(h.held.Version, h.rejected)
}

func (h *Replica) wants() []string {
	missing := h.MissingShards()
	return missing[:min(len(missing), wantHashes)]
}

// HandleRequest answers a peer's request. A peer that is ahead is asked for its
// version instead.
func (h *Replica) HandleRequest(now time.Time, from model.InstanceID, req *pb.ConfigRequest) []peer.Message {
	out := h.ObservePeerVersion(now, from, req.GetHaveVersion())
	if req.GetHaveVersion() >= h.held.Version && len(req.GetWantShards()) == 0 {
		return out
	}
	reply := &pb.ConfigReply{}
	hashes := req.GetWantShards()
	if req.GetHaveVersion() < h.held.Version {
		var changed []string
		reply.Root, reply.BaseVersion, changed = h.rootFor(req.GetHaveVersion())
		hashes = append(slices.Clip(hashes), changed...)
	}
	have := map[string]bool{}
	for _, hash := range req.GetHaveShards() {
		have[hash] = true
	}
	size := 0
	for _, hash := range hashes {
		data, ok := h.shards[hash]
		if !ok || have[hash] {
			continue
		}
		have[hash] = true
		if size += len(data); size > replyBytes && len(reply.Shards) > 0 {
			break
		}
		reply.Shards = append(reply.Shards, &pb.Shard{Hash: hash, Content: data})
	}
	return append(out, peer.Message{To: from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_ConfigReply{ConfigReply: reply}}})
}

// rootFor returns the root held, as a delta when the peer's version is
// remembered, and the shards that the peer lacks.
func (h *Replica) rootFor(have uint64) (root *pb.Root, base uint64, hashes []string) {
	held := h.held.Root
	refs, ok := RefsAt(held, have)
	if !ok || have == 0 {
		for _, ref := range held.GetShards() {
			hashes = append(hashes, ref.GetHash())
		}
		return held, 0, hashes
	}
	changes := refChanges(refs, held.GetShards())
	for _, ref := range changes {
		if ref.GetHash() != "" {
			hashes = append(hashes, ref.GetHash())
		}
	}
	edits := slices.Clone(held.GetEdits())
	edits = slices.DeleteFunc(edits, func(r *pb.EditRecord) bool { return r.GetVersion() <= have })
	return &pb.Root{Version: held.GetVersion(), Shards: changes, Edits: edits,
		Released: held.GetReleased(), Digest: held.GetDigest()}, have, hashes
}

var errOtherBase = errors.New("delta to a version that is not held")

// HandleReply takes a peer's reply and reports whether Current changed. The
// messages ask the same peer for further shards, or announce the new version.
func (h *Replica) HandleReply(now time.Time, from model.InstanceID, reply *pb.ConfigReply) (changed bool, out []peer.Message) {
	if root := reply.GetRoot(); root.GetVersion() > max(h.held.Version, h.next.GetVersion(), h.rejected) {
		full, err := h.fullRoot(root, reply.GetBaseVersion())
		switch {
		case errors.Is(err, errOtherBase):
			// The version held has changed since the request; Tick asks again.
			return false, nil
		case err != nil:
			h.problem, h.needFull = err, reply.GetBaseVersion() != 0
			return false, nil
		}
		h.source, h.needFull = from, false
		if changed, out = h.offer(now, full); changed {
			return changed, out
		}
	}
	shards := make(map[string][]byte, len(reply.GetShards()))
	for _, s := range reply.GetShards() {
		shards[s.GetHash()] = s.GetContent()
	}
	before := len(h.missing)
	changed, out = h.AddShards(now, shards)
	if !changed && h.next != nil && len(h.missing) < before {
		h.asked = now
		out = h.requestsTo([]model.InstanceID{from}, h.wants())
	}
	return changed, out
}

// fullRoot completes a delta with the version held and verifies the result.
func (h *Replica) fullRoot(root *pb.Root, base uint64) (*pb.Root, error) {
	if base != 0 {
		if base != h.held.Version {
			return nil, &CorruptObjectError{Object: "reply", Cause: errOtherBase}
		}
		refs := refMap(h.held.Root.GetShards())
		applyRefs(refs, root.GetShards())
		root = proto.CloneOf(root)
		root.Shards = refList(refs)
		root.Edits = trimEdits(append(slices.Clip(h.held.Root.GetEdits()), root.GetEdits()...))
	}
	return root, verifyRoot(root)
}
