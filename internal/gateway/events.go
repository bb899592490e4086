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
	// SourceUpdated is the result of a call for a source or of a response of the
	// followed instance. Together with earlier updates it gives the state of the
	// source as of AsOf.
	SourceUpdated struct {
		Kind   source.Kind
		Update source.Update
		AsOf   time.Time
	}
	// CallFailed reports that a call to the store, sent at Sent, failed.
	CallFailed struct {
		Kind source.Kind
		Sent time.Time
	}
	// RegistryOutage reports an outage of the registry as seen by the followed
	// instance, from which this one receives its data. Start is the start of
	// the current outage, LastEnd the end of the last one; each is zero if there
	// is none.
	RegistryOutage struct{ Start, LastEnd time.Time }
	// DepartedServers reports servers that another instance still remembers
	// although they have no entry in the registry; they may have departed before
	// this instance started.
	DepartedServers struct{ Entries []registry.Entry }
	// LostChanges reports what another instance knows and a restored store has lost:
	// the latest entries of servers and states of data centres. An instance that
	// starts on the copy learns them in this way.
	LostChanges struct {
		Servers     []registry.Entry
		DataCentres []source.DataCentreChange
	}
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
func (LostChanges) event()     {}
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
		// Ack is the caller's acknowledgement number. The caller accepts a reset
		// only with this sequence number.
		Ack uint32
		// Server and Service are empty if the server is unknown.
		Server, Service string
		Reason          Reason
	}
	// StateChange reports a change of the instance's state, for the log.
	StateChange struct {
		// Subject is the name of the server or data centre that changed, or the
		// number of the configuration version.
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
