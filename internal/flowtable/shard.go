package flowtable

import (
	"sync"

	"cuminshift/internal/model"
)

// entry is one pin: 40 bytes without pointers, so the garbage collector does
// not scan chunks.
type entry struct {
	flow        model.FlowHash
	service     model.ServiceID
	server      model.ServerID // 0: the slot is free
	planVersion uint64
	// use is the last use in ticks, shifted left by one, and the recorded flag.
	use uint32
	// next is the slot number plus one of the next entry in the chain or in
	// the free list; 0 ends the list.
	next uint32
}

func (e *entry) lastUse() uint32 { return e.use >> 1 }
func (e *entry) recorded() bool  { return e.use&1 != 0 }
func (e *entry) touch(at uint32) { e.use = at<<1 | e.use&1 }
func (e *entry) setRecorded(recorded bool) {
	e.use &^= 1
	if recorded {
		e.use |= 1
	}
}

type shard struct {
	mu     sync.Mutex
	index  []uint32 // slot number plus one of the first entry of each chain
	chunks []*[chunkEntries]entry
	slots  int // slots ever used
	used   int
	free   uint32
	// Keeps the locks of neighbouring shards in different cache lines.
	_ [48]byte
}

func (s *shard) at(slot int) *entry {
	return &s.chunks[slot/chunkEntries][slot%chunkEntries]
}

// chain returns the index position of a flow. Shards are selected by the top
// bits, so the low bits are still uniform within a shard.
func (s *shard) chain(flow model.FlowHash) *uint32 {
	return &s.index[uint64(flow)&uint64(len(s.index)-1)]
}

func (s *shard) find(service model.ServiceID, flow model.FlowHash) *entry {
	for i := *s.chain(flow); i != 0; {
		e := s.at(int(i - 1))
		if e.flow == flow && e.service == service {
			return e
		}
		i = e.next
	}
	return nil
}

// insert adds an entry that find did not return.
func (s *shard) insert(service model.ServiceID, flow model.FlowHash) *entry {
	if s.used >= len(s.index) {
		s.grow()
	}
	slot := s.free
	if slot != 0 {
		s.free = s.at(int(slot - 1)).next
	} else {
		if s.slots == len(s.chunks)*chunkEntries {
			s.chunks = append(s.chunks, new([chunkEntries]entry))
		}
		s.slots++
		slot = uint32(s.slots)
	}
	s.used++
	e := s.at(int(slot - 1))
	head := s.chain(flow)
	*e = entry{flow: flow, service: service, next: *head}
	*head = slot
	return e
}

// grow doubles the index.
func (s *shard) grow() {
	s.index = make([]uint32, 2*len(s.index))
	for i := 0; i < s.slots; i++ {
		e := s.at(i)
		if e.server == 0 {
			continue
		}
		head := s.chain(e.flow)
		e.next = *head
		*head = uint32(i + 1)
	}
}

// remove deletes an entry that exists.
func (s *shard) remove(service model.ServiceID, flow model.FlowHash) {
	link := s.chain(flow)
	for *link != 0 {
		slot := *link
		e := s.at(int(slot - 1))
		if e.flow == flow && e.service == service {
			*link = e.next
			*e = entry{next: s.free}
			s.free = slot
			s.used--
			return
		}
		link = &e.next
	}
}
