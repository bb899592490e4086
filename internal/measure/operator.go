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

// memoryStore is an object store without faults.
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
	// An edit writes its shards in parallel.
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.objects[key]
	if ifVersion != nil && *ifVersion != o.version {
		return 0, &storeclient.VersionMismatchError{Key: key}
	}
	m.objects[key] = object{value, o.version + 1}
	return o.version + 1, nil
}

// operatorModel holds the lists and makes edits.
type operatorModel struct {
	f       *fleet
	store   *memoryStore
	version uint64
	edits   int
	marks   *pb.Marks
	// draining and absent are servers by name.
	draining, absent map[string]bool
	// accepted is when the newest edit was accepted.
	accepted time.Time
}

func newOperatorModel(f *fleet) *operatorModel {
	d := &operatorModel{f: f, store: &memoryStore{objects: map[string]object{}}, marks: &pb.Marks{}, draining: map[string]bool{}, absent: map[string]bool{}}
	d.apply()
	return d
}

func (d *operatorModel) callers() *pb.CallerList {
	return &pb.CallerList{Callers: []*pb.CallerEntry{{Name: "all", Plan: "all", Prefixes: []string{"10.1.0.0/16"}}}}
}

func (d *operatorModel) plans() *pb.PlanList {
	service := &pb.ServiceEntry{Name: serviceName}
	for _, c := range d.f.centres {
		site := &pb.ServiceSite{DataCentre: string(c.name), Address: c.address.String()}
		for _, s := range c.servers {
			if d.absent[s.entry.Name] {
				continue
			}
			s.entry.Drain = d.draining[s.entry.Name]
			site.Servers = append(site.Servers, s.entry)
		}
		service.Sites = append(service.Sites, site)
	}
	return &pb.PlanList{
		Plans:    []*pb.PlanEntry{{Name: "all", Uses: []*pb.PlanUse{{Service: serviceName}}}},
		Services: []*pb.ServiceEntry{service},
	}
}

// apply makes an edit of both lists and the marks.
func (d *operatorModel) apply() {
	d.edits++
	editor := config.NewEditor(config.EditorConfig{Deadline: time.Now().Add(time.Minute), Rand: rand.New(rand.NewPCG(uint64(d.edits), 5))}, config.Edit{
		ID: fmt.Sprint("edit-", d.edits), Operator: "measure", Summary: "measure", BaseVersion: d.version,
		Callers: d.callers(), Plans: d.plans(), Marks: d.marks,
	})
	done, err := storeclient.RunEdit(context.Background(), d.store, editor, func(context.Context) uint64 { return d.version })
	if err != nil {
		panic(fmt.Sprintf("measure: edit failed: %+v", err))
	}
	d.version, d.accepted = done.Version, d.f.now
}

func (d *operatorModel) drain(s *server) {
	s.drain = true
	d.draining[s.entry.Name] = true
	d.apply()
	d.f.notifyChanged(50 * time.Millisecond)
}

// toggleDrain drains a server or ends its drain.
func (d *operatorModel) toggleDrain(s *server) {
	s.drain = !s.drain
	d.draining[s.entry.Name] = s.drain
	d.apply()
}

func (d *operatorModel) add(c *centre) *server {
	s := d.f.newServer(c, len(c.servers))
	s.goCold(10 * time.Second)
	c.servers = append(c.servers, s)
	d.apply()
	d.f.notifyChanged(50 * time.Millisecond)
	return s
}

func (d *operatorModel) mark(dc model.DataCentre, out bool) {
	d.marks = &pb.Marks{}
	if out {
		d.marks.DataCentresOut = []string{string(dc)}
	}
	d.apply()
}
