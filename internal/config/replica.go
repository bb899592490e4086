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
	// maxReplyShardBytes bounds the total size of the shards in one reply to a peer;
	// a single larger shard is sent all the same.
	maxReplyShardBytes = 256 << 10
	// maxWantedShards bounds the shard hashes in one request; each takes 66 bytes.
	maxWantedShards = 64
	// requestTimeout is the time after which missing parts are requested again, from
	// another peer.
	requestTimeout = 300 * time.Millisecond
	// announceFanout is the number of peers to which a new version is announced.
	// With 3, an announcement reaches 94% of the instances; the others learn of the
	// version at the next comparison (compareInterval).
	announceFanout = 3
	// compareInterval is the time between comparisons of the version with that of a
	// random peer.
	compareInterval = time.Second
	// watchersPerDataCentre is the number of instances in a data centre that watch
	// the store; the others get new versions from peers.
	watchersPerDataCentre = 2
)

// Snapshot is a complete and valid version of the configuration. It is immutable.
type Snapshot struct {
	Version uint64
	Root    *pb.Root
	Catalog *model.Catalog
}

// ReplicaConfig holds the identity and the dependencies of a Replica.
type ReplicaConfig struct {
	Self       model.InstanceID
	DataCentre model.DataCentre
	Rand       *rand.Rand
}

// Replica is an instance's copy of the configuration. It keeps the newest valid
// version that it has received in full, and never returns to an older one. It is
// not safe for concurrent use.
type Replica struct {
	cfg  ReplicaConfig
	live []model.InstanceID

	current *Snapshot
	shards  map[string][]byte
	// pendingRoot is a newer root of which some shards are missing, or nil.
	pendingRoot *pb.Root
	missing     map[string]bool
	// rejectedVersion is the newest complete version that was not valid.
	rejectedVersion uint64
	// lastErr is the reason why a newer version could not be adopted, or nil.
	lastErr error
	// needFullRoot is true after a delta produced an invalid root; requests then ask
	// for the full root.
	needFullRoot bool

	// highestSeen is the highest version learned from a peer or the store.
	// updateSource is the peer that a newer version can be requested from, or empty.
	highestSeen  uint64
	updateSource model.InstanceID
	lastRequest  time.Time
	lastCompare  time.Time
}

// NewReplica returns a replica with the empty version 0.
func NewReplica(cfg ReplicaConfig) *Replica {
	catalog, _ := buildCatalog(0, lists.Content{})
	return &Replica{cfg: cfg, shards: map[string][]byte{}, missing: map[string]bool{},
		current: &Snapshot{Root: &pb.Root{}, Catalog: catalog}}
}

// Current returns the current version.
func (r *Replica) Current() *Snapshot { return r.current }

// Content returns the lists of the current version. They are assembled on each
// call, because keeping them would take as much memory as the catalog and only
// operators read them.
func (r *Replica) Content() lists.Content {
	// The shards were complete and decoded when the version became current.
	content, _ := Assemble(r.current.Root.GetShards(), r.Shard)
	return content
}

// LastError returns the reason why a newer version could not be adopted, or nil.
func (r *Replica) LastError() error { return r.lastErr }

// SetLive sets the instances of the data centre that are live.
func (r *Replica) SetLive(ids []model.InstanceID) { r.live = slices.Clone(ids) }

// WatchesStore reports whether this instance has to watch the store, that is,
// whether rendezvous hashing ranks it among the first watchersPerDataCentre of the
// live instances, itself included.
func (r *Replica) WatchesStore() bool {
	ids := r.live
	if !slices.Contains(ids, r.cfg.Self) {
		ids = append(slices.Clip(ids), r.cfg.Self)
	}
	key := rendezvous.NewKey("config-reader/"+string(r.cfg.DataCentre), 0)
	return slices.Contains(rendezvous.TopN(key, ids, watchersPerDataCentre), r.cfg.Self)
}

// Shard returns the shard with the hash, or false if the replica does not have it.
func (r *Replica) Shard(hash string) ([]byte, bool) {
	data, ok := r.shards[hash]
	return data, ok
}

// MissingShards returns the sorted hashes of the shards that are missing for a newer
// version.
func (r *Replica) MissingShards() []string {
	out := make([]string, 0, len(r.missing))
	for hash := range r.missing {
		out = append(out, hash)
	}
	slices.Sort(out)
	return out
}

// HandleStoreRoot processes the root object as read from the store. A root that is
// corrupt or not newer than the current version is ignored. changed reports whether
// Current changed; if not, MissingShards returns the shards to read. announce
// contains the messages that announce a changed version to peers.
func (r *Replica) HandleStoreRoot(now time.Time, value []byte) (changed bool, announce []peer.Message) {
	root, err := DecodeRoot(value)
	if err != nil {
		r.lastErr = err
		return false, nil
	}
	return r.stageRoot(now, root)
}

// Rewrite is what has to be written so that the store holds the current version again.
// The shards are written first, then the root on condition that its object has the
// version as of which it was read.
type Rewrite struct {
	// Version is the version of the configuration.
	Version uint64
	Shards  []*pb.Shard
	Root    []byte
}

// RewriteFor returns what has to be written to a store that has lost the current
// version, which is the case if the root in it is of an older one. A root that was
// read stale looks the same; the condition on its object then fails. RewriteFor
// returns nil if there is nothing to write.
func (r *Replica) RewriteFor(value []byte) *Rewrite {
	stored, err := DecodeRoot(value)
	if err != nil || stored.GetVersion() >= r.current.Version {
		return nil
	}
	root, err := encodeRoot(r.current.Root)
	if err != nil {
		r.lastErr = err
		return nil
	}
	set := &ShardSet{Refs: r.current.Root.GetShards(), Shards: r.shards}
	return &Rewrite{Version: r.current.Version, Shards: newShards(stored, set), Root: root}
}

// AddShards adds shards, by hash, that were read from the store. Shards that are not
// missing or do not match their hash are ignored. The results are those of
// HandleStoreRoot.
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

// stageRoot makes a verified root the pending one if it is newer than the current,
// the rejected and the pending version.
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

// activatePending makes the pending root the current version if it is complete and
// valid.
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

// catalogFor returns the catalog of a complete root. For a small change it updates
// the current catalog; with 82,000 servers that takes a fraction of the time of
// building a new one.
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

func (r *Replica) dropUnreferencedShards() {
	referenced := make(map[string]bool, len(r.current.Root.GetShards()))
	for _, ref := range r.current.Root.GetShards() {
		referenced[ref.GetHash()] = true
	}
	for hash := range r.shards {
		if !referenced[hash] {
			delete(r.shards, hash)
		}
	}
}

// announce announces the current version to a few random peers. It uses a
// ConfigRequest, so that a peer with a newer version replies with that.
func (r *Replica) announce() []peer.Message {
	return r.requestsTo(r.randomPeers(announceFanout), nil)
}

// requestsTo returns requests to the given peers. They contain the current version,
// or 0 if the full root is needed, and the hashes of the wanted shards.
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

// randomPeers returns up to n other live instances.
func (r *Replica) randomPeers(n int) []model.InstanceID {
	var out []model.InstanceID
	for _, i := range r.cfg.Rand.Perm(len(r.live)) {
		if id := r.live[i]; id != r.cfg.Self && len(out) < n {
			out = append(out, id)
		}
	}
	return out
}

// ObservePeerVersion processes the version of a peer, as reported by a heartbeat or
// summary, and requests it if it is newer than all versions seen.
func (r *Replica) ObservePeerVersion(now time.Time, from model.InstanceID, version uint64) []peer.Message {
	if version <= max(r.highestSeen, r.current.Version, r.rejectedVersion) {
		return nil
	}
	r.highestSeen, r.updateSource, r.lastRequest = version, from, now
	return r.requestsTo([]model.InstanceID{from}, nil)
}

// Tick repeats requests that time out, and periodically compares the version with
// that of a random peer.
func (r *Replica) Tick(now time.Time) []peer.Message {
	if r.behind() && now.Sub(r.lastRequest) >= requestTimeout {
		r.lastRequest, r.lastCompare = now, now
		to := r.randomPeers(1)
		// The source may be in another data centre and the only peer that has the
		// version, or it may have failed; so half of the requests go to it.
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

// HandleRequest returns the reply to a peer's request. If the peer has a newer
// version, the messages contain a request for that version.
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

// rootUpdateFor returns the current root for a peer whose version is have, and the
// hashes of the shards that the peer lacks. The root is a delta, with base equal to
// have, if the edit records reach back to that version; otherwise it is the full
// root, with base 0.
func (r *Replica) rootUpdateFor(have uint64) (root *pb.Root, base uint64, hashes []string) {
	current := r.current.Root
	refs, ok := RefsAt(current, have)
	if !ok || have == 0 {
		for _, ref := range current.GetShards() {
			hashes = append(hashes, ref.GetHash())
		}
		return current, 0, hashes
	}
	changes := refChanges(refs, current.GetShards())
	for _, ref := range changes {
		if ref.GetHash() != "" {
			hashes = append(hashes, ref.GetHash())
		}
	}
	edits := slices.Clone(current.GetEdits())
	edits = slices.DeleteFunc(edits, func(r *pb.EditRecord) bool { return r.GetVersion() <= have })
	return &pb.Root{Version: current.GetVersion(), Shards: changes, Edits: edits,
		Released: current.GetReleased(), Digest: current.GetDigest()}, have, hashes
}

var errDeltaBaseMismatch = errors.New("the base version of the delta is not the current version")

// HandleReply processes a peer's reply and reports whether Current changed. The
// messages request further shards from the same peer or announce the new version.
func (r *Replica) HandleReply(now time.Time, from model.InstanceID, reply *pb.ConfigReply) (changed bool, out []peer.Message) {
	if root := reply.GetRoot(); root.GetVersion() > max(r.current.Version, r.pendingRoot.GetVersion(), r.rejectedVersion) {
		full, err := r.expandDelta(root, reply.GetBaseVersion())
		switch {
		case errors.Is(err, errDeltaBaseMismatch):
			// The current version has changed since the request; Tick sends it again.
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

// expandDelta applies a delta to the current root and verifies the result. With
// base 0, root is a full root and is only verified.
func (r *Replica) expandDelta(root *pb.Root, base uint64) (*pb.Root, error) {
	if base != 0 {
		if base != r.current.Version {
			return nil, &CorruptObjectError{Object: "reply", Cause: errDeltaBaseMismatch}
		}
		refs := hashesByName(r.current.Root.GetShards())
		applyRefs(refs, root.GetShards())
		root = proto.CloneOf(root)
		root.Shards = sortedRefs(refs)
		root.Edits = trimEdits(append(slices.Clip(r.current.Root.GetEdits()), root.GetEdits()...))
	}
	return root, verifyRoot(root)
}
