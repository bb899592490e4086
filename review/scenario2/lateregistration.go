package main

import (
	"errors"
	"syscall"
	"time"

	"cuminshift/internal/standin/platform/client"
)

// lateRegistration adds a server that takes longer to become ready than one that started
// after it. The names of the two give them the same first token. The instance through which a
// paused flow goes is then stopped and started again.
func lateRegistration(w *world, trouble bool) (bool, error) {
	const (
		first, second = "i-d78d21f7", "i-1f36606b"
		pause         = 11 * time.Second
	)
	service := serviceAddress(0)
	w.configure(1, 20, 2, "photo-vault")
	if trouble {
		if _, err := w.addTargetNamed(first, 1, 2, "photo-vault", 2, 0, 9*time.Second); err != nil {
			return false, err
		}
		w.note("server %s starts, and registers in 9 s", first)
		time.Sleep(500 * time.Millisecond)
	}
	holder, err := w.addTargetNamed(second, 1, 1, "photo-vault", 2, 0, 0)
	if err != nil {
		return false, err
	}
	w.note("server %s starts and registers", second)
	if err := w.addInstances(small[:machines]); err != nil {
		return false, err
	}
	if err := startFleet(w.instances); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	h, err := w.addHost(1, 1)
	if err != nil {
		return false, err
	}
	var flows []*client.Flow
	for range 5 {
		f, err := h.open(service)
		if err != nil {
			return false, err
		}
		answer, err := h.request(f, "before", 5, 2000)
		if err != nil || answer.Server != holder.id {
			return false, errors.New("the flow is not at the server that has registered")
		}
		flows = append(flows, f)
	}
	opened := time.Now()
	w.note("5 flows are open at %s and pause for %s", holder.id, pause)
	time.Sleep(time.Until(w.start.Add(10500 * time.Millisecond)))
	in := w.instances[2]
	w.note("%s is stopped and starts again", in.name)
	in.signal(syscall.SIGTERM)
	time.Sleep(time.Until(opened.Add(pause)))
	resets := 0
	for _, f := range flows {
		_, err := h.request(f, "after", 5, 2000)
		w.note("the next request on the flow of %s: %v", f.Local(), err)
		if errors.Is(err, client.ErrReset) {
			resets++
		}
	}
	w.note("%d of 5 open flows were reset; %s lives", resets, holder.id)
	return resets > 0, nil
}
