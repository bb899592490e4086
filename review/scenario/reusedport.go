package main

import (
	"fmt"
	"net/netip"
	"time"

	"cuminshift/internal/standin/platform/server"
)

// drainBound is the time after which a leaving server gets no new flows (drain_ms).
const drainBound = 3 * time.Second

// reusedPort opens a flow whose client gives up before the handshake is complete.
// Later, when the flow's server has been leaving for longer than drainBound, the
// client uses the port for a new flow.
func reusedPort(s *site, rec *record, trouble bool) error {
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	if err := s.writeConfig(newConfig(newRoute(1, service, "campo-app"))); err != nil {
		return err
	}
	if err := s.startSmall("campo-app", "ordenes"); err != nil {
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
	var leaving *server.Server
	for _, b := range s.servers {
		if b.Address() == answer.from {
			leaving = b
		}
	}
	if leaving == nil {
		return fmt.Errorf("the opening was answered by %s, which is no server", answer.from)
	}
	rec.note("server %s accepts the flow %s; its client gives up", leaving.ID(), first.local)
	time.Sleep(time.Second)
	if trouble {
		leaving.Drain()
		rec.note("the store acknowledges that server %s is draining", leaving.ID())
	}
	ackAt := time.Now()
	time.Sleep(drainBound + time.Second)
	second := c.newFlow(20001, service)
	sent := time.Now()
	if err := second.open(); err != nil {
		return err
	}
	for _, o := range rec.openedBy(second.local) {
		late := o.at.Sub(ackAt)
		if trouble && o.server == leaving.ID() && o.at.After(sent) && late > drainBound {
			rec.breaks("DRAIN: server %s takes a new flow %d ms after the acknowledgement that it is draining", o.server, late.Milliseconds())
		}
	}
	o := second.request("new-flow", 3*time.Second)
	rec.note("the request on the new flow is answered by %s", o.server)
	second.close()
	return nil
}
