// Package boundedlog writes log lines without blocking: lines that arrive while
// the queue to the output is full are dropped and counted.
package boundedlog

import (
	"io"
	"sync/atomic"
)

// queueLines is the capacity of the queue in lines. At 300 bytes each they take
// 300 KB.
const queueLines = 1024

// Writer is a zapcore.WriteSyncer.
type Writer struct {
	lines   chan []byte
	sync    chan chan struct{}
	dropped atomic.Int64
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), sync: make(chan chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line, or drops it when the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	// The logger reuses its buffer.
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all lines queued so far are written.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	w.sync <- done
	<-done
	return nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case done := <-w.sync:
			for len(w.lines) > 0 {
				w.write(out, <-w.lines)
			}
			close(done)
		}
	}
}

func (w *Writer) write(out io.Writer, line []byte) {
	// A failure of the log itself cannot be logged; the line counts as dropped.
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
