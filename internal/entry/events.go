package entry

import (
	"net/netip"
	"time"

	"cuminshift/internal/config"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// CallerPacket is a caller's datagram that arrived from the fabric or was relayed
// by an instance of another data centre. The core takes ownership of Data.
type CallerPacket struct {
	Data []byte
}

// ServerPacket is a datagram that arrived from a server on the given path.
type ServerPacket struct {
	From netip.AddrPort
	Path int
	Data []byte
}

// PeerBatch is a batch of control messages that arrived from another instance.
type PeerBatch struct {
	Batch *pb.PeerBatch
}

// Tick advances the time of the core; it is due every TickInterval.
type Tick struct{}

// InstanceListRead is the platform's instance list as just read.
type InstanceListRead struct {
	Instances []*pb.ListedInstance
}

// StoreRootRead is the root object as read from the store, and its version there;
// version 0 means that it does not exist.
type StoreRootRead struct {
	Value         []byte
	ObjectVersion uint64
}

// StoreShardsRead contains shards that MissingShards named, by hash, as read
// from the store.
type StoreShardsRead struct {
	Shards map[string][]byte
}

// HealthStatusRead is the result of polling a server's health endpoint.
type HealthStatusRead struct {
	Server model.ServerID
	// Status is nil when the endpoint did not answer.
	Status *pb.BackendStatusResponse
}

// LeaveRequested starts a planned stop. The core returns Stopped when the
// instance may exit.
type LeaveRequested struct{}

func (CallerPacket) isEvent()     {}
func (ServerPacket) isEvent()     {}
func (PeerBatch) isEvent()        {}
func (Tick) isEvent()             {}
func (InstanceListRead) isEvent() {}
func (StoreRootRead) isEvent()    {}
func (StoreShardsRead) isEvent()  {}
func (HealthStatusRead) isEvent() {}
func (LeaveRequested) isEvent()   {}

// Action is an output of the core.
type Action interface{ isAction() }

// SendToServer requests that a datagram be sent to a server on the given path.
type SendToServer struct {
	Server  model.ServerID
	Address netip.AddrPort
	Path    int
	Data    []byte
}

// SendToCaller requests that a datagram be sent to a caller.
type SendToCaller struct {
	Address netip.AddrPort
	Data    []byte
}

// Relay requests that a caller's datagram be sent to an instance of another data
// centre.
type Relay struct {
	Address netip.AddrPort
	Data    []byte
}

// SendToPeer requests that a batch of control messages be sent to another
// instance.
type SendToPeer struct {
	To      model.InstanceID
	Address string
	Batch   *pb.PeerBatch
}

// ReplacePath requests a new local socket for the given path to a server.
type ReplacePath struct {
	Server model.ServerID
	Path   int
}

// RewriteStore requests that a configuration be written that the store has lost.
type RewriteStore struct {
	config.Rewrite
	// IfVersion is the object version on which the write of the root is conditional.
	IfVersion uint64
}

// Stopped reports that a planned stop is complete.
type Stopped struct{}

func (SendToServer) isAction() {}
func (SendToCaller) isAction() {}
func (Relay) isAction()        {}
func (SendToPeer) isAction()   {}
func (ReplacePath) isAction()  {}
func (RewriteStore) isAction() {}
func (Stopped) isAction()      {}

// TickInterval is the time between two Tick events.
const TickInterval = 20 * time.Millisecond
