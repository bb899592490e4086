package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/router"
)

const (
	// servingID and joiningID are two ids that a platform may give to servers.
	servingID = "i-d78d21f7"
	joiningID = "i-1f36606b"
	// maxTries is the number of flows that are opened until one reaches the server
	// with the id servingID.
	maxTries = 200
	// calmPause is the client's pause without the trouble.
	calmPause = 6 * time.Second
	// joinTime is the time that a new server gets to be known to all machines.
	joinTime = 2 * time.Second
	// rotationTime is the time in which a router takes a ready machine into rotation.
	rotationTime = 1500 * time.Millisecond
)

// startRouter starts the router of a zone.
func (s *site) startRouter(zone string, zoneNumber int) (netip.AddrPort, error) {
	var instances []router.Instance
	for _, n := range s.nodes {
		instances = append(instances, router.Instance{Zone: n.zone, PacketAddr: n.addr(packetPort), ReadyAddr: n.addr(readyPort)})
	}
	address := s.address(3, zoneNumber+1, packetPort)
	r, err := router.Start(zone, address, instances)
	if err != nil {
		return address, err
	}
	s.closers = append(s.closers, r.Stop)
	return address, nil
}

// sharedToken lets a server join while a long flow pauses, and restarts the machine
// that carries the flow by a planned stop. Then the flow's client sends its next
// request.
func sharedToken(s *site, rec *record, trouble bool) error {
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	if err := s.writeConfig(newConfig(newRoute(1, service, "campo-app"))); err != nil {
		return err
	}
	if _, err := s.startServer(servingID, "campo-app", "litoral-centro", 1, 9); err != nil {
		return err
	}
	if err := s.startSmall("campo-app", "ordenes"); err != nil {
		return err
	}
	via, err := s.startRouter("litoral-centro", 1)
	if err != nil {
		return err
	}
	time.Sleep(rotationTime)
	c, err := s.newRawClient(s.address(150, 1, packetPort), via)
	if err != nil {
		return err
	}
	f, err := openAt(c, service, servingID)
	if err != nil {
		return err
	}
	rec.note("flow %s is open at %s; its client pauses", f.local, servingID)
	paused := time.Now()
	if trouble {
		if err := joinAndRestart(s, rec); err != nil {
			return err
		}
	} else {
		time.Sleep(calmPause)
	}
	rec.note("the client sends its next request after a pause of %d ms", time.Since(paused).Milliseconds())
	o := f.request("after-pause", 3*time.Second)
	switch {
	case o.resetBy.IsValid():
		rec.note("the flow is reset by %s", s.nameOf(o.resetBy))
		if s.nameOf(o.resetBy) != servingID {
			rec.breaks("FLOW: the client of a flow at %s gets a reset from %s; %s lives and has not reset the flow", servingID, s.nameOf(o.resetBy), servingID)
		}
	case o.server != "":
		rec.note("the request is answered by %s", o.server)
	default:
		rec.note("the request is not answered")
	}
	return nil
}

// openAt opens flows until one is at the server with an id, and leaves it open.
func openAt(c *rawClient, service netip.AddrPort, id string) (*rawFlow, error) {
	for i := range maxTries {
		f := c.newFlow(uint16(20000+i), service)
		if err := f.open(); err != nil {
			return nil, err
		}
		if o := f.request(fmt.Sprintf("first-%d", i), 3*time.Second); o.server == id {
			return f, nil
		}
		f.close()
	}
	return nil, fmt.Errorf("none of %d flows reached %s", maxTries, id)
}

// joinAndRestart starts another server, and then stops and starts the machine of the
// zone litoral-centro.
func joinAndRestart(s *site, rec *record) error {
	rec.note("server %s joins", joiningID)
	if _, err := s.startServer(joiningID, "campo-app", "litoral-sur", 2, 9); err != nil {
		return err
	}
	time.Sleep(joinTime)
	n := s.nodes[2]
	rec.note("%s gets SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	if err := n.awaitRestart(10 * time.Second); err != nil {
		return err
	}
	rec.note("%s has started again", n.name)
	time.Sleep(rotationTime)
	return nil
}

// nameOf returns the name of the server or machine with an address.
func (s *site) nameOf(a netip.AddrPort) string {
	for _, n := range s.nodes {
		if n.ip == a.Addr() {
			return n.name
		}
	}
	for _, b := range s.servers {
		if b.Address() == a {
			return b.ID()
		}
	}
	return a.String()
}
