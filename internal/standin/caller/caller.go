// Package caller is a stand-in for callers: it opens flows through the fabric,
// keeps them busy with data and requests, and checks what comes back.
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
	// Fabric receives the datagrams; Service is the service address they name.
	Fabric, Service string
	// ServiceName, when set, is the service that every answer must come from.
	ServiceName string
	// Addresses are the callers' IP addresses; flows are spread over them.
	Addresses []string
	Flows     int
	// Spread is the time over which the flows are opened.
	Spread time.Duration
	// Duration is the time after which no new data or requests are sent.
	Duration time.Duration
	// DataInterval and RequestInterval are the pauses between messages of a
	// flow; 0 sends none.
	DataInterval, RequestInterval time.Duration
	// NonIdempotentShare is the share of requests that must not run twice.
	NonIdempotentShare float64
	Priority           uint32
	// Deadline is the time a request may take; 2 s when 0.
	Deadline time.Duration
	// RetransmitInterval is the time after which an unanswered datagram is repeated;
	// 200 ms when 0.
	RetransmitInterval time.Duration
	// BrokenAfter is the time without an echo after which a flow is broken;
	// 5 s when 0. It exceeds the time to detect a dead instance (1 s) and the
	// lag of the instance list together.
	BrokenAfter time.Duration
	// MaxOpenAttempts is the number of openings a flow makes before it gives up;
	// 30 when 0.
	MaxOpenAttempts int
	Seed            uint64
}

// MessageCounts counts messages of one kind.
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

// Result is what the callers saw. Sent counts messages, not repetitions.
type Result struct {
	MessageCounts
	// Broken counts flows that ended although the caller did not close them.
	Broken uint64 `json:"broken"`
	Flows  uint64 `json:"flows"`
	// Opened counts flows that were accepted.
	Opened        uint64        `json:"opened"`
	Openings      MessageCounts `json:"openings"`
	Data          MessageCounts `json:"data"`
	Requests      MessageCounts `json:"requests"`
	NonIdempotent MessageCounts `json:"non_idempotent"`
	Retransmitted uint64        `json:"retransmitted"`
	// Unmatched counts answers that belong to no message of their flow, Mixed
	// those whose parts disagree, WrongService those from another service.
	Unmatched    uint64 `json:"foreign"`
	MixedParts   uint64 `json:"mixed"`
	WrongService uint64 `json:"wrong_service"`
	Late         uint64 `json:"late"`
	// RequestP50MS and RequestP99MS are answer times in milliseconds.
	RequestP50MS float64 `json:"request_p50_ms"`
	RequestP99MS float64 `json:"request_p99_ms"`
	// Causes counts reasons of refusals and of broken flows.
	Causes map[string]uint64 `json:"causes"`
	// Servers counts the flows accepted by each server.
	Servers map[string]uint64 `json:"servers"`
	// NotRun lists requests that were refused with the promise that they did
	// not run. It is left out of the JSON line.
	NotRun []RefusedRequest `json:"-"`

	latencies []time.Duration
}

// RefusedRequest names a request refused with OUTCOME_DID_NOT_RUN.
type RefusedRequest struct {
	Caller, Service netip.AddrPort
	RequestID       uint64
}

func newResult() *Result {
	return &Result{Causes: map[string]uint64{}, Servers: map[string]uint64{}}
}

// Faultless reports whether no flow broke and every answer belonged to its
// caller.
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
		return fmt.Errorf("caller: need at least one flow and one address")
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

// Run runs the callers until Duration has passed and their last messages are
// answered, or until the context ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	fabric, err := netip.ParseAddrPort(cfg.Fabric)
	if err != nil {
		return nil, fmt.Errorf("caller: fabric address: %w", err)
	}
	service, err := netip.ParseAddrPort(cfg.Service)
	if err != nil {
		return nil, fmt.Errorf("caller: service address: %w", err)
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
