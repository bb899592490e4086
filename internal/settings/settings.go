// Package settings parses and validates the settings file of an entry instance.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"runtime"
	"time"

	"go.uber.org/zap/zapcore"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
	"cuminshift/internal/model"
	"cuminshift/internal/yamlsource"
)

// Defaults of the timing settings; see docs/design.md, sections 5 and 9.
const (
	DefaultHeartbeat       = 200 * time.Millisecond
	DefaultLease           = 600 * time.Millisecond
	DefaultDeadAfter       = time.Second
	DefaultFlowIdleTimeout = 300 * time.Second
	// MaxDatagramLifetime is the maximum time that a datagram spends in the
	// network of a data centre. dead_after must exceed lease by more than this.
	MaxDatagramLifetime = 300 * time.Millisecond
)

const (
	minHeartbeat = 10 * time.Millisecond
	// minFlowIdleTimeout is longer than the interval at which callers retransmit
	// unanswered packets.
	minFlowIdleTimeout = time.Second
	maxFlowIdleTimeout = 24 * time.Hour
	maxDeadAfter       = time.Minute
	maxWorkers         = 1024
	// heartbeatsPerLease is the minimum number of heartbeat intervals in a lease,
	// so that the loss of one heartbeat does not let the lease expire and thereby
	// fence the instance (forbid it to take decisions).
	heartbeatsPerLease = 2
)

// Settings are the validated settings of an entry instance.
type Settings struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// PacketAddress is for packets of callers and servers, PeerAddress for other
	// instances, and OperatorAddress for the operator API.
	PacketAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	StoreURL        string
	InstanceListURL string
	LogLevel        zapcore.Level
	Workers         int
	Heartbeat       time.Duration
	Lease           time.Duration
	DeadAfter       time.Duration
	FlowIdleTimeout time.Duration
	// TLS is nil if connections are not encrypted.
	TLS *TLS
}

// TLS holds the names of the files for mutual TLS.
type TLS struct {
	CertificateFile, KeyFile, ClientCAFile string
}

// Load reads and validates a settings file. The error is a file system error or
// a *findings.Error with all findings.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, found := Parse(file, data)
	return s, found.Err()
}

// Parse decodes and validates settings. The settings are nil if there are
// findings.
func Parse(file string, data []byte) (*Settings, findings.Findings) {
	raw := &pb.EntrySettings{}
	src, found := yamlsource.ParseYAML(file, data, raw)
	if src.Malformed() {
		return nil, found
	}
	c := &checker{src: src, found: found}
	s := c.settings(raw)
	if len(c.found) > 0 {
		c.found.Sort()
		return nil, c.found
	}
	return s, nil
}

// checker collects the findings in a settings file.
type checker struct {
	src   *yamlsource.Source
	found findings.Findings
}

func (c *checker) report(field, format string, args ...any) {
	c.found = append(c.found, c.src.FindingAt(field+": "+fmt.Sprintf(format, args...), field))
}

func (c *checker) settings(raw *pb.EntrySettings) *Settings {
	s := &Settings{
		Instance:        model.InstanceID(c.name("instance", raw.GetInstance())),
		DataCentre:      model.DataCentre(c.name("data_centre", raw.GetDataCentre())),
		PacketAddress:   c.address("packet_address", raw.GetPacketAddress()),
		PeerAddress:     c.address("peer_address", raw.GetPeerAddress()),
		OperatorAddress: c.address("operator_address", raw.GetOperatorAddress()),
		StoreURL:        c.url("store_url", raw.GetStoreUrl()),
		InstanceListURL: c.url("instance_list_url", raw.GetInstanceListUrl()),
		LogLevel:        c.level(raw.GetLogLevel()),
		Workers:         c.workers(raw.GetWorkers()),
		Heartbeat:       durationOrDefault(raw.GetHeartbeatMs(), DefaultHeartbeat),
		Lease:           durationOrDefault(raw.GetLeaseMs(), DefaultLease),
		DeadAfter:       durationOrDefault(raw.GetDeadAfterMs(), DefaultDeadAfter),
		FlowIdleTimeout: durationOrDefault(raw.GetFlowIdleTimeoutMs(), DefaultFlowIdleTimeout),
		TLS:             c.tls(raw.GetTls()),
	}
	c.checkDurations(s)
	if s.PeerAddress.IsValid() && s.PeerAddress == s.OperatorAddress {
		c.report("operator_address", "must differ from peer_address")
	}
	return s
}

func (c *checker) name(field, value string) string {
	if err := lists.CheckName(value); err != nil {
		c.report(field, "%v", err)
	}
	return value
}

func (c *checker) address(field, value string) netip.AddrPort {
	a, err := lists.ParseAddress(value)
	if err != nil {
		c.report(field, "%v", err)
	}
	return a
}

// url accepts only IP addresses as host because the platform has no name
// resolution.
func (c *checker) url(field, value string) string {
	u, err := url.Parse(value)
	switch {
	case value == "":
		c.report(field, "required")
	case err != nil, u.Scheme != "http" && u.Scheme != "https", u.RawQuery != "", u.Fragment != "", u.User != nil:
		c.report(field, "invalid URL %q: want http://ip:port", value)
	default:
		if _, err := lists.ParseAddress(u.Host); err != nil {
			c.report(field, "invalid URL %q: want http://ip:port", value)
		}
	}
	return value
}

func (c *checker) level(value string) zapcore.Level {
	switch value {
	case "", "info":
		return zapcore.InfoLevel
	case "debug":
		return zapcore.DebugLevel
	case "warn":
		return zapcore.WarnLevel
	case "error":
		return zapcore.ErrorLevel
	}
	c.report("log_level", "%q is not debug, info, warn or error", value)
	return zapcore.InfoLevel
}

func (c *checker) workers(n uint32) int {
	if n > maxWorkers {
		c.report("workers", "%d is above %d", n, maxWorkers)
	}
	if n == 0 {
		return runtime.GOMAXPROCS(0)
	}
	return int(n)
}

func durationOrDefault(ms uint32, defaultValue time.Duration) time.Duration {
	if ms == 0 {
		return defaultValue
	}
	return time.Duration(ms) * time.Millisecond
}

func (c *checker) checkDurations(s *Settings) {
	if s.Heartbeat < minHeartbeat {
		c.report("heartbeat_ms", "%v is below %v", s.Heartbeat, minHeartbeat)
	}
	if s.Lease < heartbeatsPerLease*s.Heartbeat {
		c.report("lease_ms", "%v is below %d heartbeats of %v", s.Lease, heartbeatsPerLease, s.Heartbeat)
	}
	if s.DeadAfter <= s.Lease+MaxDatagramLifetime {
		c.report("dead_after_ms", "%v does not exceed the lease %v plus the datagram lifetime %v", s.DeadAfter, s.Lease, MaxDatagramLifetime)
	}
	if s.DeadAfter > maxDeadAfter {
		c.report("dead_after_ms", "%v is above %v", s.DeadAfter, maxDeadAfter)
	}
	if s.FlowIdleTimeout < minFlowIdleTimeout || s.FlowIdleTimeout > maxFlowIdleTimeout {
		c.report("flow_idle_timeout_ms", "%v is outside %v to %v", s.FlowIdleTimeout, minFlowIdleTimeout, maxFlowIdleTimeout)
	}
}

func (c *checker) tls(raw *pb.TLSSettings) *TLS {
	if raw == nil {
		return nil
	}
	for field, value := range map[string]string{"certificate_file": raw.GetCertificateFile(),
		"key_file": raw.GetKeyFile(), "client_ca_file": raw.GetClientCaFile()} {
		if value == "" {
			c.found = append(c.found, c.src.FindingAt(field+": required if tls is set", "tls", field))
		}
	}
	return &TLS{raw.GetCertificateFile(), raw.GetKeyFile(), raw.GetClientCaFile()}
}
