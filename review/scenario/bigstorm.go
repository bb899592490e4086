package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"cuminshift/internal/standin/platform/client"
)

// The doses of the small sites: a configuration grows by 350 routes at a time, and
// versions follow each other after 60 ms for up to 1.5 s.
const (
	growth        = 350
	growthSteps   = 12
	stormGap      = 60 * time.Millisecond
	stormVersions = 25
	// maxValueBytes is the store's limit for an object (value_bytes).
	maxValueBytes = 1 << 20
	// applyBound is the time within which a version takes effect (apply_ms).
	applyBound = 3 * time.Second
)

// fullRoute is a route as the operator's page shows it.
type fullRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Type       string `json:"type"`
	TimeoutMS  int    `json:"timeout_ms"`
	SLOMS      int    `json:"slo_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
}

// fullService is a service as the operator's page shows it.
type fullService struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
}

// fullConfig is the configuration as the operator's page shows it.
type fullConfig struct {
	Version  int            `json:"version"`
	Routes   []fullRoute    `json:"routes"`
	Services []fullService  `json:"services"`
	Limits   map[string]int `json:"limits"`
}

func newRoute(number int, address netip.AddrPort, service string) fullRoute {
	return fullRoute{Name: fmt.Sprintf("r-a3hw%06d", number), Host: address.Addr().String(), PathPrefix: fmt.Sprintf("/%d/", address.Port()),
		Type: "safe", TimeoutMS: 800, SLOMS: 120, Priority: 2, Service: service, Attempts: 2}
}

func newConfig(routes ...fullRoute) *fullConfig {
	c := &fullConfig{Version: 4, Routes: routes, Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	for _, name := range []string{"campo-app", "ordenes"} {
		c.Services = append(c.Services, fullService{Name: name, HealthPath: "/health", MaxConns: 2000, Protocol: "h1", WarmupS: 2})
	}
	return c
}

// idleRoutes returns routes that see no traffic.
func idleRoutes(from, count int) []fullRoute {
	var out []fullRoute
	for i := from; i < from+count; i++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(i / 250), byte(i%250 + 1)}), 8443)
		out = append(out, newRoute(i, address, "campo-app"))
	}
	return out
}

// bigStorm lets the configuration grow step by step within the store's limit for an
// object, and then writes versions in quick succession. The last one drops a route.
// Without the trouble, the storm comes without the growth.
func bigStorm(s *site, rec *record, trouble bool) error {
	kept := netip.MustParseAddrPort("198.18.0.1:8443")
	dropped := netip.MustParseAddrPort("198.18.0.3:8443")
	c := newConfig(append([]fullRoute{newRoute(1, kept, "campo-app"), newRoute(2, dropped, "campo-app")}, idleRoutes(10, 110)...)...)
	if err := s.writeConfig(c); err != nil {
		return err
	}
	if err := s.startSmall("campo-app", "ordenes"); err != nil {
		return err
	}
	hosts, err := s.directHosts()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range growthSteps {
			c.Version += 2
			c.Routes = append(c.Routes, idleRoutes(1000+i*growth, growth)...)
			if err := s.writeConfig(c); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(2 * time.Second)
	for i := range stormVersions {
		c.Version += 3
		if i == stormVersions-1 {
			c.Routes = append(c.Routes[:1:1], c.Routes[2:]...)
		} else {
			c.Routes[0].TimeoutMS++
		}
		if err := s.writeConfig(c); err != nil {
			return err
		}
		time.Sleep(stormGap)
	}
	ackAt := time.Now()
	rec.note("version %d, which drops the route %s, is acknowledged", c.Version, dropped)
	for n := 0; time.Since(ackAt) < 10*time.Second; n++ {
		for i, h := range hosts {
			openOnDroppedRoute(rec, s.nodes[i].name, h, dropped, fmt.Sprintf("r%d-%d", i, n), ackAt)
		}
		time.Sleep(400 * time.Millisecond)
	}
	return nil
}

// openOnDroppedRoute sends a request on a new flow to an address whose route was
// dropped by the version acknowledged at ackAt.
func openOnDroppedRoute(rec *record, node string, h *client.Host, to netip.AddrPort, id string, ackAt time.Time) {
	sent := time.Now()
	after := sent.Sub(ackAt).Milliseconds()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f, err := h.Open(ctx, to)
	if err != nil {
		rec.note("request %s to %s by %s, sent %d ms after the acknowledgement: %v", id, to, node, after, err)
		return
	}
	defer f.Close()
	answer, err := f.Request(ctx, id, 5, 200)
	rec.note("request %s to %s by %s, sent %d ms after the acknowledgement: answer %+v, error %v", id, to, node, after, answer, err)
	if ran := rec.ranOn(id); len(ran) > 0 && sent.Sub(ackAt) > applyBound {
		rec.breaks("CONFIG: request %s, sent %d ms after the acknowledgement of the version that drops its route, was run by server %s through %s", id, after, ran[0], node)
	}
}
