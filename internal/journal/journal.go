// Package journal keeps the most recent decisions of an instance in a ring buffer,
// for the operator commands status and explain.
package journal

import (
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Entry is a decision with its cause.
type Entry struct {
	// At is the time of the decision, or of its latest repetition.
	At time.Time
	// Part is the component that took the decision, such as "config" or "limit".
	Part string
	// Event and Cause are free text.
	Event string
	Cause string
	// Count is the number of consecutive times that the decision was taken.
	Count int
}

// Journal is a ring buffer of entries. It is not safe for concurrent use.
type Journal struct {
	entries []Entry
	// next is the index of the next entry to write.
	next int
	// wrapped is true once all entries are in use.
	wrapped bool
}

// New returns a journal that keeps the latest size entries.
func New(size int) *Journal {
	return &Journal{entries: make([]Entry, size)}
}

// Add records a decision. A repetition of the newest entry only increments its
// count, so that a burst of refusals does not displace all other entries.
func (j *Journal) Add(now time.Time, part, event, cause string) {
	if last := j.newest(); last != nil && last.Part == part && last.Event == event && last.Cause == cause {
		last.At = now
		last.Count++
		return
	}
	j.entries[j.next] = Entry{now, part, event, cause, 1}
	j.next++
	if j.next == len(j.entries) {
		j.next, j.wrapped = 0, true
	}
}

// newest returns the latest entry, or nil if the journal is empty.
func (j *Journal) newest() *Entry {
	if j.next == 0 {
		if !j.wrapped {
			return nil
		}
		return &j.entries[len(j.entries)-1]
	}
	return &j.entries[j.next-1]
}

// Entries returns the entries, oldest first, of which the part, event or cause
// contains the text. An empty text matches all entries.
func (j *Journal) Entries(text string) []Entry {
	ordered := j.entries[:j.next]
	if j.wrapped {
		ordered = append(append([]Entry(nil), j.entries[j.next:]...), ordered...)
	}
	var out []Entry
	for _, e := range ordered {
		if strings.Contains(e.Event, text) || strings.Contains(e.Cause, text) || strings.Contains(e.Part, text) {
			out = append(out, e)
		}
	}
	return out
}

// Proto returns the protobuf message of an entry.
func (e Entry) Proto() *pb.JournalEntry {
	return &pb.JournalEntry{UnixMs: e.At.UnixMilli(), Part: e.Part, Event: e.Event, Cause: e.Cause, Count: uint32(e.Count)}
}
