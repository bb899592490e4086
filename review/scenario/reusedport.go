package main

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// drainBound is the time after which a leaving server gets no new flows (drain_ms).
	drainBound = 3 * time.Second
	// reuseTime is the time after which the client uses the port again. It is shorter
	// than idle_timeout_ms, 15 s.
	reuseTime = 12 * time.Second
	// drainTime is the time from the first flow to the server's drain.
	drainTime = 6 * time.Second
)

// reusedPort opens a flow whose client gives up before the handshake is complete.
// Later, when the flow's server has been leaving for longer than drainBound, the
// client uses the port for a new flow.
func reusedPort(s *site, rec *record, trouble bool) error {
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	if err := s.writeConfig(newConfig(newRoute(1, service, "campo-app"))); err != nil {
		return err
	}
	zones := []string{"litoral-norte", "litoral-centro", "litoral-sur"}
	servers, err := s.startExpiringServers(zones)
	if err != nil {
		return err
	}
	if err := s.startMachines(zones); err != nil {
		return err
	}
	via, err := s.startRouter("litoral-norte", 0)
	if err != nil {
		return err
	}
	time.Sleep(rotationTime)
	c, err := s.newRawClient(s.address(150, 1, packetPort), via)
	if err != nil {
		return err
	}
	first := c.newFlow(20001, service)
	answer, err := first.sendOpening()
	if err != nil {
		return err
	}
	begin := time.Now()
	var leaving *expiringServer
	for _, b := range servers {
		if b.address == answer.from {
			leaving = b
		}
	}
	if leaving == nil {
		return fmt.Errorf("the opening was answered by %s, which is no server", answer.from)
	}
	rec.note("server %s accepts the flow %s; its client gives up", leaving.id, first.local)
	time.Sleep(drainTime)
	if trouble {
		leaving.drain()
		rec.note("the store acknowledges that server %s is draining", leaving.id)
	}
	ackAt := time.Now()
	time.Sleep(time.Until(begin.Add(reuseTime)))
	second := c.newFlow(20001, service)
	if err := second.open(); err != nil {
		return err
	}
	o := second.request("new-flow", 3*time.Second)
	rec.note("the request on the new flow is answered by %s", o.server)
	second.close()
	for _, o := range rec.openedBy(second.local) {
		if late := o.at.Sub(ackAt); trouble && o.server == leaving.id && late > drainBound {
			rec.breaks("DRAIN: server %s takes a new flow %d ms after the acknowledgement that it is draining", o.server, late.Milliseconds())
		}
	}
	return nil
}
