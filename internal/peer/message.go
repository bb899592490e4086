// Package peer holds the form in which the decision packages hand over
// messages to other instances.
package peer

import (
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Message is a control message to another instance, or to the sending
// instance itself when To is its own ID.
type Message struct {
	To   model.InstanceID
	Body *pb.PeerMessage
}
