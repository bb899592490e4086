package gatewayshell

import (
	"context"
	"sync"

	"cuminshift/internal/source"
)

// unknownEra precedes all eras.
const unknownEra source.Era = -1

// eraMonitor holds the latest era of the store in any answer. All sources then learn at
// once that the store was restored, although only one of them may have had an answer.
type eraMonitor struct {
	mu  sync.Mutex
	era source.Era
	// later is closed and replaced when a later era is observed.
	later chan struct{}
}

func newEraMonitor() *eraMonitor {
	return &eraMonitor{era: unknownEra, later: make(chan struct{})}
}

// observe records the era of an answer.
func (m *eraMonitor) observe(era source.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era <= m.era {
		return
	}
	m.era = era
	close(m.later)
	m.later = make(chan struct{})
}

// current returns the latest era.
func (m *eraMonitor) current() source.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// after returns a channel that is closed once an era later than the given one has been
// observed.
func (m *eraMonitor) after(era source.Era) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era > era {
		observed := make(chan struct{})
		close(observed)
		return observed
	}
	return m.later
}

// withinEra returns a context that ends with ErrRestored as its cause once an era later
// than the given one has been observed.
func (m *eraMonitor) withinEra(ctx context.Context, era source.Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-m.after(era):
			cancel(source.ErrRestored)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
