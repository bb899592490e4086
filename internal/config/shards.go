// Package config stores the configuration as content-addressed shards that one
// root object references. Editor changes it by a conditional update of the root,
// and Replica keeps an instance's copy of the newest version and exchanges it with
// peers. Each update of the root creates a version; a version is in force once all
// live instances use it.
package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

const (
	// RootKey is the store key of the root object.
	RootKey = "config/root"
	// MaxValueBytes is the maximum size of a stored object. It leaves room for the
	// framing of a call below the store's limit of 1 MB.
	MaxValueBytes = 1_000_000
	// shardSplitBytes is the size above which a shard is split. Larger shards make
	// an edit more expensive, because each changed shard is sent to all instances;
	// smaller ones make the root larger.
	shardSplitBytes = 16 << 10
)

// ShardKey returns the store key of a shard.
func ShardKey(hash string) string { return "config/shard/" + hash }

// The families of shards. A shard is named family/bits, where bits is the common
// prefix of its key hashes in binary; the only shard of the marks is marksName.
const (
	familyCallers  = "callers"
	familyPlans    = "plans"
	familyServices = "services"
	marksName      = "marks"
)

// ShardSet is the configuration, or some of its lists, as shards.
type ShardSet struct {
	// Refs is sorted by name.
	Refs []*pb.ShardRef
	// Shards contains the encoded ShardContent by hash.
	Shards map[string][]byte
}

// Split distributes content over shards. Each family is a binary tree over the key
// hashes of the items; a leaf that exceeds shardSplitBytes is split in two. A
// change of one item therefore changes one shard, or replaces it by two halves.
func Split(c lists.Content) (*ShardSet, error) { return splitItems(lists.Flatten(c)) }

func splitItems(items lists.Items) (*ShardSet, error) {
	families := map[string][]hashedItem{}
	for k, v := range items {
		f := familyOf(k.Kind)
		families[f] = append(families[f], hashedItem{keyHash(k), k, v, proto.Size(v) + maxItemOverheadBytes})
	}
	set := &ShardSet{Shards: map[string][]byte{}}
	for _, f := range []string{familyCallers, familyPlans, familyServices} {
		slices.SortFunc(families[f], func(a, b hashedItem) int { return cmp.Compare(a.hash, b.hash) })
		if err := set.splitFamily(f, "", families[f]); err != nil {
			return nil, err
		}
	}
	if len(families[marksName]) > 0 {
		if err := set.add(marksName, families[marksName]); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(set.Refs, func(a, b *pb.ShardRef) int { return strings.Compare(a.GetName(), b.GetName()) })
	return set, nil
}

// maxItemOverheadBytes is the maximum size of the field tag and length prefix of an
// item in its shard.
const maxItemOverheadBytes = 6

type hashedItem struct {
	hash  uint64
	key   lists.Key
	value proto.Message
	// bytes is the maximum encoded size.
	bytes int
}

func familyOf(k lists.Kind) string {
	switch k {
	case lists.KindCaller:
		return familyCallers
	case lists.KindPlan:
		return familyPlans
	case lists.KindService, lists.KindSite, lists.KindServer:
		return familyServices
	}
	return marksName
}

// keyHash returns the hash that determines the shard of an item. Items of one
// service are adjacent, so that adding a service changes few shards: the upper 32
// bits come from the service name and the lower 32 bits from the server name.
func keyHash(k lists.Key) uint64 {
	h := xxhash.Sum64String(k.Name)
	if familyOf(k.Kind) != familyServices {
		return h
	}
	if k.Kind != lists.KindServer {
		return h &^ (1<<32 - 1)
	}
	return h&^(1<<32-1) | xxhash.Sum64String(k.Sub)>>32
}

// splitFamily adds the shards of the items, which must be sorted by hash and whose
// hashes must begin with the given bits.
func (s *ShardSet) splitFamily(family, bits string, items []hashedItem) error {
	if len(items) == 0 {
		return nil
	}
	size := 0
	for _, it := range items {
		size += it.bytes
	}
	if size <= shardSplitBytes || len(items) == 1 || len(bits) == 64 {
		return s.add(family+"/"+bits, items)
	}
	mask := uint64(1) << (63 - len(bits))
	half := sort.Search(len(items), func(i int) bool { return items[i].hash&mask != 0 })
	if err := s.splitFamily(family, bits+"0", items[:half]); err != nil {
		return err
	}
	return s.splitFamily(family, bits+"1", items[half:])
}

func (s *ShardSet) add(name string, items []hashedItem) error {
	part := make(lists.Items, len(items))
	for _, it := range items {
		part[it.key] = it.value
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(shardContent(name, lists.Unflatten(part)))
	if err != nil {
		return err
	}
	if len(data) > MaxValueBytes {
		return &ValueTooLargeError{Object: "shard " + name, Bytes: len(data)}
	}
	hash := hashOf(data)
	s.Refs = append(s.Refs, &pb.ShardRef{Name: name, Hash: hash})
	s.Shards[hash] = data
	return nil
}

func shardContent(name string, c lists.Content) *pb.ShardContent {
	switch family, _, _ := strings.Cut(name, "/"); family {
	case familyCallers:
		return &pb.ShardContent{Body: &pb.ShardContent_Callers{Callers: c.Callers}}
	case familyPlans:
		return &pb.ShardContent{Body: &pb.ShardContent_Plans{Plans: &pb.PlanShard{Plans: c.Plans.GetPlans()}}}
	case familyServices:
		return &pb.ShardContent{Body: &pb.ShardContent_Services{Services: &pb.ServiceShard{Services: c.Plans.GetServices()}}}
	}
	return &pb.ShardContent{Body: &pb.ShardContent_Marks{Marks: c.Marks}}
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func verifyShard(hash string, data []byte) error {
	if got := hashOf(data); got != hash {
		return &CorruptObjectError{Object: "shard " + hash, Cause: fmt.Errorf("content hash is %s", got)}
	}
	return nil
}

// MissingShardsError reports that shards referenced by a root are not available.
type MissingShardsError struct {
	Hashes []string
}

func (e *MissingShardsError) Error() string {
	return fmt.Sprintf("%d referenced shards are missing", len(e.Hashes))
}

// Assemble returns the combined content of the referenced shards. It fails with
// *MissingShardsError or *CorruptObjectError.
func Assemble(refs []*pb.ShardRef, shard func(hash string) ([]byte, bool)) (lists.Content, error) {
	items, err := assembleItems(refs, shard)
	if err != nil {
		return lists.Content{}, err
	}
	return lists.Unflatten(items), nil
}

func assembleItems(refs []*pb.ShardRef, shard func(hash string) ([]byte, bool)) (lists.Items, error) {
	items := lists.Items{}
	var missing []string
	for _, ref := range refs {
		data, ok := shard(ref.GetHash())
		if !ok {
			missing = append(missing, ref.GetHash())
			continue
		}
		if err := decodeShardInto(items, ref.GetName(), data); err != nil {
			return nil, err
		}
	}
	if len(missing) > 0 {
		return nil, &MissingShardsError{Hashes: missing}
	}
	return items, nil
}

// diffRefs returns the changes from the content of one set of shards to that of
// another. It decodes only the shards that are not in both sets.
func diffRefs(from, to []*pb.ShardRef, shard func(hash string) ([]byte, bool)) ([]lists.Change, error) {
	inFrom, inTo := hashesByName(from), hashesByName(to)
	itemsNotIn := func(refs []*pb.ShardRef, others map[string]string) (lists.Items, error) {
		return assembleItems(slices.DeleteFunc(slices.Clone(refs), func(r *pb.ShardRef) bool {
			return others[r.GetName()] == r.GetHash()
		}), shard)
	}
	before, err := itemsNotIn(from, inTo)
	if err != nil {
		return nil, err
	}
	after, err := itemsNotIn(to, inFrom)
	if err != nil {
		return nil, err
	}
	return lists.Changes(before, after), nil
}

func decodeShardInto(items lists.Items, name string, data []byte) error {
	content := &pb.ShardContent{}
	if err := proto.Unmarshal(data, content); err != nil {
		return &CorruptObjectError{Object: "shard " + name, Cause: err}
	}
	part, err := flattenShard(content)
	if err != nil {
		return &CorruptObjectError{Object: "shard " + name, Cause: err}
	}
	for k, v := range part {
		if _, ok := items[k]; ok {
			return &CorruptObjectError{Object: "shard " + name, Cause: fmt.Errorf("item %s is also in another shard", k)}
		}
		items[k] = v
	}
	return nil
}

var errUnknownContent = errors.New("unknown content type")

func flattenShard(content *pb.ShardContent) (lists.Items, error) {
	switch body := content.GetBody().(type) {
	case *pb.ShardContent_Callers:
		return lists.Flatten(lists.Content{Callers: body.Callers}), nil
	case *pb.ShardContent_Plans:
		return lists.Flatten(lists.Content{Plans: &pb.PlanList{Plans: body.Plans.GetPlans()}}), nil
	case *pb.ShardContent_Services:
		return lists.FlattenPartialServices(body.Services.GetServices()), nil
	case *pb.ShardContent_Marks:
		return lists.Flatten(lists.Content{Marks: body.Marks}), nil
	}
	return nil, errUnknownContent
}
