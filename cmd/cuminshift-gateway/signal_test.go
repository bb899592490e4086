package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that ends because operators ask it to read its settings again
// while it starts.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "cuminshift/cmd/cuminshift-gateway").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	// The process waits in the first read of its settings.
	file := filepath.Join(dir, "boot.yaml")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(filepath.Join(dir, "cuminshift-gateway"), "--settings", file)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer settings.Close()
	for range 3 {
		if err := process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-ended:
		t.Fatalf("the process has ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-ended
}
