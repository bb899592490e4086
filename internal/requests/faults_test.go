package requests_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/model"
	"cuminshift/internal/requests"
)

// run is one execution at a server.
type run struct {
	key     requests.Key
	attempt uint32
	over    bool
}

// disturb kills, freezes, restarts or retires an instance.
func (s *sim) disturb() {
	var live []*instance
	for _, in := range s.instances {
		if !in.dead && !in.leaving && in.frozenUntil.Before(s.now) {
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
		s.after(s.ms(100, 3000), func() { s.start(in.id) })
	case 1:
		in.frozenUntil = s.now.Add(s.ms(100, 4000))
	case 2:
		in.dead = true
	case 3:
		in.leaving = true
		in.coord.Stop()
		s.publish()
		s.after(3*time.Second, func() {
			if !in.dead && !in.coord.Idle() {
				s.fail("planned stop of %s did not finish its requests", in.id)
			}
			in.dead = true
			s.publish()
		})
		s.start(model.InstanceID(rune('a' + len(s.instances))))
	}
}

// upset restarts a server, which is cold then for a while, or silences it.
func (s *sim) upset() {
	sv := s.servers[s.anyServer()]
	for _, r := range sv.running {
		r.over = true
	}
	sv.silentUntil = s.now.Add(s.ms(0, 2000))
	sv.cold = true
	s.after(s.ms(2000, 8000), func() { sv.cold = s.alwaysCold })
}

// checkKnowledge notes since when the admitters treat servers as cold.
func (s *sim) checkKnowledge() {
	for id, sv := range s.servers {
		in := s.find(s.published.Admitter(id))
		if in == nil {
			continue
		}
		if st := in.admit.Status(s.now, id); !st.Cold || st.Allowed > sv.info.ColdSlots {
			sv.knownCold = time.Time{}
		} else if sv.knownCold.IsZero() {
			sv.knownCold = s.now
		}
	}
	s.after(5*time.Millisecond, s.checkKnowledge)
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
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), calls: map[requests.Key]*call{}, loss: loss, alwaysCold: cold,
		servers: map[model.ServerID]*server{}, infos: map[model.ServerID]*model.BackendServer{},
	}
	for id := model.ServerID(1); id <= 3; id++ {
		s.infos[id] = &model.BackendServer{ID: id, Service: 1, Slots: 3, ColdSlots: 1}
		s.servers[id] = &server{info: s.infos[id], cold: cold, seen: map[string]bool{}}
	}
	for i := 0; i < 4; i++ {
		s.start(model.InstanceID(rune('a' + i)))
	}
	s.watch()
	s.checkKnowledge()
	return s
}

// Guards against a second run of a non-idempotent request, a false
// DID_NOT_RUN, a mixed or partial answer, more load on cold servers than they
// bear, and requests cut by a planned stop, while instances are killed,
// frozen, restarted and replaced.
func TestRequestsUnderFaults(t *testing.T) {
	answers, denied, runs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "cold"), rapid.IntRange(0, 3).Draw(t, "loss"))
		for i := uint64(1); i <= uint64(rapid.IntRange(50, 600).Draw(t, "requests")); i++ {
			s.after(500*time.Millisecond+s.ms(0, 10_000), func() { s.request(i) })
		}
		for n := rapid.IntRange(0, 6).Draw(t, "faults"); n > 0; n-- {
			s.after(s.ms(500, 10_000), s.disturb)
		}
		for n := rapid.IntRange(0, 3).Draw(t, "upsets"); n > 0; n-- {
			s.after(s.ms(500, 8_000), s.upset)
		}
		s.run(16 * time.Second)
		if s.failure != "" {
			t.Fatal(s.failure)
		}
		answers, denied, runs = answers+s.answers, denied+s.denied, runs+1
	})
	t.Logf("%d simulations: %d answers, %d refusals", runs, answers, denied)
	if answers < denied/20 {
		t.Errorf("%d answers and %d refusals: the simulation shows little", answers, denied)
	}
}
