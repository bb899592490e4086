// Package peer defines the messages to other instances that the decision packages
// return to their caller for sending.
package peer

import (
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Message is a control message to the instance To, which may also be the sender
// itself.
type Message struct {
	To   model.InstanceID
	Body *pb.PeerMessage
}
