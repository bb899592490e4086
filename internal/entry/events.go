package entry

import (
	"net/netip"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Event is one input of the core.
type Event interface{ isEvent() }

// CallerPacket is a datagram from the fabric or from an instance of another
// data centre. Data belongs to the core.
type CallerPacket struct {
	Data []byte
}

// ServerPacket is a datagram that arrived on an upstream path.
type ServerPacket struct {
	From netip.AddrPort
	Path int
	Data []byte
}

// PeerBatch is a batch of control messages from another instance.
type PeerBatch struct {
	Batch *pb.PeerBatch
}

// Tick lets time pass; it is due every TickInterval.
type Tick struct{}

// InstanceListRead is an answer of the platform's instance list.
type InstanceListRead struct {
	Instances []*pb.ListedInstance
}

// StoreRootRead is the root object as a reader found it in the store.
type StoreRootRead struct {
	Value []byte
}

// StoreShardsRead are shards that MissingShards named, as found in the store.
type StoreShardsRead struct {
	Shards map[string][]byte
}

// HealthStatusRead is an answer of a server's health endpoint; Status is nil when
// there was none.
type HealthStatusRead struct {
	Server model.ServerID
	Status *pb.BackendStatusResponse
}

// LeaveRequested starts a planned stop. The core returns Stopped when it may
// end.
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

// Action is one output of the core.
type Action interface{ isAction() }

// SendToServer asks for a datagram to a server over one of its paths.
type SendToServer struct {
	Server  model.ServerID
	Address netip.AddrPort
	Path    int
	Data    []byte
}

// SendToCaller asks for a datagram to a caller.
type SendToCaller struct {
	Address netip.AddrPort
	Data    []byte
}

// Relay asks for a datagram to an instance of another data centre.
type Relay struct {
	Address netip.AddrPort
	Data    []byte
}

// SendToPeer asks for a batch of control messages to another instance.
type SendToPeer struct {
	To      model.InstanceID
	Address string
	Batch   *pb.PeerBatch
}

// ReplacePath asks for a new local socket for a path of a server.
type ReplacePath struct {
	Server model.ServerID
	Path   int
}

// Stopped says that a planned stop is complete.
type Stopped struct{}

func (SendToServer) isAction() {}
func (SendToCaller) isAction() {}
func (Relay) isAction()        {}
func (SendToPeer) isAction()   {}
func (ReplacePath) isAction()  {}
func (Stopped) isAction()      {}

// TickInterval is the time between two Tick events.
const TickInterval = 20 * time.Millisecond
