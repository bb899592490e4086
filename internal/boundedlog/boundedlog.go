// Package boundedlog writes log lines without ever blocking the caller: lines
// that the reader of the output does not take in time are dropped and counted.
package boundedlog

import (
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait to be written; at 300 bytes each they
// take 300 KB.
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

// Write queues one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	// The caller uses its buffer again.
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines so far are written.
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
	// There is no place left to report a failure of the log itself; it counts.
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
