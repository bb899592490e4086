// Package caller is a stand-in for callers that use the protocol of package packet;
// package platform/client is one for callers on the users' platform. It opens flows
// through the fabric, sends data and requests on them, and checks the replies.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"
)

// Config configures a set of callers.
type Config struct {
	// Fabric is the address (ip:port) of the fabric that receives the datagrams,
	// Service the service address (ip:port) that they carry.
	Fabric, Service string
	// ServiceName is the name of the service from which every reply must come;
	// an empty string accepts replies of any service.
	ServiceName string
	// Addresses are the callers' IP addresses; the flows use them in rotation.
	Addresses []string
	// Flows is the number of flows.
	Flows int
	// Spread is the time over which the openings of the flows are spread.
	Spread time.Duration
	// Duration is the time after which no new data or requests are sent.
	Duration time.Duration
	// DataInterval and RequestInterval are the intervals between data messages
	// and between requests of a flow; 0 sends none.
	DataInterval, RequestInterval time.Duration
	// NonIdempotentShare is the share of requests that must not run twice, from
	// 0 to 1.
	NonIdempotentShare float64
	// Priority is the priority of the requests; 0 is the highest.
	Priority uint32
	// Deadline is the time that a request may take; 2 s when 0.
	Deadline time.Duration
	// RetransmitInterval is the time after which an unanswered datagram is
	// retransmitted; 200 ms when 0.
	RetransmitInterval time.Duration
	// BrokenAfter is the time without an echo after which a flow counts as
	// broken, and without a reply after which an opening counts as lost; 5 s
	// when 0. This default exceeds the sum of the time to detect a dead
	// instance (1 s) and the lag of the instance list.
	BrokenAfter time.Duration
	// MaxOpenAttempts is the number of openings after which a flow that was not
	// accepted ends; 30 when 0.
	MaxOpenAttempts int
	// Seed seeds the random choices.
	Seed uint64
}

// MessageCounts counts messages of one kind by their outcome. A lost message got
// no reply in time.
type MessageCounts struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Lost     uint64 `json:"lost"`
}

func (c *MessageCounts) add(o MessageCounts) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.Refused += o.Refused
	c.Lost += o.Lost
}

// Result is the outcome that the callers observed. Sent counts messages without
// their retransmissions.
type Result struct {
	MessageCounts
	// Broken counts flows that ended without being closed by the caller.
	Broken uint64 `json:"broken"`
	Flows  uint64 `json:"flows"`
	// Opened counts flows that a server accepted.
	Opened        uint64        `json:"opened"`
	Openings      MessageCounts `json:"openings"`
	Data          MessageCounts `json:"data"`
	Requests      MessageCounts `json:"requests"`
	NonIdempotent MessageCounts `json:"non_idempotent"`
	Retransmitted uint64        `json:"retransmitted"`
	// Unmatched counts replies that belong to no message of their flow,
	// MixedParts those whose part numbers are inconsistent, WrongService those
	// from another service, and Late those to a message that is no longer
	// pending.
	Unmatched    uint64 `json:"foreign"`
	MixedParts   uint64 `json:"mixed"`
	WrongService uint64 `json:"wrong_service"`
	Late         uint64 `json:"late"`
	// RequestP50MS and RequestP99MS are percentiles of the time from sending a
	// request to its complete answer, in milliseconds.
	RequestP50MS float64 `json:"request_p50_ms"`
	RequestP99MS float64 `json:"request_p99_ms"`
	// Causes counts the reasons of refusals and the causes of broken flows.
	Causes map[string]uint64 `json:"causes"`
	// Servers counts the accepted flows by server name.
	Servers map[string]uint64 `json:"servers"`
	// NotRun lists the requests that were refused with OUTCOME_DID_NOT_RUN,
	// which guarantees that they did not run. It is omitted from the JSON
	// output.
	NotRun []RefusedRequest `json:"-"`

	latencies []time.Duration
}

// RefusedRequest identifies a request that was refused with
// OUTCOME_DID_NOT_RUN.
type RefusedRequest struct {
	Caller, Service netip.AddrPort
	RequestID       uint64
}

func newResult() *Result {
	return &Result{Causes: map[string]uint64{}, Servers: map[string]uint64{}}
}

// Faultless reports whether no flow broke and every reply matched a message of
// its flow.
func (r *Result) Faultless() bool {
	return r.Broken == 0 && r.Unmatched == 0 && r.MixedParts == 0 && r.WrongService == 0
}

func (r *Result) merge(o *Result) {
	r.Openings.add(o.Openings)
	r.Data.add(o.Data)
	r.Requests.add(o.Requests)
	r.NonIdempotent.add(o.NonIdempotent)
	r.Broken += o.Broken
	r.Flows++
	r.Opened += o.Opened
	r.Retransmitted += o.Retransmitted
	r.Unmatched += o.Unmatched
	r.MixedParts += o.MixedParts
	r.WrongService += o.WrongService
	r.Late += o.Late
	for k, v := range o.Causes {
		r.Causes[k] += v
	}
	for k, v := range o.Servers {
		r.Servers[k] += v
	}
	r.NotRun = append(r.NotRun, o.NotRun...)
	r.latencies = append(r.latencies, o.latencies...)
}

func (r *Result) computeTotals() {
	r.MessageCounts = MessageCounts{}
	r.add(r.Openings)
	r.add(r.Data)
	r.add(r.Requests)
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	if n := len(r.latencies); n > 0 {
		r.RequestP50MS = float64(r.latencies[n/2].Microseconds()) / 1000
		r.RequestP99MS = float64(r.latencies[n*99/100].Microseconds()) / 1000
	}
}

func (c *Config) applyDefaults() error {
	if c.Flows <= 0 || len(c.Addresses) == 0 {
		return fmt.Errorf("caller: at least one flow and one address are required")
	}
	setDefault(&c.Deadline, 2*time.Second)
	setDefault(&c.RetransmitInterval, 200*time.Millisecond)
	setDefault(&c.BrokenAfter, 5*time.Second)
	if c.MaxOpenAttempts <= 0 {
		c.MaxOpenAttempts = 30
	}
	return nil
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// Run runs the callers until Duration has passed and no message is pending, or
// until the context ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	fabric, err := netip.ParseAddrPort(cfg.Fabric)
	if err != nil {
		return nil, fmt.Errorf("caller: invalid fabric address: %w", err)
	}
	service, err := netip.ParseAddrPort(cfg.Service)
	if err != nil {
		return nil, fmt.Errorf("caller: invalid service address: %w", err)
	}
	start := time.Now()
	results := make([]*Result, cfg.Flows)
	errs := make([]error, cfg.Flows)
	var wg sync.WaitGroup
	for i := range cfg.Flows {
		f := &flow{
			cfg: &cfg, fabric: fabric, service: service, result: newResult(),
			rng:   rand.New(rand.NewPCG(cfg.Seed, uint64(i))),
			start: start.Add(cfg.Spread * time.Duration(i) / time.Duration(cfg.Flows)),
			end:   start.Add(cfg.Duration),
		}
		results[i] = f.result
		wg.Go(func() { errs[i] = f.run(ctx, cfg.Addresses[i%len(cfg.Addresses)]) })
	}
	wg.Wait()
	total := newResult()
	for i := range results {
		if errs[i] != nil {
			return nil, errs[i]
		}
		total.merge(results[i])
	}
	total.computeTotals()
	return total, nil
}
