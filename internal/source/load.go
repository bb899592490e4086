package source

import (
	"context"
	"slices"
)

// Load returns a complete source of many objects by a stale read and a watch from
// its revision, which returns at once. All instances that start load the registry,
// and complete reads of it by all of them would exceed the store's rates. If the
// stale read is too old to watch from, Load makes a complete read.
func Load(ctx context.Context, store Store, k Kind) (Update, error) {
	u, err := store.ReadStale(ctx, k)
	if err != nil {
		return Update{}, err
	}
	watchCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	changes, err := store.Watch(watchCtx, k, u.Position, 0)
	if NeedsRead(err) {
		return store.Read(ctx, k)
	}
	if err != nil {
		return Update{}, err
	}
	if !changes.Empty() {
		u.Position = changes.Position
		u.Servers = slices.Concat(u.Servers, changes.Servers)
		u.DataCentres = slices.Concat(u.DataCentres, changes.DataCentres)
		u.Rejected = slices.Concat(u.Rejected, changes.Rejected)
		if changes.Configuration != nil {
			u.Configuration = changes.Configuration
		}
	}
	return u, nil
}

// ManyObjects reports whether the source has so many objects that a complete read
// takes several calls.
func (k Kind) ManyObjects() bool { return k == Registry }
