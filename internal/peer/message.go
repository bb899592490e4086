// Package peer defines the addressed control message between instances. The
// packages that decide, such as admission, limits and membership, return these
// messages, and package entry sends them.
package peer

import (
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Message is a control message to the instance To, which may be the sender itself.
type Message struct {
	To   model.InstanceID
	Body *pb.PeerMessage
}
