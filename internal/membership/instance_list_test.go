package membership

import (
	"testing"
	"time"
)

// Guards against an instance that starts while the platform is unreachable,
// receives a configuration before the instance list, and publishes a state that
// conflicts with the one in use (fault matrix, seed 41, I1, edit-spreading x
// [centre-cut-from-platform instance-joins]).
func TestNoPublisherBeforeInstanceList(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{Self: "a9", Incarnation: 1, Started: now})
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			m.Tick(now, LocalStatus{Ready: true, ConfigVersion: 3})
		}
	}
	run(3 * time.Second)
	if m.Publishing(now) {
		t.Fatal("publishes without having read the instance list")
	}
	m.SetInstanceList(now, nil)
	run(DefaultDeadAfter / 2)
	if m.Publishing(now) {
		t.Error("publishes before the listed instances could be heard")
	}
	run(2 * DefaultDeadAfter)
	if !m.Publishing(now) {
		t.Error("does not publish although it is alone")
	}
}
