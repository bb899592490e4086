// Package server is a stand-in for a backend server that uses the protocol of
// package packet; package platform/server is one for the users' platform. It serves
// flows and requests on a datagram socket and reports health and load on an
// endpoint whose answers can be delayed or false.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/standin/httpserve"
	"cuminshift/internal/standin/wire"
)

// Config configures a server.
type Config struct {
	// Name and Service identify the server in the payloads of its replies.
	Name, Service string
	// Listen is the address (ip:port) for datagrams, HealthListen the one for
	// BackendStatus, /stats and /switch.
	Listen, HealthListen string
	// Slots is the number of requests that run concurrently.
	Slots int
	// ServiceTime is the time that a request runs.
	ServiceTime time.Duration
	// Parts is the number of datagrams of an answer; 1 when 0.
	Parts int
	// ColdSlots and ColdOpeningsPerSecond are the server's capacity while it is
	// cold: concurrent requests and openings of flows per second; 0 means no limit.
	ColdSlots, ColdOpeningsPerSecond int
	// WarmAfter is the number of answers and accepted openings that end the
	// cold phase; 0 starts the server warm.
	WarmAfter int
	// StatusLag is the age of the status that the health endpoint reports.
	StatusLag time.Duration
}

// overloadFactor multiplies the service time of requests and openings that
// exceed the capacity of a cold server.
const overloadFactor = 5

// drainGracePeriod is the time after the start of a drain during which openings
// are still expected; see I8 in docs/design.md.
const drainGracePeriod = 3 * time.Second

// Switches change the behaviour of a running server; they are set through
// /switch.
type Switches struct {
	// Drain reports the server as draining. Openings that arrive more than 3 s
	// after it is set are counted in Stats.OpeningsAfterDrain.
	Drain bool `json:"drain"`
	// RefuseOpenings refuses openings with REASON_DRAINING.
	RefuseOpenings bool `json:"refuse_openings"`
	// Cold starts a cold phase when it is set; the end of the phase clears it.
	Cold bool `json:"cold"`
	// Shed refuses every request.
	Shed bool `json:"shed"`
	// Silent drops every datagram.
	Silent bool `json:"silent"`
	// SilentSource drops every datagram from this source address (ip:port); an
	// empty string drops none.
	SilentSource string `json:"silent_path"`
	// ReportedState is the state that the health endpoint reports instead of the
	// actual one: ready, cold, draining or down. With any other value it reports
	// the actual state.
	ReportedState string `json:"lie"`
	// StatusDown fails the calls of the health endpoint.
	StatusDown bool `json:"status_down"`
}

// Stats are the counters and the current load of a server.
type Stats struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Cold    bool   `json:"cold"`

	Openings    uint64 `json:"openings"`
	Closes      uint64 `json:"closes"`
	OpenFlows   int    `json:"open_flows"`
	Echoes      uint64 `json:"echoes"`
	UnknownFlow uint64 `json:"unknown_flow"`
	Requests    uint64 `json:"requests"`
	Answered    uint64 `json:"answered"`
	Shed        uint64 `json:"shed"`
	Cancelled   uint64 `json:"cancelled"`
	Expired     uint64 `json:"expired"`
	BusySlots   int    `json:"busy_slots"`
	// DuplicateRuns and DuplicateIdempotentRuns count the runs of a request
	// after its first one, for non-idempotent and idempotent requests.
	DuplicateRuns           uint64 `json:"double_runs"`
	DuplicateIdempotentRuns uint64 `json:"double_runs_idempotent"`
	Malformed               uint64 `json:"malformed"`
	// OpeningsAfterDrain counts openings that arrive after drainGracePeriod.
	OpeningsAfterDrain uint64 `json:"openings_after_left"`

	ColdOpeningsReceived     uint64 `json:"cold_openings_received"`
	ColdOpeningsOverCapacity uint64 `json:"cold_openings_over"`
	ColdRequestsOverCapacity uint64 `json:"cold_requests_over"`
	// PeakColdLoad is the highest load during a cold phase, relative to the
	// capacity of the cold server; 1.0 is full capacity.
	PeakColdLoad float64 `json:"cold_peak"`
}

// Server is a running server.
type Server struct {
	Addr       netip.AddrPort
	HealthAddr string

	cfg  Config
	conn *net.UDPConn

	mu          sync.Mutex
	switches    Switches
	stats       Stats
	flows       map[wire.Flow]struct{} // open flows
	inFlight    map[*runningRequest]struct{}
	runCounts   map[requestKey]int // runs started so far
	fates       map[attemptKey]fate
	cold        bool
	warmUpCount int // answers and accepted openings of the cold phase
	// recentColdOpenings are the arrival times of the openings of the last
	// second of a cold phase.
	recentColdOpenings []time.Time
	drainSince         time.Time
	statusHistory      []statusSample
}

// Start runs a server until the context ends.
func Start(ctx context.Context, cfg Config) (*Server, error) {
	if cfg.Parts <= 0 {
		cfg.Parts = 1
	}
	conn, err := wire.ListenUDP(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", cfg.Name, err)
	}
	s := &Server{
		Addr: wire.LocalAddr(conn), cfg: cfg, conn: conn,
		flows: map[wire.Flow]struct{}{}, inFlight: map[*runningRequest]struct{}{}, runCounts: map[requestKey]int{}, fates: map[attemptKey]fate{},
		cold: cfg.WarmAfter > 0,
	}
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewBackendStatusHandler(s))
	mux.Handle("/switch", httpserve.GetSetHandler(s.Switches, s.SetSwitches))
	mux.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { httpserve.WriteJSON(w, s.Stats()) })
	h, err := httpserve.Start(ctx, cfg.HealthListen, mux)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("server %s: %w", cfg.Name, err)
	}
	s.HealthAddr = h.Addr
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go s.receive()
	go s.sampleLoop(ctx)
	return s, nil
}

// Switches returns the switches in force.
func (s *Server) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches replaces the switches. A cold phase starts when Cold becomes true.
func (s *Server) SetSwitches(sw Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sw.Drain && !s.switches.Drain {
		s.drainSince = time.Now()
	}
	if sw.Cold && !s.switches.Cold {
		s.cold, s.warmUpCount, s.recentColdOpenings = true, 0, nil
	}
	s.switches = sw
}

// Stats returns the counters and the current load.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Name, out.Service, out.Cold = s.cfg.Name, s.cfg.Service, s.cold
	out.OpenFlows, out.BusySlots = len(s.flows), len(s.inFlight)
	return out
}

// Runs returns the number of times that a request of a flow was started.
func (s *Server) Runs(flow wire.Flow, requestID uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[requestKey{flow, requestID}]
}

func (s *Server) receive() {
	buf := make([]byte, wire.MaxDatagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p, err := wire.Decode(buf[:n])
		s.mu.Lock()
		switch {
		case err != nil:
			s.stats.Malformed++
		case s.switches.Silent || (s.switches.SilentSource != "" && s.switches.SilentSource == from.String()):
		default:
			s.handlePacket(time.Now(), p, from)
		}
		s.mu.Unlock()
	}
}

func (s *Server) handlePacket(now time.Time, p *pb.Packet, from netip.AddrPort) {
	flow := wire.FlowOf(p)
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		s.handleOpen(now, flow, p, from)
	case pb.Kind_KIND_DATA:
		s.handleData(flow, p, from)
	case pb.Kind_KIND_CLOSE:
		if _, ok := s.flows[flow]; ok {
			s.stats.Closes++
			delete(s.flows, flow)
		}
	case pb.Kind_KIND_REQUEST:
		s.handleRequest(flow, p, from)
	case pb.Kind_KIND_CANCEL:
		s.handleCancel(flow, p)
	default:
		s.stats.Malformed++
	}
}

// handleOpen opens a flow. It acknowledges a repeated opening of an open flow
// without counting it again.
func (s *Server) handleOpen(now time.Time, flow wire.Flow, p *pb.Packet, from netip.AddrPort) {
	if _, ok := s.flows[flow]; ok {
		s.send(s.newReply(p, pb.Kind_KIND_OPEN_ACK, s.replyPayload(0, "")), from)
		return
	}
	if s.switches.Drain && now.Sub(s.drainSince) > drainGracePeriod {
		s.stats.OpeningsAfterDrain++
	}
	if s.switches.RefuseOpenings {
		s.refuse(p, from, pb.Reason_REASON_DRAINING, pb.Outcome_OUTCOME_DID_NOT_RUN)
		return
	}
	s.stats.Openings++
	s.flows[flow] = struct{}{}
	ack := s.newReply(p, pb.Kind_KIND_OPEN_ACK, s.replyPayload(0, ""))
	if s.cold && s.countColdOpening(now) {
		time.AfterFunc(overloadFactor*s.cfg.ServiceTime, func() { s.send(ack, from) })
		return
	}
	s.send(ack, from)
	s.countWarmUp()
}

// countColdOpening counts an opening of the cold phase and reports whether it
// exceeds the number of openings per second that the cold server can handle.
func (s *Server) countColdOpening(now time.Time) bool {
	s.stats.ColdOpeningsReceived++
	s.recentColdOpenings = append(s.recentColdOpenings, now)
	for now.Sub(s.recentColdOpenings[0]) >= time.Second {
		s.recentColdOpenings = s.recentColdOpenings[1:]
	}
	if s.cfg.ColdOpeningsPerSecond <= 0 {
		return false
	}
	s.stats.PeakColdLoad = max(s.stats.PeakColdLoad, float64(len(s.recentColdOpenings))/float64(s.cfg.ColdOpeningsPerSecond))
	over := len(s.recentColdOpenings) > s.cfg.ColdOpeningsPerSecond
	if over {
		s.stats.ColdOpeningsOverCapacity++
	}
	return over
}

// countWarmUp counts an answer or an accepted opening of the cold phase and ends
// the phase after WarmAfter of them.
func (s *Server) countWarmUp() {
	if !s.cold {
		return
	}
	if s.warmUpCount++; s.warmUpCount >= s.cfg.WarmAfter {
		s.cold, s.switches.Cold = false, false
	}
}

func (s *Server) handleData(flow wire.Flow, p *pb.Packet, from netip.AddrPort) {
	if _, ok := s.flows[flow]; !ok {
		s.stats.UnknownFlow++
		s.refuse(p, from, pb.Reason_REASON_UNKNOWN_FLOW, pb.Outcome_OUTCOME_DID_NOT_RUN)
		return
	}
	s.stats.Echoes++
	s.send(s.newReply(p, pb.Kind_KIND_DATA, s.replyPayload(0, string(p.GetPayload()))), from)
}

func (s *Server) replyPayload(part int, body string) []byte {
	return wire.Reply{Service: s.cfg.Service, Server: s.cfg.Name, Part: part, Body: body}.Payload()
}

func (s *Server) newReply(p *pb.Packet, kind pb.Kind, payload []byte) *pb.Packet {
	return &pb.Packet{
		Kind: kind, CallerIp: p.GetCallerIp(), CallerPort: p.GetCallerPort(),
		ServiceIp: p.GetServiceIp(), ServicePort: p.GetServicePort(),
		RequestId: p.GetRequestId(), Attempt: p.GetAttempt(), CallerAttempt: p.GetCallerAttempt(),
		Idempotent: p.GetIdempotent(), Payload: payload, Token: p.GetToken(),
		Cold: s.cold && (kind == pb.Kind_KIND_OPEN_ACK || kind == pb.Kind_KIND_ANSWER || kind == pb.Kind_KIND_REFUSAL),
	}
}

func (s *Server) refuse(p *pb.Packet, to netip.AddrPort, reason pb.Reason, outcome pb.Outcome) {
	r := s.newReply(p, pb.Kind_KIND_REFUSAL, nil)
	r.Reason, r.Outcome = reason, outcome
	s.send(r, to)
}

// send ignores errors as a datagram server does, because the peer retransmits.
func (s *Server) send(p *pb.Packet, to netip.AddrPort) {
	b, err := proto.Marshal(p)
	if err != nil {
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}
