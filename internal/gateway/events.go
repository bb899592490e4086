package gateway

import (
	"net/netip"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/source"
)

// Event is something that the instance learns.
type Event interface{ event() }

type (
	// Updated is what a source returned; the knowledge of it is current as of
	// AsOf.
	SourceUpdated struct {
		Kind   source.Kind
		Update source.Update
		AsOf   time.Time
	}
	// Unanswered says that a call for a source, made at Sent, failed.
	CallFailed struct {
		Kind source.Kind
		Sent time.Time
	}
	// RegistryOutage says since when the registry has not answered the followed
	// instance, and when it last returned; zero times for never.
	RegistryOutage struct{ Since, Returned time.Time }
	// Departed are servers that left before this instance started, as another
	// instance remembers them.
	DepartedServers struct{ Entries []registry.Entry }
	// FleetSize says among how many instances cold servers are shared, and
	// this one's place among them.
	FleetSize struct{ Instances, Rank int }
	// Probed is the outcome of a Probe.
	ProbeDone struct {
		Server string
		Result reach.ProbeResult
		// PathGood: the control answered promptly.
		ControlAnswered bool
	}
	// Tick comes at TickInterval.
	Tick struct{}
	// StopRequested begins a planned stop.
	StopRequested struct{}
)

func (SourceUpdated) event()   {}
func (CallFailed) event()      {}
func (RegistryOutage) event()  {}
func (DepartedServers) event() {}
func (FleetSize) event()       {}
func (ProbeDone) event()       {}
func (Tick) event()            {}
func (StopRequested) event()   {}

// Action is something to be done.
type Action interface{ action() }

type (
	// Probe asks for a request to a server's health endpoint; its outcome
	// comes back as Probed.
	Probe struct {
		Server  string
		Address netip.AddrPort
		Path    string
		// Control, if valid, is a server that answered lately. It is asked at
		// the same time: its answer shows that the instance's own link is not
		// the cause of a missing answer.
		Control     netip.AddrPort
		ControlPath string
	}
	// Refresh asks for a read of a source.
	Refresh struct{ Kind source.Kind }
	// ResetFlow asks for a reset to a flow's caller.
	ResetFlow struct {
		Flow flow.Key
		Ack  uint32
		// Server and Service are empty when the server is not known.
		Server, Service string
		Reason          Reason
	}
	// Note is a change of what the instance believes, for the log.
	StateChange struct {
		// Subject is the server, data centre or version that changed.
		Subject string
		// What happened, in the log's words.
		Description string
		// Cause is the input that decided.
		Cause string
		// Age is the age of the knowledge behind the change.
		Age time.Duration
	}
)

func (Probe) action()       {}
func (Refresh) action()     {}
func (ResetFlow) action()   {}
func (StateChange) action() {}
