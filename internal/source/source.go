// Package source follows what an instance learns from the platform's store: the
// configuration, the registry of backend servers and the withdrawn data
// centres. It decides which call comes next; the calls are made elsewhere.
package source

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/model"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
)

// Kind is one of the things that an instance follows.
type Kind uint8

// Kinds.
const (
	Configuration Kind = iota
	Registry
	Withdrawals
	// NumKinds is the number of kinds.
	NumKinds = iota
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"configuration", "registry", "withdrawals"}[k]
}

// Revision orders the store's states. It is 0 before the first.
type Revision int64

// Update is what one call returned.
type Update struct {
	// Full: the update holds the whole of the source, not changes.
	Full     bool
	Revision Revision
	// Configuration is the newest version, if it was returned.
	Configuration *routing.Configuration
	// Servers and DataCentres are in the order of the changes.
	Servers     []ServerChange
	DataCentres []DataCentreChange
	// Rejected objects were not understood and are not used.
	Rejected []Rejection
}

// Empty reports whether nothing was returned.
func (u *Update) Empty() bool {
	return !u.Full && u.Configuration == nil && len(u.Servers)+len(u.DataCentres)+len(u.Rejected) == 0
}

// ServerChange is an entry that came or changed, or that went.
type ServerChange struct {
	Entry registry.Entry
	// Removed: the entry went; only its Name is set.
	Removed bool
}

// DataCentreChange says that a data centre was withdrawn or is back.
type DataCentreChange struct {
	DataCentre model.DataCentre
	Withdrawn  bool
}

// Rejection names an object that was not understood, and why.
type Rejection struct {
	Name, Cause string
}

var (
	// ErrCompacted: the changes since the revision are no longer known.
	ErrCompacted = errors.New("store: history gone")
	// ErrUnavailable: the store did nothing with the call.
	ErrUnavailable = errors.New("store: call turned away")
)

// Store is the platform's store.
type Store interface {
	// Read returns the whole of a source.
	Read(ctx context.Context, k Kind) (Update, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// an empty update after wait. ErrHistoryGone asks for a Read.
	Watch(ctx context.Context, k Kind, since Revision, wait time.Duration) (Update, error)
	// Reconnect drops open connections, of which one may be silent.
	Reconnect(k Kind)
}
