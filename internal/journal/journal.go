// Package journal keeps a bounded list of an instance's decisions, for status
// and explain. The newest entries replace the oldest.
package journal

import (
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Entry is one decision with its cause.
type Entry struct {
	At    time.Time
	Part  string
	Event string
	Cause string
	// Count is above 1 when the same decision was repeated in a row.
	Count int
}

// Journal is a ring of entries. It is not safe for concurrent use.
type Journal struct {
	entries []Entry
	next    int
	wrapped bool
}

// New returns a journal of at most size entries.
func New(size int) *Journal {
	return &Journal{entries: make([]Entry, size)}
}

// Add records a decision. A repetition of the newest entry only raises its
// count, so that a burst of refusals does not displace everything else.
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

func (j *Journal) newest() *Entry {
	if j.next == 0 {
		if !j.wrapped {
			return nil
		}
		return &j.entries[len(j.entries)-1]
	}
	return &j.entries[j.next-1]
}

// Entries returns the entries that contain the text, oldest first.
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

// Proto returns the wire form of an entry.
func (e Entry) Proto() *pb.JournalEntry {
	return &pb.JournalEntry{UnixMs: e.At.UnixMilli(), Part: e.Part, Event: e.Event, Cause: e.Cause, Count: uint32(e.Count)}
}
