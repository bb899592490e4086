package spill

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "cuminshift/internal/fixedseed"
	"cuminshift/internal/model"
)

// cluster is a fluid model of data centres of a given capacity, in requests per
// second, each with independent instances. A data centre refuses what exceeds its
// capacity.
type cluster struct {
	rng       *rand.Rand
	now       time.Time
	capacity  []float64
	demand    []float64 // per second, by data centre of the callers
	down      []bool
	mute      []bool  // responses of the data centre to other data centres are lost
	pinned    float64 // fraction of the requests that come on old flows, which stay local
	instances []*instance
	load      []float64 // of the last tick, relative to the capacity
}

type instance struct {
	home            int
	controller      Controller
	served, refused []float64
}

const (
	tick  = 100 * time.Millisecond
	decay = 0.9048 // of the samples in a tick, for a time constant of 1 s
)

func newCluster(perDC int, capacity, demand []float64) *cluster {
	n := len(capacity)
	m := &cluster{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), capacity: capacity, demand: demand, down: make([]bool, n), mute: make([]bool, n), load: make([]float64, n)}
	for i := range n * perDC {
		m.instances = append(m.instances, &instance{home: i % n, served: make([]float64, n), refused: make([]float64, n)})
	}
	return m
}

func name(dc int) model.DataCentre { return model.DataCentre(fmt.Sprint("dc", dc)) }

// run advances the model by d and calls check, unless nil, after each tick.
func (m *cluster) run(d time.Duration, check func(elapsed time.Duration)) {
	n := len(m.capacity)
	for elapsed := tick; elapsed <= d; elapsed += tick {
		m.now = m.now.Add(tick)
		sent, total := make([][]float64, len(m.instances)), make([]float64, n)
		for i, x := range m.instances {
			sent[i] = make([]float64, n)
			flows := m.demand[x.home] / float64(len(m.instances)/n) * tick.Seconds()
			for range int(flows + m.rng.Float64()) {
				dc := x.home
				if p := x.controller.Pick(m.rng.Float64()); p != "" && m.rng.Float64() >= m.pinned {
					fmt.Sscanf(string(p), "dc%d", &dc)
				}
				sent[i][dc]++
				total[dc]++
			}
		}
		for j := range n {
			m.load[j] = total[j] / (m.capacity[j] * tick.Seconds())
		}
		for i, x := range m.instances {
			var views []DataCentre
			for j := range n {
				x.served[j], x.refused[j] = x.served[j]*decay, x.refused[j]*decay
				for range int(sent[i][j]) {
					switch {
					case m.mute[j] && j != x.home:
					case m.rng.Float64()*m.load[j] > 1:
						x.refused[j]++
					default:
						x.served[j]++
					}
				}
				s := x.served[j] + x.refused[j]
				views = append(views, DataCentre{Name: name(j), Local: j == x.home, Usable: !m.down[j], Refused: x.refused[j] / max(s, 1e-9), Samples: s})
			}
			x.controller.Update(m.now, views)
		}
		if check != nil {
			check(elapsed)
		}
	}
}

// spilled returns the mean moved fraction of the instances of a data centre.
func (m *cluster) spilled(home int) (mean float64) {
	n := 0.0
	for _, x := range m.instances {
		if x.home == home {
			mean += x.controller.SpilledFraction()
			n++
		}
	}
	return mean / n
}

// usual is the demand of each data centre before and after a burst.
const usual = 500

// Guards against refusals in one data centre while another has room, against flows
// that move although all refuse alike or that swing between two data centres, and
// against flows that stay away after the burst. The cases with 40 instances have 20
// to 60 samples at an instance.
func TestBurst(t *testing.T) {
	for _, c := range []struct {
		name             string
		perDC            int
		capacity, demand []float64
		maxSpilled       []float64 // at any time
		maxRefused       float64   // of data centre 0, from 2 s on
		back             time.Duration
	}{
		{"one hot, others with room", 5, []float64{1500, 1500, 1500}, []float64{2500, usual, usual}, []float64{0.44, 0, 0}, 0.06, 2 * time.Second},
		{"one hot, few samples", 40, []float64{1500, 1500, 1500}, []float64{2500, usual, usual}, []float64{0.44, 0, 0}, 0.1, 3 * time.Second},
		{"one hot, uneven room", 5, []float64{600, 2000, 1500}, []float64{2500, usual, usual}, []float64{0.84, 0, 0.05}, 0.08, 3 * time.Second},
		{"all hot alike", 5, []float64{600, 600, 600}, []float64{2500, 2500, 2500}, []float64{0.08, 0.08, 0.08}, 0.78, 3 * time.Second},
		{"all hot alike, few samples", 40, []float64{600, 600, 600}, []float64{2500, 2500, 2500}, []float64{0.2, 0.2, 0.2}, 0.78, 3 * time.Second},
		{"two hot, one with room", 5, []float64{600, 600, 5000}, []float64{2500, 2000, usual}, []float64{0.84, 0.84, 0}, 0.08, 3500 * time.Millisecond},
		{"two hot, no room", 5, []float64{600, 600}, []float64{1500, 800}, []float64{0.3, 0.05}, 0.55, 3 * time.Second},
		{"the hot one fills the other", 5, []float64{1000, 1000}, []float64{2000, usual}, []float64{0.5, 0.05}, 0.25, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			calm := []float64{usual, usual, usual}[:len(c.capacity)]
			m := newCluster(c.perDC, c.capacity, calm)
			m.run(5*time.Second, nil)
			m.demand = c.demand
			maxSpilled, refused, lateTicks := make([]float64, len(calm)), 0.0, 0.0
			m.run(10*time.Second, func(elapsed time.Duration) {
				for j := range calm {
					maxSpilled[j] = max(maxSpilled[j], m.spilled(j))
				}
				if elapsed > 2*time.Second {
					refused += max(0, 1-1/m.load[0])
					lateTicks++
				}
			})
			refused /= lateTicks
			m.demand = calm
			back := time.Duration(0)
			m.run(10*time.Second, func(elapsed time.Duration) {
				for j := range calm {
					if m.spilled(j) > 0.01 {
						back = elapsed
					}
				}
			})
			t.Logf("spilled at most %.3f, refused %.3f, back after %s", maxSpilled, refused, back)
			for j := range calm {
				if maxSpilled[j] > c.maxSpilled[j] {
					t.Errorf("data centre %d spilled %.3f, limit %.3f", j, maxSpilled[j], c.maxSpilled[j])
				}
			}
			if refused > c.maxRefused || back > c.back {
				t.Errorf("refused %.3f, limit %.3f; back after %s, limit %s", refused, c.maxRefused, back, c.back)
			}
		})
	}
}

// hot returns a cluster whose data centre 0 has been hot for 5 s.
func hot() *cluster {
	m := newCluster(5, []float64{1500, 2500, 2500}, []float64{2500, usual, usual})
	m.run(5*time.Second, nil)
	return m
}

// Guards against flows to a data centre that is withdrawn while it receives spilled
// flows, and against refusals that this leaves although the third one has room.
func TestWithdrawnDataCentre(t *testing.T) {
	m := hot()
	if m.instances[0].controller.Share(name(1)) < 0.05 {
		t.Fatal("nothing is spilled to the data centre to withdraw")
	}
	m.down[1] = true
	m.run(4*time.Second, func(elapsed time.Duration) {
		if elapsed > tick && m.load[1]*m.capacity[1] > usual*1.1 {
			t.Errorf("load %.2f at the withdrawn data centre after %s", m.load[1], elapsed)
		}
		if elapsed > 3*time.Second && m.load[0] > 1.2 {
			t.Errorf("load %.2f at the hot data centre after %s", m.load[0], elapsed)
		}
	})
	m.down[2] = true
	m.run(tick, nil)
	if s := m.spilled(0); s != 0 {
		t.Errorf("spilled %.3f without another usable data centre", s)
	}
}

// Guards against flows that continue to go to a data centre that no longer responds,
// or that never did.
func TestSilentDataCentre(t *testing.T) {
	for _, before := range []bool{true, false} {
		m := newCluster(5, []float64{1500, 2500, 2500}, []float64{2500, usual, usual})
		m.mute[1] = before
		m.run(5*time.Second, nil)
		m.mute[1] = true
		m.run(5*time.Second, func(elapsed time.Duration) {
			if s := m.instances[0].controller.Share(name(1)); (before || elapsed > 3*time.Second) && s > maxTrialShare {
				t.Errorf("share %.3f of a silent data centre after %s, silent before: %v", s, elapsed, before)
			}
		})
		if m.load[0] > 1.2 {
			t.Errorf("load %.2f at the hot data centre, silent before: %v", m.load[0], before)
		}
	}
}

// Guards against flows that stay away for good because the capacity of the own data
// centre was last seen as nearly 0, or because no new flow is local that could show
// how much fits.
func TestFlowsReturnFromEverythingMoved(t *testing.T) {
	for _, c := range []struct{ capacity, demand, pinned float64 }{{1, usual, 0}, {600, 2500, 0.7}} {
		m := newCluster(5, []float64{c.capacity, 5000, 5000}, []float64{c.demand, usual, usual})
		m.pinned = c.pinned
		m.run(10*time.Second, nil)
		spilled := m.spilled(0)
		m.capacity[0], m.demand[0] = 1500, usual
		m.run(6*time.Second, nil)
		if s := m.spilled(0); spilled < 0.9 || s > 0.01 {
			t.Errorf("%+v: spilled %.3f, and %.3f 6 s after the recovery", c, spilled, s)
		}
	}
}

// Guards against shares that are not numbers, exceed 1 or go to an unknown or unusable
// data centre, whatever the views contain.
func TestSharesStayValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Controller
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "ms")) * time.Millisecond)
			views := []DataCentre{{Name: "own", Local: true, Usable: rapid.IntRange(0, 9).Draw(t, "usable") > 0}}
			usable := map[model.DataCentre]bool{"": true}
			for _, n := range rapid.SliceOfDistinct(rapid.SampledFrom([]model.DataCentre{"a", "b", "c"}), rapid.ID).Draw(t, "remote") {
				usable[n] = rapid.Bool().Draw(t, "usable")
				views = append(views, DataCentre{Name: n, Usable: usable[n]})
			}
			for i := range views {
				views[i].Refused = rapid.OneOf(rapid.Float64Range(0, 1), rapid.Float64()).Draw(t, "refused")
				views[i].Samples = rapid.OneOf(rapid.Float64Range(0, 300), rapid.Float64()).Draw(t, "samples")
			}
			c.Update(now, views)
			if s := c.SpilledFraction(); !(s >= 0 && s <= 1+1e-9) {
				t.Fatalf("spilled fraction %v", s)
			}
			if p := c.Pick(rapid.Float64Range(0, 0.999).Draw(t, "point")); !usable[p] {
				t.Fatalf("picked %q, which is not usable", p)
			}
		}
	})
}
