package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/store"
)

const (
	eraHeader = "Store-Era"
	// firstEra is the store's era before it is restored.
	firstEra = 1
	// The times of the drill: the age of the copy, the time for which the store is away,
	// and the time from its return to the drain, after which the store is stable.
	drillCopyAge  = 3 * time.Second
	drillAwayTime = 300 * time.Millisecond
	drillStable   = stabilityWindow + 50*time.Millisecond
	// changesBefore and changesAfter are the numbers of versions that are written
	// between the copy and the drill, and after the drain.
	changesBefore = 4
	changesAfter  = 4
	// leavingTime is the time for which the leaving server goes on serving.
	leavingTime = 12 * time.Second
)

// eraFront states the store's present era in all its answers, also in those with older
// data.
type eraFront struct {
	store http.Handler
	era   atomic.Int64
}

func (f *eraFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.store.ServeHTTP(&eraWriter{ResponseWriter: w, era: f.era.Load()}, r)
}

// eraWriter sets the header with the era before an answer is sent.
type eraWriter struct {
	http.ResponseWriter
	era int64
}

func (w *eraWriter) WriteHeader(status int) {
	w.Header().Set(eraHeader, strconv.FormatInt(w.era, 10))
	w.ResponseWriter.WriteHeader(status)
}

// versionWriter writes versions of a configuration that differ in a time-out only.
type versionWriter struct {
	site *site
	c    *fullConfig
}

func (v *versionWriter) write(n int) error {
	for range n {
		v.c.Version += 3
		v.c.Routes[0].TimeoutMS++
		if err := v.site.writeConfig(v.c); err != nil {
			return err
		}
		time.Sleep(stormGap)
	}
	return nil
}

// staleRead lets the store come back from a copy. Once it is stable again, a server
// drains and a machine is killed. The machine starts with a stale read, which returns
// what the store held before it went away. Without the trouble, the store is not away
// and no machine is killed.
func staleRead(s *site, rec *record, trouble bool) error {
	front := &eraFront{store: s.store}
	front.era.Store(firstEra)
	s.storeServer.Handler = front
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	versions := &versionWriter{site: s, c: newConfig(newRoute(1, service, "campo-app"))}
	if err := s.writeConfig(versions.c); err != nil {
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
	hosts, err := s.directHosts()
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	copied := s.store.Copy()
	time.Sleep(drillCopyAge)
	if err := versions.write(changesBefore); err != nil {
		return err
	}
	s.store.FreezeStale()
	rec.note("stale reads return the state of now")
	if trouble {
		s.playDrill(copied, front)
	}
	// The operator writes the last version again.
	if err := s.writeConfig(versions.c); err != nil {
		return err
	}
	time.Sleep(drillStable)
	leaving := servers["i-7f3a9110"]
	leaving.drain()
	ackAt := time.Now()
	rec.note("the store acknowledges that server %s is draining", leaving.id)
	killed := s.nodes[2]
	if trouble {
		rec.note("%s is killed", killed.name)
		killed.signal(syscall.SIGKILL)
	}
	if err := versions.write(changesAfter); err != nil {
		return err
	}
	if err := s.awaitReady(5 * time.Second); err != nil {
		return err
	}
	readyAt := time.Now()
	rec.note("%s is ready", killed.name)
	for n := 0; time.Since(readyAt) < leavingTime; n++ {
		if err := requestOnNewFlow(hosts[2], service, fmt.Sprintf("r-%d", n)); err != nil {
			rec.note("request r-%d: %v", n, err)
		}
		time.Sleep(openInterval)
	}
	rec.checkDrain(leaving.id, ackAt, readyAt.Add(stabilityWindow))
	return nil
}

// playDrill lets the store be away for a moment and come back from a copy.
func (s *site) playDrill(copied store.Copy, front *eraFront) {
	s.rec.note("the store goes away")
	s.store.SetMode(store.Silent, 0)
	time.Sleep(drillAwayTime)
	s.store.Restore(copied)
	front.era.Store(firstEra + 1)
	s.store.SetMode(store.Up, 0)
	s.rec.note("the store is back, from a copy; its era has risen by one")
}

// checkDrain checks which openings a leaving server took later than drainBound after the
// acknowledgement, through machines that are all in touch from inTouch on.
func (r *record) checkDrain(id string, ackAt, inTouch time.Time) {
	r.mu.Lock()
	opened := append([]opening(nil), r.opened...)
	r.mu.Unlock()
	for _, o := range opened {
		if late := o.at.Sub(ackAt); o.server == id && late > drainBound && o.at.After(inTouch) {
			r.breaks("DRAIN: server %s takes the opening of %s %d ms after the acknowledgement that it is draining", id, o.caller, late.Milliseconds())
		}
	}
}
