package main

import (
	"fmt"
	"net/netip"
	"time"

	"cuminshift/internal/standin/platform/client"
	"cuminshift/internal/standin/platform/operator"
	"cuminshift/internal/standin/platform/store"
)

const (
	// evacuateBound is the time after which an evacuated zone gets no new flows
	// (evacuate_ms), stabilityWindow the time after a disruption of the store in which
	// no machine is in touch (stability_window_ms).
	evacuateBound   = 5 * time.Second
	stabilityWindow = 4 * time.Second
	// copyAge is the age of the copy from which the store comes back, awayTime the
	// time for which it is away.
	copyAge  = 4 * time.Second
	awayTime = 2 * time.Second
	// observedTime is the time for which the evacuated zone is observed.
	observedTime = 20 * time.Second
	// openInterval is the time between two new flows at a machine.
	openInterval = 150 * time.Millisecond
)

const evacuatedZone = "litoral-sur"

// restoredStore lets the store come back from a copy. The operator, whose call had no
// answer while the store was away, repeats it: it evacuates a zone. Without the trouble,
// the store is not away.
func restoredStore(s *site, rec *record, trouble bool) error {
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	if err := s.writeConfig(newConfig(newRoute(1, service, "campo-app"))); err != nil {
		return err
	}
	if err := s.startSmall("campo-app", "ordenes"); err != nil {
		return err
	}
	hosts, err := s.directHosts()
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		copied := s.store.Copy()
		time.Sleep(copyAge)
		rec.note("the store goes away")
		s.store.SetMode(store.Silent, 0)
		time.Sleep(awayTime)
		s.store.Restore(copied)
		s.store.SetMode(store.Up, 0)
		rec.note("the store is back, from a copy of %d ms before it went away; the operator has written nothing since the copy", copyAge.Milliseconds())
	}
	operator.Evacuate(s.store, evacuatedZone)
	ackAt := time.Now()
	rec.note("the store acknowledges the evacuation of %s", evacuatedZone)
	stop := make(chan struct{})
	done := make(chan struct{}, len(hosts))
	for i, h := range hosts {
		go func() {
			defer func() { done <- struct{}{} }()
			openUntil(rec, s.nodes[i].name, h, service, stop)
		}()
	}
	time.Sleep(observedTime)
	close(stop)
	for range hosts {
		<-done
	}
	rec.checkEvacuation(s, ackAt)
	return nil
}

// openUntil opens flows through one machine, one request each, until stop is closed.
func openUntil(rec *record, node string, h *client.Host, service netip.AddrPort, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(openInterval):
		}
		if err := requestOnNewFlow(h, service, fmt.Sprintf("%s-%d", node, n)); err != nil {
			rec.note("request %s-%d: %v", node, n, err)
		}
	}
}

// checkEvacuation checks which openings reached servers of the evacuated zone.
func (r *record) checkEvacuation(s *site, ackAt time.Time) {
	zones := map[string]string{}
	for _, b := range s.servers {
		zones[b.ID()] = b.Zone()
	}
	r.mu.Lock()
	opened := append([]opening(nil), r.opened...)
	r.mu.Unlock()
	for _, o := range opened {
		if after := o.at.Sub(ackAt); zones[o.server] == evacuatedZone && after > evacuateBound+stabilityWindow {
			r.breaks("EVAC: server %s in %s takes the opening of %s %d ms after the acknowledgement of the evacuation", o.server, evacuatedZone, o.caller, after.Milliseconds())
		}
	}
}
