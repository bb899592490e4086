package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cuminshift/internal/config"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/storeclient"
)

// memoryStore is an object store in memory that never fails.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]object
}

type object struct {
	value   []byte
	version uint64
}

func (m *memoryStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.objects[key]
	return o.value, o.version, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	// The lock is needed because an edit writes its shards in parallel.
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.objects[key]
	if ifVersion != nil && *ifVersion != o.version {
		return 0, &storeclient.VersionMismatchError{Key: key}
	}
	m.objects[key] = object{value, o.version + 1}
	return o.version + 1, nil
}

// operatorModel models the operator: it holds the callers, the plans and the marks
// and writes them by edits.
type operatorModel struct {
	fleet   *fleet
	store   *memoryStore
	version uint64
	edits   int
	marks   *pb.Marks
	// draining and absent are sets of servers by name. Absent servers are left
	// out of the plans.
	draining, absent map[string]bool
	// acceptedAt is the time at which the newest edit was accepted.
	acceptedAt time.Time
}

func newOperatorModel(f *fleet) *operatorModel {
	m := &operatorModel{fleet: f, store: &memoryStore{objects: map[string]object{}}, marks: &pb.Marks{}, draining: map[string]bool{}, absent: map[string]bool{}}
	m.submitEdit()
	return m
}

func (m *operatorModel) callers() *pb.CallerList {
	return &pb.CallerList{Callers: []*pb.CallerEntry{{Name: "all", Plan: "all", Prefixes: []string{"10.1.0.0/16"}}}}
}

func (m *operatorModel) plans() *pb.PlanList {
	service := &pb.ServiceEntry{Name: serviceName}
	for _, dc := range m.fleet.dataCentres {
		site := &pb.ServiceSite{DataCentre: string(dc.name), Address: dc.address.String()}
		for _, s := range dc.servers {
			if m.absent[s.entry.Name] {
				continue
			}
			s.entry.Drain = m.draining[s.entry.Name]
			site.Servers = append(site.Servers, s.entry)
		}
		service.Sites = append(service.Sites, site)
	}
	return &pb.PlanList{
		Plans:    []*pb.PlanEntry{{Name: "all", Uses: []*pb.PlanUse{{Service: serviceName}}}},
		Services: []*pb.ServiceEntry{service},
	}
}

// submitEdit writes the callers, the plans and the marks by an edit.
func (m *operatorModel) submitEdit() {
	m.edits++
	editor := config.NewEditor(config.EditorConfig{Deadline: time.Now().Add(time.Minute), Rand: rand.New(rand.NewPCG(uint64(m.edits), 5))}, config.Edit{
		ID: fmt.Sprint("edit-", m.edits), Operator: "measure", Summary: "measure", BaseVersion: m.version,
		Callers: m.callers(), Plans: m.plans(), Marks: m.marks,
	})
	done, err := storeclient.RunEdit(context.Background(), m.store, editor, func(context.Context) uint64 { return m.version })
	if err != nil {
		panic(fmt.Sprintf("measure: edit failed: %+v", err))
	}
	m.version, m.acceptedAt = done.Version, m.fleet.now
}

func (m *operatorModel) drainServer(s *server) {
	s.draining = true
	m.draining[s.entry.Name] = true
	m.submitEdit()
	m.fleet.notifyMembershipChanged(50 * time.Millisecond)
}

// toggleDrain drains a server or ends its drain.
func (m *operatorModel) toggleDrain(s *server) {
	s.draining = !s.draining
	m.draining[s.entry.Name] = s.draining
	m.submitEdit()
}

// addServer adds a cold server to a data centre.
func (m *operatorModel) addServer(dc *dataCentre) *server {
	s := m.fleet.newServer(dc, len(dc.servers))
	s.makeCold(10 * time.Second)
	dc.servers = append(dc.servers, s)
	m.submitEdit()
	m.fleet.notifyMembershipChanged(50 * time.Millisecond)
	return s
}

// setDataCentreOut marks a data centre as out, or removes all marks.
func (m *operatorModel) setDataCentreOut(dc model.DataCentre, out bool) {
	m.marks = &pb.Marks{}
	if out {
		m.marks.DataCentresOut = []string{string(dc)}
	}
	m.submitEdit()
}
