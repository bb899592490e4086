package faultmatrix

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminshift/internal/config"
	"cuminshift/internal/entry"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

const (
	endpointInterval = 500 * time.Millisecond
	watchWait        = 5 * time.Second
	storeBackoff     = 500 * time.Millisecond
	editTimeout      = 20 * time.Second
)

// productNode drives an entry core as the shell does, with the simulated
// store, instance list and health endpoints.
type productNode struct {
	spec NodeSpec
	core *entry.Core
	rng  *rand.Rand

	tokens  uint64
	replies map[uint64]func(time.Time, StoreReply) []any
	waits   []wait
	// seen is the root object's version last read; reading is set while a
	// read or its backoff lasts.
	seen          uint64
	reading       bool
	nextEndpoints time.Time
}

// wait continues something at a time.
type wait struct {
	at  time.Time
	run func(time.Time) []any
}

// NewProduct starts an instance with the product's core.
func NewProduct(spec NodeSpec) Node {
	return &productNode{spec: spec, rng: newRand(spec.Seed), replies: map[uint64]func(time.Time, StoreReply) []any{},
		core: entry.New(entry.Config{Self: spec.ID, DataCentre: spec.DataCentre, Incarnation: spec.Incarnation, PeerAddress: string(spec.ID),
			PacketAddress: spec.Address, Started: spec.Started, HeartbeatInterval: 200 * time.Millisecond, Lease: 600 * time.Millisecond,
			DeadAfter: time.Second, FlowIdleTimeout: flowIdleTimeout, Seed: spec.Seed})}
}

func (n *productNode) Version() uint64 { return n.core.Configuration().Version }

func (n *productNode) Lists() (*pb.PlanList, *pb.Marks) {
	c := n.core.Lists()
	return c.Plans, c.Marks
}

func (n *productNode) Publishing(now time.Time) bool {
	return n.core.Status(now).GetPublisher() == string(n.spec.ID)
}

func (n *productNode) Handle(now time.Time, in any) []any {
	switch i := in.(type) {
	case Tick:
		return append(n.event(now, entry.Tick{}), n.shellTick(now)...)
	case CallerPacket:
		return n.fromCaller(now, i.P)
	case ServerPacket:
		return n.fromServer(now, i)
	case PeerBatch:
		return n.event(now, entry.PeerBatch{Batch: i.B})
	case StoreReply:
		if run := n.replies[i.Token]; run != nil {
			delete(n.replies, i.Token)
			return run(now, i)
		}
	case ListReply:
		return n.event(now, entry.InstanceListRead{Instances: i.Instances})
	case HealthReply:
		return n.event(now, entry.HealthStatusRead{Server: i.Server, Status: i.Status})
	case Edit:
		return n.edit(now, i)
	case Leave:
		return n.event(now, entry.LeaveRequested{})
	}
	return nil
}

func encode(p *pb.Packet) []byte {
	b, err := proto.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

func decode(b []byte) *pb.Packet {
	p := new(pb.Packet)
	if err := proto.Unmarshal(b, p); err != nil {
		panic(err)
	}
	return p
}

func (n *productNode) fromCaller(now time.Time, p *pb.Packet) []any {
	var scratch packet.Packet
	data := encode(p)
	if f, ok := n.core.FastPathFromCaller(now, &scratch, data); ok {
		return []any{ToServer{f.Address, f.Path, decode(data)}}
	}
	return n.event(now, entry.CallerPacket{Data: data})
}

func (n *productNode) fromServer(now time.Time, i ServerPacket) []any {
	var scratch packet.Packet
	data := encode(i.P)
	if _, ok := n.core.FastPathFromServer(&scratch, i.From, data); ok {
		return []any{ToCaller{decode(data)}}
	}
	return n.event(now, entry.ServerPacket{From: i.From, Path: i.Path, Data: data})
}

// event passes an event to the core and translates the actions.
func (n *productNode) event(now time.Time, ev entry.Event) []any {
	var out []any
	// The core returns the batches to its peers in random order; a run has to
	// repeat from its seed.
	actions := n.core.Handle(now, ev)
	slices.SortStableFunc(actions, func(a, b entry.Action) int { return cmp.Compare(batchTo(a), batchTo(b)) })
	for _, action := range actions {
		switch a := action.(type) {
		case entry.SendToServer:
			out = append(out, ToServer{a.Address, a.Path, decode(a.Data)})
		case entry.SendToCaller:
			out = append(out, ToCaller{decode(a.Data)})
		case entry.Relay:
			out = append(out, ToInstance{a.Address, decode(a.Data)})
		case entry.SendToPeer:
			out = append(out, ToPeer{a.To, proto.Clone(a.Batch).(*pb.PeerBatch)})
		case entry.ReplacePath:
			out = append(out, ReplacePath{a.Server, a.Path})
		case entry.Stopped:
			out = append(out, Stopped{})
		}
	}
	return out
}

// batchTo returns the receiver of a batch; other actions come first.
func batchTo(a entry.Action) model.InstanceID {
	if send, ok := a.(entry.SendToPeer); ok {
		return send.To
	}
	return ""
}

func (n *productNode) shellTick(now time.Time) []any {
	var out []any
	due := n.waits
	n.waits = nil
	for _, w := range due {
		if now.Before(w.at) {
			n.waits = append(n.waits, w)
			continue
		}
		out = append(out, w.run(now)...)
	}
	if !n.reading && n.core.ReadsStore() {
		n.reading = true
		out = append(out, n.call(StoreCall{Key: config.RootKey, After: n.seen, Wait: watchWait}, n.rootRead))
	}
	if !now.Before(n.nextEndpoints) {
		n.nextEndpoints = now.Add(endpointInterval)
		for _, s := range n.core.ServersToPoll() {
			out = append(out, HealthCall{s.ID, s.Health})
		}
	}
	return out
}

func (n *productNode) call(c StoreCall, run func(time.Time, StoreReply) []any) StoreCall {
	n.tokens++
	c.Token = n.tokens
	n.replies[c.Token] = run
	return c
}

func (n *productNode) rootRead(now time.Time, r StoreReply) []any {
	if r.Err != nil {
		n.waits = append(n.waits, wait{now.Add(storeBackoff), func(time.Time) []any { n.reading = false; return nil }})
		return nil
	}
	if r.Version == 0 || r.Version == n.seen {
		n.reading = false
		return nil
	}
	out := n.event(now, entry.StoreRootRead{Value: r.Value})
	return append(out, n.readShards(n.core.MissingShards(), func(now time.Time, shards map[string][]byte, err error) []any {
		n.reading = false
		if err != nil {
			return nil
		}
		n.seen = r.Version
		if len(shards) == 0 {
			return nil
		}
		return n.event(now, entry.StoreShardsRead{Shards: shards})
	}, now)...)
}

// readShards reads shards in parallel and calls done with those that exist.
func (n *productNode) readShards(hashes []string, done func(time.Time, map[string][]byte, error) []any, now time.Time) []any {
	shards, left := map[string][]byte{}, len(hashes)
	if left == 0 {
		return done(now, shards, nil)
	}
	var failed error
	var out []any
	for _, hash := range hashes {
		out = append(out, n.call(StoreCall{Key: config.ShardKey(hash)}, func(now time.Time, r StoreReply) []any {
			left--
			switch {
			case r.Err != nil:
				failed = r.Err
			case len(r.Value) > 0:
				shards[hash] = r.Value
			}
			if left > 0 {
				return nil
			}
			return done(now, shards, failed)
		}))
	}
	return out
}

func (n *productNode) edit(now time.Time, e Edit) []any {
	r := e.Request
	editor := config.NewEditor(config.EditorConfig{Deadline: now.Add(editTimeout), Rand: n.rng, LocalShard: n.core.Shard, InForceVersion: n.core.InForceVersion(now)},
		config.Edit{ID: r.GetEditId(), Operator: r.GetOperator(), Summary: r.GetSummary(), BaseVersion: r.GetBaseVersion(), Callers: r.GetCallers(), Plans: r.GetPlans(), Marks: r.GetMarks()})
	return n.perform(now, e.Token, editor, editor.Start(now))
}

// perform carries out an editor's action and continues with the answer.
func (n *productNode) perform(now time.Time, token uint64, editor *config.Editor, action config.Action) []any {
	next := func(now time.Time, answer config.Result) []any {
		return n.perform(now, token, editor, editor.Handle(now, answer))
	}
	switch a := action.(type) {
	case config.Done:
		return []any{EditReply{Token: token, Version: a.Version}}
	case config.Fail:
		return []any{EditReply{Token: token, Err: a.Err}}
	case config.ReadRoot:
		return []any{n.call(StoreCall{Key: config.RootKey}, func(now time.Time, r StoreReply) []any {
			if r.Err != nil {
				return next(now, config.StoreFailed{Kind: config.FailureUnavailable, Err: r.Err})
			}
			return next(now, config.RootRead{ObjectVersion: r.Version, Value: r.Value})
		})}
	case config.ReadShards:
		return n.readShards(a.Hashes, func(now time.Time, shards map[string][]byte, err error) []any {
			if err != nil {
				return next(now, config.StoreFailed{Kind: config.FailureUnavailable, Err: err})
			}
			return next(now, config.ShardsRead{Shards: shards})
		}, now)
	case config.WriteShards:
		return n.writeShards(a.Shards, next)
	case config.WriteRoot:
		return []any{n.call(StoreCall{Key: config.RootKey, Put: true, Value: a.Value, IfVersion: &a.IfVersion}, func(now time.Time, r StoreReply) []any {
			if r.Err != nil {
				return next(now, writeFailed(r.Err))
			}
			return next(now, config.RootWritten{})
		})}
	case config.AwaitInForce:
		return next(now, config.InForce{Version: n.core.InForceVersion(now)})
	case config.Wait:
		n.waits = append(n.waits, wait{a.Until, func(now time.Time) []any { return next(now, config.Elapsed{}) }})
	}
	return nil
}

func writeFailed(err error) config.StoreFailed {
	if errors.Is(err, errConflict) {
		return config.StoreFailed{Kind: config.FailureVersionMismatch, Err: err}
	}
	return config.StoreFailed{Kind: config.FailureOutcomeUnknown, Err: err}
}

func (n *productNode) writeShards(shards []*pb.Shard, next func(time.Time, config.Result) []any) []any {
	var out []any
	left := len(shards)
	var failed error
	for _, s := range shards {
		var absent uint64
		out = append(out, n.call(StoreCall{Key: config.ShardKey(s.GetHash()), Put: true, Value: s.GetContent(), IfVersion: &absent}, func(now time.Time, r StoreReply) []any {
			left--
			// A shard is named by its content, so one that exists is the same.
			if r.Err != nil && !errors.Is(r.Err, errConflict) {
				failed = r.Err
			}
			switch {
			case left > 0:
				return nil
			case failed != nil:
				return next(now, writeFailed(failed))
			}
			return next(now, config.ShardsWritten{})
		}))
	}
	return out
}

// instanceAddr is the packet address of an instance.
func instanceAddr(id model.InstanceID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, id[0], id[1]}), 9101)
}
