package server

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"cuminshift/internal/standin/platform/client"
	"cuminshift/internal/standin/platform/store"
	"cuminshift/internal/standin/platform/wire"
)

// runRecorder counts the requests that run.
type runRecorder struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runRecorder) Opened(string, string, netip.AddrPort, netip.AddrPort, time.Time) {}
func (r *runRecorder) Forged(string, time.Time)                                         {}
func (r *runRecorder) Ran(_, _, request string, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
}

// Guards against a full server that keeps requests waiting, or that runs a request
// which it refused. Of four requests at once, one runs, two wait until they are
// refused and one is refused immediately.
func TestFullServerRefuses(t *testing.T) {
	storeServer := httptest.NewServer(store.New())
	defer storeServer.Close()
	port := func(last int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("127.29.7.%d:18172", last))
	}
	recorder := &runRecorder{runs: map[string]int{}}
	s, err := Start(Config{ID: "i-7", Service: "campo", Zone: "norte", Address: port(1), CallerPort: 18172, Slots: 1, QueueLimit: 2,
		StoreURL: storeServer.URL, HeartbeatInterval: time.Second, Observer: recorder})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Kill()
	gateway, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(port(2)))
	if err != nil {
		t.Fatal(err)
	}
	defer gateway.Close()
	go func() {
		b := make([]byte, 2048)
		binary.BigEndian.PutUint64(b, 7)
		for {
			n, err := gateway.Read(b[wire.FenceSize:])
			if err != nil {
				return
			}
			if _, err := gateway.WriteToUDPAddrPort(b[:wire.FenceSize+n], port(1)); err != nil {
				return
			}
		}
	}()
	host, err := client.NewHost(port(3), port(2))
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	var wg sync.WaitGroup
	refusals, immediate := 0, 0
	for i := range 4 {
		f, err := host.Open(t.Context(), netip.MustParseAddrPort("198.18.0.1:8443"))
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			id, start := fmt.Sprint("request-", i), time.Now()
			answer, err := f.Request(t.Context(), id, 400, 600)
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			if err != nil || answer.Refused == (recorder.runs[id] > 0) {
				t.Errorf("%s: answer %+v, error %v, ran %d times", id, answer, err, recorder.runs[id])
			}
			if answer.Refused {
				refusals++
				if time.Since(start) < maxQueueTime {
					immediate++
				}
			}
		})
	}
	wg.Wait()
	if refusals != 3 || immediate != 1 {
		t.Errorf("%d refusals, %d of them immediate, want 3 and 1", refusals, immediate)
	}
}
