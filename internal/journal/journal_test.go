package journal

import (
	"fmt"
	"testing"
	"time"
)

// Guards against entries in the wrong order after the ring buffer wraps around.
func TestEntriesAreOldestFirstAfterWrap(t *testing.T) {
	j := New(3)
	for i := 0; i < 5; i++ {
		j.Add(time.Unix(int64(i), 0), "part", fmt.Sprint("event ", i), "")
	}
	var got []string
	for _, e := range j.Entries("event") {
		got = append(got, e.Event)
	}
	if want := "[event 2 event 3 event 4]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against a burst of identical refusals that displaces other decisions.
func TestRepeatedEntryIsCounted(t *testing.T) {
	j := New(2)
	j.Add(time.Unix(1, 0), "map", "moved", "drain")
	for i := 0; i < 10; i++ {
		j.Add(time.Unix(2, 0), "limit", "refused", "rate")
	}
	if got := j.Entries(""); len(got) != 2 || got[1].Count != 10 {
		t.Errorf("got %+v", got)
	}
}
