package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

const (
	// maxEditRecords is the maximum number of edit records in the root; they cover
	// 1.4 h at 8,500 edits a day. An edit based on an older version is refused.
	maxEditRecords = 512
	// maxEditRecordBytes bounds the total size of the edit records, so that the root
	// has room for the number of shard references that is expected within two years.
	maxEditRecordBytes = 300_000
	// maxRecordFieldBytes bounds an edit's ID, operator and summary, each.
	maxRecordFieldBytes = 256
)

// digestOf returns a digest of the version number and its shard references. It
// leaves out the edit records, which are only history.
func digestOf(version uint64, refs []*pb.ShardRef) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", version)
	for _, r := range refs {
		fmt.Fprintf(h, "%s %s\n", r.GetName(), r.GetHash())
	}
	return hex.EncodeToString(h.Sum(nil))
}

var (
	errDigestMismatch = errors.New("digest mismatch")
	errRefsUnordered  = errors.New("shard references are not sorted by name")
)

// DecodeRoot decodes and verifies the root object. An empty value is the empty root
// of version 0.
func DecodeRoot(value []byte) (*pb.Root, error) {
	root := &pb.Root{}
	if len(value) == 0 {
		return root, nil
	}
	if err := proto.Unmarshal(value, root); err != nil {
		return nil, &CorruptObjectError{Object: "root", Cause: err}
	}
	return root, verifyRoot(root)
}

func verifyRoot(root *pb.Root) error {
	refs := root.GetShards()
	for i := 1; i < len(refs); i++ {
		if refs[i-1].GetName() >= refs[i].GetName() {
			return &CorruptObjectError{Object: "root", Cause: errRefsUnordered}
		}
	}
	if root.GetDigest() != digestOf(root.GetVersion(), refs) {
		return &CorruptObjectError{Object: "root", Cause: errDigestMismatch}
	}
	return nil
}

func encodeRoot(root *pb.Root) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(root)
	if err != nil {
		return nil, err
	}
	if len(value) > MaxValueBytes {
		return nil, &ValueTooLargeError{Object: "root", Bytes: len(value)}
	}
	return value, nil
}

// trimEdits drops the oldest edit records that exceed the limits. It always keeps
// the newest record.
func trimEdits(edits []*pb.EditRecord) []*pb.EditRecord {
	size, keep := 0, 0
	for keep < len(edits) && keep < maxEditRecords {
		size += proto.Size(edits[len(edits)-1-keep])
		if size > maxEditRecordBytes && keep > 0 {
			break
		}
		keep++
	}
	return edits[len(edits)-keep:]
}

// findEdit returns the record of an edit, or nil.
func findEdit(root *pb.Root, id string) *pb.EditRecord {
	for _, r := range slices.Backward(root.GetEdits()) {
		if r.GetId() == id {
			return r
		}
	}
	return nil
}

// oldestRecoverable returns the oldest version for which RefsAt returns references.
func oldestRecoverable(root *pb.Root) uint64 {
	oldest := root.GetVersion()
	for _, r := range slices.Backward(root.GetEdits()) {
		if r.GetVersion() != oldest || oldest == 0 {
			break
		}
		oldest--
	}
	return oldest
}

// RefsAt returns the shard references of an earlier version by undoing the
// recorded edits, or false if the records do not reach back to that version.
func RefsAt(root *pb.Root, version uint64) ([]*pb.ShardRef, bool) {
	if version > root.GetVersion() || version < oldestRecoverable(root) {
		return nil, false
	}
	refs := hashesByName(root.GetShards())
	for _, r := range slices.Backward(root.GetEdits()) {
		if r.GetVersion() <= version {
			break
		}
		applyRefs(refs, r.GetReplaced())
	}
	return sortedRefs(refs), true
}

func hashesByName(refs []*pb.ShardRef) map[string]string {
	m := make(map[string]string, len(refs))
	for _, r := range refs {
		m[r.GetName()] = r.GetHash()
	}
	return m
}

func sortedRefs(m map[string]string) []*pb.ShardRef {
	refs := make([]*pb.ShardRef, 0, len(m))
	for name, hash := range m {
		refs = append(refs, &pb.ShardRef{Name: name, Hash: hash})
	}
	slices.SortFunc(refs, func(a, b *pb.ShardRef) int { return strings.Compare(a.GetName(), b.GetName()) })
	return refs
}

// applyRefs sets the references in changes; one with an empty hash is removed.
func applyRefs(refs map[string]string, changes []*pb.ShardRef) {
	for _, c := range changes {
		if c.GetHash() == "" {
			delete(refs, c.GetName())
		} else {
			refs[c.GetName()] = c.GetHash()
		}
	}
}

// refChanges returns the references that turn from into to; a removed reference
// has an empty hash.
func refChanges(from, to []*pb.ShardRef) []*pb.ShardRef {
	a, b := hashesByName(from), hashesByName(to)
	diff := map[string]string{}
	for name, hash := range b {
		if a[name] != hash {
			diff[name] = hash
		}
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			diff[name] = ""
		}
	}
	return sortedRefs(diff)
}
