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
	healthPollInterval = 500 * time.Millisecond
	rootWatchTimeout   = 5 * time.Second
	storeBackoff       = 500 * time.Millisecond
	editTimeout        = 20 * time.Second
)

// entryInstance is an Instance that drives an entry core as package shell does,
// with the simulated store, instance list and health endpoints.
type entryInstance struct {
	spec InstanceSpec
	core *entry.Core
	rng  *rand.Rand

	lastToken uint64
	// replyHandlers holds the handlers of the replies to store calls, by token.
	replyHandlers map[uint64]func(time.Time, StoreReply) []any
	timers        []timer
	// rootVersion is the version of the root object that was last read;
	// readingRoot is set during a read and the backoff after a failed one.
	rootVersion    uint64
	readingRoot    bool
	nextHealthPoll time.Time
}

// timer runs a function at the first tick after a time.
type timer struct {
	at  time.Time
	run func(time.Time) []any
}

// NewEntryInstance creates an instance that runs the entry core.
func NewEntryInstance(spec InstanceSpec) Instance {
	return &entryInstance{spec: spec, rng: newRand(spec.Seed), replyHandlers: map[uint64]func(time.Time, StoreReply) []any{},
		core: entry.New(entry.Config{Self: spec.ID, DataCentre: spec.DataCentre, Incarnation: spec.Incarnation, PeerAddress: string(spec.ID),
			PacketAddress: spec.Address, Started: spec.Started, HeartbeatInterval: 200 * time.Millisecond, Lease: 600 * time.Millisecond,
			DeadAfter: time.Second, FlowIdleTimeout: flowIdleTimeout, Seed: spec.Seed})}
}

func (inst *entryInstance) Version() uint64 { return inst.core.Configuration().Version }

func (inst *entryInstance) Lists() (*pb.PlanList, *pb.Marks) {
	c := inst.core.Lists()
	return c.Plans, c.Marks
}

func (inst *entryInstance) Publishing(now time.Time) bool {
	return inst.core.Status(now).GetPublisher() == string(inst.spec.ID)
}

func (inst *entryInstance) InUse() int { return inst.core.InUse() }

func (inst *entryInstance) Handle(now time.Time, in any) []any {
	switch i := in.(type) {
	case Tick:
		return append(inst.handleEvent(now, entry.Tick{}), inst.shellTick(now)...)
	case CallerPacket:
		return inst.fromCaller(now, i.P)
	case ServerPacket:
		return inst.fromServer(now, i)
	case PeerBatch:
		return inst.handleEvent(now, entry.PeerBatch{Batch: i.B})
	case StoreReply:
		if run := inst.replyHandlers[i.Token]; run != nil {
			delete(inst.replyHandlers, i.Token)
			return run(now, i)
		}
	case ListReply:
		return inst.handleEvent(now, entry.InstanceListRead{Instances: i.Instances})
	case HealthReply:
		return inst.handleEvent(now, entry.HealthStatusRead{Server: i.Server, Status: i.Status})
	case Edit:
		return inst.startEdit(now, i)
	case Leave:
		return inst.handleEvent(now, entry.LeaveRequested{})
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

// fromCaller tries the fast path and passes the packet to the core otherwise.
func (inst *entryInstance) fromCaller(now time.Time, p *pb.Packet) []any {
	var scratch packet.Packet
	data := encode(p)
	if f, ok := inst.core.FastPathFromCaller(now, &scratch, data); ok {
		return []any{ToServer{f.Address, f.Path, decode(data)}}
	}
	return inst.handleEvent(now, entry.CallerPacket{Data: data})
}

// fromServer tries the fast path and passes the packet to the core otherwise.
func (inst *entryInstance) fromServer(now time.Time, i ServerPacket) []any {
	var scratch packet.Packet
	data := encode(i.P)
	if _, ok := inst.core.FastPathFromServer(&scratch, i.From, data); ok {
		return []any{ToCaller{decode(data)}}
	}
	return inst.handleEvent(now, entry.ServerPacket{From: i.From, Path: i.Path, Data: data})
}

// handleEvent passes an event to the core and translates the actions to outputs.
func (inst *entryInstance) handleEvent(now time.Time, ev entry.Event) []any {
	var out []any
	// The core returns the batches to its peers in random order. They are sorted,
	// because a run must be reproducible from its seed.
	actions := inst.core.Handle(now, ev)
	slices.SortStableFunc(actions, func(a, b entry.Action) int { return cmp.Compare(batchReceiver(a), batchReceiver(b)) })
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
		case entry.RewriteStore:
			out = append(out, inst.rewriteStore(a)...)
		case entry.Stopped:
			out = append(out, Stopped{})
		}
	}
	return out
}

// batchReceiver returns the receiver of a batch, or an empty ID for other actions,
// so that these come first.
func batchReceiver(a entry.Action) model.InstanceID {
	if send, ok := a.(entry.SendToPeer); ok {
		return send.To
	}
	return ""
}

// shellTick does the periodic work of the shell: it runs the timers that are due,
// watches the root object and polls the health endpoints.
func (inst *entryInstance) shellTick(now time.Time) []any {
	var out []any
	due := inst.timers
	inst.timers = nil
	for _, t := range due {
		if now.Before(t.at) {
			inst.timers = append(inst.timers, t)
			continue
		}
		out = append(out, t.run(now)...)
	}
	if !inst.readingRoot && inst.core.ShouldWatchStore() {
		inst.readingRoot = true
		out = append(out, inst.callStore(StoreCall{Key: config.RootKey, After: inst.rootVersion, Wait: rootWatchTimeout}, inst.handleRootRead))
	}
	if !now.Before(inst.nextHealthPoll) {
		inst.nextHealthPoll = now.Add(healthPollInterval)
		for _, s := range inst.core.ServersToPoll() {
			out = append(out, HealthCall{s.ID, s.Health})
		}
	}
	return out
}

// StoredVersion implements Instance.
func (inst *entryInstance) StoredVersion(object func(key string) []byte) (uint64, error) {
	root, err := config.DecodeRoot(object(config.RootKey))
	return root.GetVersion(), err
}

// callStore assigns a token to a store call and registers the handler of its reply.
func (inst *entryInstance) callStore(c StoreCall, run func(time.Time, StoreReply) []any) StoreCall {
	inst.lastToken++
	c.Token = inst.lastToken
	inst.replyHandlers[c.Token] = run
	return c
}

// handleRootRead reads the missing shards of a new root object. It retries a failed
// read after storeBackoff.
func (inst *entryInstance) handleRootRead(now time.Time, r StoreReply) []any {
	if r.Err != nil {
		inst.rootVersion = 0
		inst.timers = append(inst.timers, timer{now.Add(storeBackoff), func(time.Time) []any { inst.readingRoot = false; return nil }})
		return nil
	}
	out := inst.handleEvent(now, entry.StoreRootRead{Value: r.Value, ObjectVersion: r.Version})
	return append(out, inst.readShards(inst.core.MissingShards(), func(now time.Time, shards map[string][]byte, err error) []any {
		inst.readingRoot = false
		if err != nil {
			return nil
		}
		inst.rootVersion = r.Version
		if len(shards) == 0 {
			return nil
		}
		return inst.handleEvent(now, entry.StoreShardsRead{Shards: shards})
	}, now)...)
}

// readShards reads shards in parallel. After the last reply it calls done with the
// shards that exist and the last error, if any.
func (inst *entryInstance) readShards(hashes []string, done func(time.Time, map[string][]byte, error) []any, now time.Time) []any {
	shards, remaining := map[string][]byte{}, len(hashes)
	if remaining == 0 {
		return done(now, shards, nil)
	}
	var lastErr error
	var out []any
	for _, hash := range hashes {
		out = append(out, inst.callStore(StoreCall{Key: config.ShardKey(hash)}, func(now time.Time, r StoreReply) []any {
			remaining--
			switch {
			case r.Err != nil:
				lastErr = r.Err
			case len(r.Value) > 0:
				shards[hash] = r.Value
			}
			if remaining > 0 {
				return nil
			}
			return done(now, shards, lastErr)
		}))
	}
	return out
}

// startEdit starts an editor for an edit of the lists.
func (inst *entryInstance) startEdit(now time.Time, e Edit) []any {
	r := e.Request
	editor := config.NewEditor(config.EditorConfig{Deadline: now.Add(editTimeout), Rand: inst.rng, LocalShard: inst.core.Shard, InForceVersion: inst.core.InForceVersion(now), LocalVersion: inst.core.Configuration().Version},
		config.Edit{ID: r.GetEditId(), Operator: r.GetOperator(), Summary: r.GetSummary(), BaseVersion: r.GetBaseVersion(), Callers: r.GetCallers(), Plans: r.GetPlans(), Marks: r.GetMarks()})
	return inst.performEditAction(now, e.Token, editor, editor.Start(now))
}

// performEditAction carries out an editor's action and passes the result to the
// editor.
func (inst *entryInstance) performEditAction(now time.Time, token uint64, editor *config.Editor, action config.Action) []any {
	next := func(now time.Time, answer config.Result) []any {
		return inst.performEditAction(now, token, editor, editor.Handle(now, answer))
	}
	switch a := action.(type) {
	case config.Done:
		return []any{EditReply{Token: token, Version: a.Version}}
	case config.Fail:
		return []any{EditReply{Token: token, Err: a.Err}}
	case config.ReadRoot:
		return []any{inst.callStore(StoreCall{Key: config.RootKey}, func(now time.Time, r StoreReply) []any {
			if r.Err != nil {
				return next(now, config.StoreFailed{Kind: config.FailureUnavailable, Err: r.Err})
			}
			return next(now, config.RootRead{ObjectVersion: r.Version, Value: r.Value})
		})}
	case config.ReadShards:
		return inst.readShards(a.Hashes, func(now time.Time, shards map[string][]byte, err error) []any {
			if err != nil {
				return next(now, config.StoreFailed{Kind: config.FailureUnavailable, Err: err})
			}
			return next(now, config.ShardsRead{Shards: shards})
		}, now)
	case config.WriteShards:
		return inst.writeShards(a.Shards, next)
	case config.WriteRoot:
		return []any{inst.callStore(StoreCall{Key: config.RootKey, Put: true, Value: a.Value, IfVersion: &a.IfVersion}, func(now time.Time, r StoreReply) []any {
			if r.Err != nil {
				return next(now, writeFailure(r.Err))
			}
			return next(now, config.RootWritten{})
		})}
	case config.QueryInForce:
		return next(now, config.InForce{Version: inst.core.InForceVersion(now)})
	case config.Wait:
		inst.timers = append(inst.timers, timer{a.Until, func(now time.Time) []any { return next(now, config.Elapsed{}) }})
	}
	return nil
}

// writeFailure returns the result of a failed write for the editor. Only a version
// mismatch shows that nothing was written.
func writeFailure(err error) config.StoreFailed {
	if errors.Is(err, errVersionMismatch) {
		return config.StoreFailed{Kind: config.FailureVersionMismatch, Err: err}
	}
	return config.StoreFailed{Kind: config.FailureOutcomeUnknown, Err: err}
}

// writeShards writes shards in parallel and continues after the last reply.
func (inst *entryInstance) writeShards(shards []*pb.Shard, next func(time.Time, config.Result) []any) []any {
	var out []any
	remaining := len(shards)
	var lastErr error
	for _, s := range shards {
		var absent uint64
		out = append(out, inst.callStore(StoreCall{Key: config.ShardKey(s.GetHash()), Put: true, Value: s.GetContent(), IfVersion: &absent}, func(now time.Time, r StoreReply) []any {
			remaining--
			// A shard is named by its content hash, so an existing shard has the same
			// content.
			if r.Err != nil && !errors.Is(r.Err, errVersionMismatch) {
				lastErr = r.Err
			}
			switch {
			case remaining > 0:
				return nil
			case lastErr != nil:
				return next(now, writeFailure(lastErr))
			}
			return next(now, config.ShardsWritten{})
		}))
	}
	return out
}

// rewriteStore writes a configuration that the store has lost. If it fails, the next
// read of the root leads to the next attempt.
func (inst *entryInstance) rewriteStore(a entry.RewriteStore) []any {
	writeRoot := func(time.Time, config.Result) []any {
		return []any{inst.callStore(StoreCall{Key: config.RootKey, Put: true, Value: a.Root, IfVersion: &a.IfVersion}, func(time.Time, StoreReply) []any { return nil })}
	}
	if len(a.Shards) == 0 {
		return writeRoot(time.Time{}, nil)
	}
	return inst.writeShards(a.Shards, func(now time.Time, r config.Result) []any {
		if _, failed := r.(config.StoreFailed); failed {
			return nil
		}
		return writeRoot(now, r)
	})
}

// instanceAddr returns the packet address of an instance.
func instanceAddr(id model.InstanceID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, id[0], id[1]}), 9101)
}
