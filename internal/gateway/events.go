package gateway

import (
	"net/netip"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
	"cuminshift/internal/source"
)

// Event is an input of the instance other than a packet.
type Event interface{ event() }

type (
	// SourceUpdated is what a source returned; the source's state is known to
	// be current as of AsOf.
	SourceUpdated struct {
		Kind   source.Kind
		Update source.Update
		AsOf   time.Time
	}
	// CallFailed reports that a call for a source, made at Sent, failed.
	CallFailed struct {
		Kind source.Kind
		Sent time.Time
	}
	// RegistryOutage reports since when the followed instance has had no answer
	// from the registry, and when the registry last returned; zero times mean
	// never.
	RegistryOutage struct{ Start, LastEnd time.Time }
	// DepartedServers reports servers that departed before this instance
	// started, as remembered by another instance.
	DepartedServers struct{ Entries []registry.Entry }
	// FleetSize reports the number of instances that share the openings at cold
	// servers, and this instance's rank among them.
	FleetSize struct{ Instances, Rank int }
	// ProbeDone is the outcome of a Probe.
	ProbeDone struct {
		Server string
		Result reach.ProbeResult
		// ControlAnswered is set if the control server answered promptly.
		ControlAnswered bool
	}
	// Tick is sent every TickInterval.
	Tick struct{}
	// StopRequested starts a planned stop.
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

// Action is something that the instance has to do.
type Action interface{ action() }

type (
	// Probe requests a probe of a server's health endpoint; the outcome is
	// returned as a ProbeDone event.
	Probe struct {
		Server  string
		Address netip.AddrPort
		Path    string
		// Control, if valid, is the address of a server that answered recently.
		// It is probed at the same time: its answer shows that the instance's
		// own link is not the cause of a missing answer.
		Control     netip.AddrPort
		ControlPath string
	}
	// Refresh requests a read of a source.
	Refresh struct{ Kind source.Kind }
	// ResetFlow requests that a flow's caller be sent a reset.
	ResetFlow struct {
		Flow flow.Key
		Ack  uint32
		// Server and Service are empty if the server is unknown.
		Server, Service string
		Reason          Reason
	}
	// StateChange reports a change of the instance's view, for the log.
	StateChange struct {
		// Subject is the server, data centre or version that changed.
		Subject string
		// Description says what happened, as free text for the log.
		Description string
		// Cause is the input that led to the change, as free text.
		Cause string
		// Age is the age of the information behind the change.
		Age time.Duration
	}
)

func (Probe) action()       {}
func (Refresh) action()     {}
func (ResetFlow) action()   {}
func (StateChange) action() {}
