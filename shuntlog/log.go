// Package shuntlog writes the log without ever blocking the code that logs.
// Lines go through a bounded buffer. When it is full, further lines are dropped
// and counted.
package shuntlog

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

const (
	// bufferedLines is the maximum number of lines waiting to be written.
	bufferedLines = 2048
	// maxLineBytes is the length at which lines are cut. Callers choose a part of them.
	maxLineBytes = 4 << 10
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 64 << 10
	// flushInterval is how often lines are written. Waiting puts many lines
	// into one write.
	flushInterval = 100 * time.Millisecond
)

// Writer is a buffered writer that drops lines instead of blocking.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to w from a goroutine of group until
// done is closed.
func NewWriter(w io.Writer, group *shuntgroup.Group, done <-chan struct{}) *Writer {
	l := &Writer{lines: make(chan []byte, bufferedLines)}
	group.Go(func() { l.run(w, done) })
	return l
}

// Write implements io.Writer. It never blocks and never fails.
func (l *Writer) Write(p []byte) (int, error) {
	line := bytes.Clone(p[:min(len(p), maxLineBytes)])
	if len(p) > maxLineBytes {
		line = append(line, " (cut)\n"...)
	}
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

func (l *Writer) run(w io.Writer, done <-chan struct{}) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	reported := int64(0)
	for {
		select {
		case <-t.C:
			if d := l.dropped.Load(); d > reported {
				_, _ = fmt.Fprintf(w, "log lines dropped: %d\n", d-reported)
				reported = d
			}
			l.flush(w)
		case <-done:
			l.flush(w)
			return
		}
	}
}

func (l *Writer) flush(w io.Writer) {
	var b bytes.Buffer
	for {
		select {
		case p := <-l.lines:
			b.Write(p)
			if b.Len() < batchBytes {
				continue
			}
		default:
		}
		if b.Len() == 0 {
			return
		}
		// There is nowhere to report a failure to write the log.
		_, _ = w.Write(b.Bytes())
		b.Reset()
	}
}

// Setup configures klog to write to w only, up to the given verbosity.
func Setup(w io.Writer, verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
		"v": strconv.Itoa(verbosity),
	} {
		if err := fs.Set(name, value); err != nil {
			panic(err)
		}
	}
	klog.SetOutput(w)
}
