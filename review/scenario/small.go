package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"cuminshift/internal/standin/platform/client"
)

// writeConfig writes a version of the configuration as the operator does.
func (s *site) writeConfig(c *fullConfig) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if len(data) > maxValueBytes {
		return fmt.Errorf("version %d has %d bytes, more than the store takes", c.Version, len(data))
	}
	s.store.Put("config", "main", json.RawMessage(data))
	s.rec.note("the store acknowledges version %d: %d routes, %d bytes", c.Version, len(c.Routes), len(data))
	return nil
}

// startSmall starts backend servers of two services and 4 machines in 3 zones, as on
// the small sites, and waits until the machines are ready.
func (s *site) startSmall(first, second string) error {
	zones := []string{"litoral-norte", "litoral-centro", "litoral-sur"}
	for z, zone := range zones {
		for i := range 3 {
			service := first
			if i == 2 {
				service = second
			}
			if _, err := s.startServer(fmt.Sprintf("i-7f3a91%02x", 16*z+i), service, zone, z, i+1); err != nil {
				return err
			}
		}
	}
	return s.startMachines(zones)
}

// startMachines starts 4 machines in 3 zones.
func (s *site) startMachines(zones []string) error {
	for i, zoneNumber := range []int{0, 0, 1, 2} {
		number, bandwidth := 1, 2000
		if zoneNumber == 0 {
			number, bandwidth = i+1, 1500
		}
		if _, err := s.addNode(fmt.Sprintf("front-%s-%d", zones[zoneNumber], number), zones[zoneNumber], zoneNumber, number, bandwidth); err != nil {
			return err
		}
	}
	for _, i := range []int{0, 2, 3} {
		s.seeds = append(s.seeds, s.nodes[i].addr(controlPort).String())
	}
	for _, n := range s.nodes {
		if err := n.writeSettings(); err != nil {
			return err
		}
	}
	// All machines start within 0.3 s.
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return s.awaitReady(10 * time.Second)
}

// directHosts returns a client for each machine, whose packets are all sent to that
// machine.
func (s *site) directHosts() ([]*client.Host, error) {
	var out []*client.Host
	for i, n := range s.nodes {
		h, err := client.NewHost(s.address(150, i+1, packetPort), n.addr(packetPort))
		if err != nil {
			return nil, err
		}
		s.closers = append(s.closers, h.Close)
		out = append(out, h)
	}
	return out, nil
}

// requestOnNewFlow opens a flow, sends a request and closes the flow.
func requestOnNewFlow(h *client.Host, service netip.AddrPort, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f, err := h.Open(ctx, service)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Request(ctx, id, 5, 200)
	return err
}
