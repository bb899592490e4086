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
	// maxReplyShardBytes bounds the shards in one reply to a peer.
	maxReplyShardBytes = 256 << 10
	// maxWantedShards bounds the hashes in one request, which take 66 bytes each.
	maxWantedShards = 64
	// requestTimeout is the pause before missing parts are asked for again, from
	// another peer.
	requestTimeout = 300 * time.Millisecond
	// announceFanout is the number of peers told of a new version; with 3, an
	// announcement reaches 94% of them, and the others learn it by comparePeriod.
	announceFanout = 3
	// compareInterval is the time between comparisons with one random peer.
	compareInterval = time.Second
	// watchersPerDataCentre is the number of instances of a data centre that watch the store.
	watchersPerDataCentre = 2
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

	current *Snapshot
	shards  map[string][]byte
	// pendingRoot is a newer root whose shards are not all at hand, or nil.
	pendingRoot *pb.Root
	missing     map[string]bool
	// rejectedVersion is the newest complete version that was not valid.
	rejectedVersion uint64
	lastErr         error
	// needFullRoot is set when a delta did not give the root that it should; the next
	// requests ask for the whole root.
	needFullRoot bool

	// highestSeen is the highest version heard of, at source.
	highestSeen  uint64
	updateSource model.InstanceID
	lastRequest  time.Time
	lastCompare  time.Time
}

// NewReplica returns a holder of version 0, which is empty.
func NewReplica(cfg ReplicaConfig) *Replica {
	catalog, _ := buildCatalog(0, lists.Content{})
	return &Replica{cfg: cfg, shards: map[string][]byte{}, missing: map[string]bool{},
		current: &Snapshot{Root: &pb.Root{}, Catalog: catalog}}
}

// Current returns the version held.
func (r *Replica) Current() *Snapshot { return r.current }

// Content puts the lists of the version held together. They are not kept,
// because they take as much memory as the catalog and only operators read them.
func (r *Replica) Content() lists.Content {
	// The shards were complete and decoded when the version became current.
	content, _ := Assemble(r.current.Root.GetShards(), r.Shard)
	return content
}

// LastError returns why a newer version is not in force here, or nil.
func (r *Replica) LastError() error { return r.lastErr }

// SetLive sets the live instances of the data centre.
func (r *Replica) SetLive(ids []model.InstanceID) { r.live = slices.Clone(ids) }

// WatchesStore says whether this instance watches the store: it has rendezvous rank
// 0 or 1 among the live instances and itself.
func (r *Replica) WatchesStore() bool {
	ids := r.live
	if !slices.Contains(ids, r.cfg.Self) {
		ids = append(slices.Clip(ids), r.cfg.Self)
	}
	key := rendezvous.NewKey("config-reader/"+string(r.cfg.DataCentre), 0)
	return slices.Contains(rendezvous.Ranked(key, ids, watchersPerDataCentre), r.cfg.Self)
}

// Shard returns a shard at hand.
func (r *Replica) Shard(hash string) ([]byte, bool) {
	data, ok := r.shards[hash]
	return data, ok
}

// MissingShards returns the shards that a newer root needs, in order.
func (r *Replica) MissingShards() []string {
	out := make([]string, 0, len(r.missing))
	for hash := range r.missing {
		out = append(out, hash)
	}
	slices.Sort(out)
	return out
}

// HandleStoreRoot takes the root object as read from the store. Older, equal and
// damaged ones are ignored. It reports whether Current changed; if not, Missing
// names the shards to read.
func (r *Replica) HandleStoreRoot(now time.Time, value []byte) (changed bool, announce []peer.Message) {
	root, err := DecodeRoot(value)
	if err != nil {
		r.lastErr = err
		return false, nil
	}
	return r.stageRoot(now, root)
}

// AddShards takes shards read from the store. Those that are not missing, or
// whose content does not match the hash, are ignored.
func (r *Replica) AddShards(now time.Time, shards map[string][]byte) (changed bool, announce []peer.Message) {
	for hash, data := range shards {
		if !r.missing[hash] {
			continue
		}
		if err := verifyShard(hash, data); err != nil {
			r.lastErr = err
			continue
		}
		r.shards[hash] = data
		delete(r.missing, hash)
	}
	return r.activatePending(now)
}

// stageRoot takes a verified root.
func (r *Replica) stageRoot(now time.Time, root *pb.Root) (bool, []peer.Message) {
	if root.GetVersion() <= max(r.current.Version, r.rejectedVersion) || root.GetVersion() <= r.pendingRoot.GetVersion() {
		return false, nil
	}
	r.pendingRoot = root
	r.highestSeen = max(r.highestSeen, root.GetVersion())
	clear(r.missing)
	for _, ref := range root.GetShards() {
		if _, ok := r.shards[ref.GetHash()]; !ok {
			r.missing[ref.GetHash()] = true
		}
	}
	return r.activatePending(now)
}

// activatePending makes the next root the version held when it is complete and valid.
func (r *Replica) activatePending(now time.Time) (bool, []peer.Message) {
	if r.pendingRoot == nil || len(r.missing) > 0 {
		return false, nil
	}
	root := r.pendingRoot
	r.pendingRoot = nil
	catalog, err := r.catalogFor(root)
	if err == nil {
		r.current, r.lastErr = &Snapshot{Version: root.GetVersion(), Root: root, Catalog: catalog}, nil
	}
	r.dropUnreferencedShards()
	if err != nil {
		r.rejectedVersion, r.lastErr = root.GetVersion(), err
		return false, nil
	}
	return true, r.announce()
}

// catalogFor returns the catalog of a complete root. A small change updates the
// catalog held: at 82,000 servers that takes a fraction of building it anew.
func (r *Replica) catalogFor(root *pb.Root) (*model.Catalog, error) {
	if changes, err := diffRefs(r.current.Root.GetShards(), root.GetShards(), r.Shard); err == nil && len(changes) <= lists.MaxUpdateChanges {
		if catalog, found := lists.UpdateCatalog(r.current.Catalog, root.GetVersion(), changes); len(found) == 0 {
			return catalog, nil
		}
	}
	content, err := Assemble(root.GetShards(), r.Shard)
	if err != nil {
		return nil, err
	}
	catalog, found := buildCatalog(root.GetVersion(), content)
	return catalog, found.Err()
}

// dropUnreferencedShards forgets the shards that the version held does not name.
func (r *Replica) dropUnreferencedShards() {
	named := make(map[string]bool, len(r.current.Root.GetShards()))
	for _, ref := range r.current.Root.GetShards() {
		named[ref.GetHash()] = true
	}
	for hash := range r.shards {
		if !named[hash] {
			delete(r.shards, hash)
		}
	}
}

// announce tells a few random peers the version held. A ConfigRequest tells it
// and lets a peer that is ahead reply.
func (r *Replica) announce() []peer.Message {
	return r.requestsTo(r.randomPeers(announceFanout), nil)
}

func (r *Replica) requestsTo(to []model.InstanceID, want []string) []peer.Message {
	var out []peer.Message
	have := r.current.Version
	if r.needFullRoot {
		have = 0
	}
	for _, id := range to {
		out = append(out, peer.Message{To: id, Body: &pb.PeerMessage{Body: &pb.PeerMessage_ConfigRequest{
			ConfigRequest: &pb.ConfigRequest{HaveVersion: have, WantShards: want}}}})
	}
	return out
}

func (r *Replica) randomPeers(n int) []model.InstanceID {
	var out []model.InstanceID
	for _, i := range r.cfg.Rand.Perm(len(r.live)) {
		if id := r.live[i]; id != r.cfg.Self && len(out) < n {
			out = append(out, id)
		}
	}
	return out
}

// ObservePeerVersion takes the version that a peer holds, from a heartbeat or summary, and
// asks for it when it is newer.
func (r *Replica) ObservePeerVersion(now time.Time, from model.InstanceID, version uint64) []peer.Message {
	if version <= max(r.highestSeen, r.current.Version, r.rejectedVersion) {
		return nil
	}
	r.highestSeen, r.updateSource, r.lastRequest = version, from, now
	return r.requestsTo([]model.InstanceID{from}, nil)
}

// Tick asks again for what did not arrive and compares versions with a random
// peer.
func (r *Replica) Tick(now time.Time) []peer.Message {
	if r.behind() && now.Sub(r.lastRequest) >= requestTimeout {
		r.lastRequest, r.lastCompare = now, now
		to := r.randomPeers(1)
		// The source may be in another data centre and the only one that has the
		// version, or may be gone; so it is asked every other time.
		if r.updateSource != "" && (len(to) == 0 || r.cfg.Rand.IntN(2) == 0) {
			to = []model.InstanceID{r.updateSource}
		}
		return r.requestsTo(to, r.shardsToRequest())
	}
	if now.Sub(r.lastCompare) >= compareInterval {
		r.lastCompare = now
		return r.requestsTo(r.randomPeers(1), nil)
	}
	return nil
}

func (r *Replica) behind() bool {
	return r.pendingRoot != nil || r.highestSeen > max(r.current.Version, r.rejectedVersion)
}

func (r *Replica) shardsToRequest() []string {
	missing := r.MissingShards()
	return missing[:min(len(missing), maxWantedShards)]
}

// HandleRequest answers a peer's request. A peer that is ahead is asked for its
// version instead.
func (r *Replica) HandleRequest(now time.Time, from model.InstanceID, req *pb.ConfigRequest) []peer.Message {
	out := r.ObservePeerVersion(now, from, req.GetHaveVersion())
	if req.GetHaveVersion() >= r.current.Version && len(req.GetWantShards()) == 0 {
		return out
	}
	reply := &pb.ConfigReply{}
	hashes := req.GetWantShards()
	if req.GetHaveVersion() < r.current.Version {
		var changed []string
		reply.Root, reply.BaseVersion, changed = r.rootUpdateFor(req.GetHaveVersion())
		hashes = append(slices.Clip(hashes), changed...)
	}
	have := map[string]bool{}
	for _, hash := range req.GetHaveShards() {
		have[hash] = true
	}
	size := 0
	for _, hash := range hashes {
		data, ok := r.shards[hash]
		if !ok || have[hash] {
			continue
		}
		have[hash] = true
		if size += len(data); size > maxReplyShardBytes && len(reply.Shards) > 0 {
			break
		}
		reply.Shards = append(reply.Shards, &pb.Shard{Hash: hash, Content: data})
	}
	return append(out, peer.Message{To: from, Body: &pb.PeerMessage{Body: &pb.PeerMessage_ConfigReply{ConfigReply: reply}}})
}

// rootUpdateFor returns the root held, as a delta when the peer's version is
// remembered, and the shards that the peer lacks.
func (r *Replica) rootUpdateFor(have uint64) (root *pb.Root, base uint64, hashes []string) {
	held := r.current.Root
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

var errDeltaBase = errors.New("delta to a version that is not held")

// HandleReply takes a peer's reply and reports whether Current changed. The
// messages ask the same peer for further shards, or announce the new version.
func (r *Replica) HandleReply(now time.Time, from model.InstanceID, reply *pb.ConfigReply) (changed bool, out []peer.Message) {
	if root := reply.GetRoot(); root.GetVersion() > max(r.current.Version, r.pendingRoot.GetVersion(), r.rejectedVersion) {
		full, err := r.expandDelta(root, reply.GetBaseVersion())
		switch {
		case errors.Is(err, errDeltaBase):
			// The version held has changed since the request; Tick asks again.
			return false, nil
		case err != nil:
			r.lastErr, r.needFullRoot = err, reply.GetBaseVersion() != 0
			return false, nil
		}
		r.updateSource, r.needFullRoot = from, false
		if changed, out = r.stageRoot(now, full); changed {
			return changed, out
		}
	}
	shards := make(map[string][]byte, len(reply.GetShards()))
	for _, s := range reply.GetShards() {
		shards[s.GetHash()] = s.GetContent()
	}
	before := len(r.missing)
	changed, out = r.AddShards(now, shards)
	if !changed && r.pendingRoot != nil && len(r.missing) < before {
		r.lastRequest = now
		out = r.requestsTo([]model.InstanceID{from}, r.shardsToRequest())
	}
	return changed, out
}

// expandDelta completes a delta with the version held and verifies the result.
func (r *Replica) expandDelta(root *pb.Root, base uint64) (*pb.Root, error) {
	if base != 0 {
		if base != r.current.Version {
			return nil, &CorruptObjectError{Object: "reply", Cause: errDeltaBase}
		}
		refs := refMap(r.current.Root.GetShards())
		applyRefs(refs, root.GetShards())
		root = proto.CloneOf(root)
		root.Shards = refList(refs)
		root.Edits = trimEdits(append(slices.Clip(r.current.Root.GetEdits()), root.GetEdits()...))
	}
	return root, verifyRoot(root)
}
