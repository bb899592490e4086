package requests_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/model"
	"cuminshift/internal/requests"
)

// execution is one execution of a request at a server.
type execution struct {
	key     requests.Key
	attempt uint32
	ended   bool
}

// injectInstanceFault kills, suspends, restarts or gracefully stops an instance.
func (s *sim) injectInstanceFault() {
	var live []*instance
	for _, in := range s.instances {
		if !in.dead && !in.leaving && in.suspendedUntil.Before(s.now) {
			live = append(live, in)
		}
	}
	if len(live) == 0 {
		return
	}
	in := live[s.rng.IntN(len(live))]
	switch s.rng.IntN(4) {
	case 0:
		in.dead = true
		s.after(s.randomMillis(100, 3000), func() { s.startInstance(in.id) })
	case 1:
		in.suspendedUntil = s.now.Add(s.randomMillis(100, 4000))
	case 2:
		in.dead = true
	case 3:
		in.leaving = true
		in.coordinator.Stop()
		s.publish()
		s.after(3*time.Second, func() {
			if !in.dead && !in.coordinator.Idle() {
				s.fail("%s still has requests or grants 3 s after the start of its graceful stop", in.id)
			}
			in.dead = true
			s.publish()
		})
		s.startInstance(model.InstanceID(rune('a' + len(s.instances))))
	}
}

// injectServerFault restarts a server: it does not answer for up to 2 s and is cold
// for a while.
func (s *sim) injectServerFault() {
	sv := s.servers[s.anyServer()]
	for _, r := range sv.running {
		r.ended = true
	}
	sv.silentUntil = s.now.Add(s.randomMillis(0, 2000))
	sv.cold = true
	s.after(s.randomMillis(2000, 8000), func() { sv.cold = s.alwaysCold })
}

// trackKnownCold records since when the admitters have treated each server as cold.
func (s *sim) trackKnownCold() {
	for id, sv := range s.servers {
		in := s.liveInstance(s.published.Admitter(id))
		if in == nil {
			continue
		}
		if st := in.admitter.Status(s.now, id); !st.Cold || st.Allowed > sv.backend.ColdSlots {
			sv.knownCold = time.Time{}
		} else if sv.knownCold.IsZero() {
			sv.knownCold = s.now
		}
	}
	s.after(5*time.Millisecond, s.trackKnownCold)
}

func (s *sim) run(length time.Duration) {
	end := s.now.Add(length)
	for len(s.queue) > 0 && s.failure == "" {
		e := s.queue[0]
		s.queue = s.queue[1:]
		if s.now = e.at; s.now.After(end) {
			return
		}
		e.do()
	}
}

func newSim(seed uint64, cold bool, loss int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), callerRequests: map[requests.Key]*callerRequest{}, loss: loss, alwaysCold: cold,
		servers: map[model.ServerID]*server{}, backends: map[model.ServerID]*model.BackendServer{},
	}
	for id := model.ServerID(1); id <= 3; id++ {
		s.backends[id] = &model.BackendServer{ID: id, Service: 1, Slots: 3, ColdSlots: 1}
		s.servers[id] = &server{backend: s.backends[id], cold: cold, receivedAttempts: map[string]bool{}}
	}
	for i := 0; i < 4; i++ {
		s.startInstance(model.InstanceID(rune('a' + i)))
	}
	s.detectFailures()
	s.trackKnownCold()
	return s
}

// Guards against running a non-idempotent request twice, a false DID_NOT_RUN, a
// partial answer or one mixed from two attempts, more load on cold servers than
// their cold-start slots, and requests that a graceful stop ends, while instances
// are killed, suspended, restarted and replaced.
func TestRequestsUnderFaults(t *testing.T) {
	answers, refusals, simulations := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "cold"), rapid.IntRange(0, 3).Draw(t, "loss"))
		for i := uint64(1); i <= uint64(rapid.IntRange(50, 600).Draw(t, "requests")); i++ {
			s.after(500*time.Millisecond+s.randomMillis(0, 10_000), func() { s.sendRequest(i) })
		}
		for n := rapid.IntRange(0, 6).Draw(t, "instance faults"); n > 0; n-- {
			s.after(s.randomMillis(500, 10_000), s.injectInstanceFault)
		}
		for n := rapid.IntRange(0, 3).Draw(t, "server faults"); n > 0; n-- {
			s.after(s.randomMillis(500, 8_000), s.injectServerFault)
		}
		s.run(16 * time.Second)
		if s.failure != "" {
			t.Fatal(s.failure)
		}
		answers, refusals, simulations = answers+s.answers, refusals+s.refusals, simulations+1
	})
	t.Logf("%d simulations: %d answers, %d refusals", simulations, answers, refusals)
	if answers < refusals/20 {
		t.Errorf("%d answers and %d refusals: too few answers for a meaningful test", answers, refusals)
	}
}
