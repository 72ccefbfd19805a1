// Package logpipe writes log lines asynchronously, so that logging never blocks, and
// limits them to a number of bytes per second.
//
// Lines over the limit, or over the length of the queue, are dropped and counted. The
// next line that is accepted is preceded by a line with the number of dropped lines.
//
// # Usage
//
//	p := &logpipe.Pipe{Out: os.Stdout, Clock: clk}
//	go p.Run(ctx)
//	klog.SetOutput(p)
//	if p.HasSpareCapacity() {
//		// Log successful requests as well.
//	}
package logpipe

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"monsoonlever/clock"
)

const (
	// RateBytesPerSecond is the sustained rate in bytes per second: some hundred lines, four
	// times the volume that an instance logs on a quiet day.
	RateBytesPerSecond = 32 << 10
	// BurstBytes is the number of bytes that can be written in a burst.
	BurstBytes = 256 << 10
	// queueLines is the number of lines that are queued while the reader of the output is slow.
	queueLines = 1024
)

// Pipe is an asynchronous, rate-limited writer of log lines. Its exported fields are set
// before its first use.
type Pipe struct {
	Out   io.Writer
	Clock clock.Clock

	once  sync.Once
	lines chan []byte

	mu         sync.Mutex
	tokenBytes float64
	refilledAt time.Time
	dropped    int
}

func (p *Pipe) initOnce() {
	p.once.Do(func() {
		p.lines = make(chan []byte, queueLines)
		p.tokenBytes, p.refilledAt = BurstBytes, p.Clock.Now()
	})
}

// Write queues or drops one line. It never blocks and never returns an error.
func (p *Pipe) Write(line []byte) (int, error) {
	p.initOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()

	if p.tokenBytes < float64(len(line)) {
		p.dropped++

		return len(line), nil
	}

	if p.dropped > 0 && p.enqueue(fmt.Appendf(nil, "log lines left out: %d\n", p.dropped)) {
		p.dropped = 0
	}

	if !p.enqueue(append([]byte(nil), line...)) {
		p.dropped++
	}

	return len(line), nil
}

// enqueue queues a line and reports whether the queue had room for it.
func (p *Pipe) enqueue(line []byte) bool {
	select {
	case p.lines <- line:
		p.tokenBytes -= float64(len(line))

		return true
	default:
		return false
	}
}

func (p *Pipe) refill() {
	now := p.Clock.Now()
	p.tokenBytes = min(p.tokenBytes+now.Sub(p.refilledAt).Seconds()*RateBytesPerSecond, BurstBytes)
	p.refilledAt = now
}

// HasSpareCapacity reports whether there is room for less important lines. Callers use it to omit
// lines about successful requests before lines about failures are dropped.
func (p *Pipe) HasSpareCapacity() bool {
	p.initOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()

	return p.tokenBytes > BurstBytes/2 && p.dropped == 0
}

// Run writes queued lines to Out until ctx ends, and then the lines that are still queued.
func (p *Pipe) Run(ctx context.Context) {
	p.initOnce()

	for {
		select {
		case line := <-p.lines:
			// A failed write cannot be reported: this is the output of the log.
			_, _ = p.Out.Write(line)
		case <-ctx.Done():
			p.drain()

			return
		}
	}
}

func (p *Pipe) drain() {
	for {
		select {
		case line := <-p.lines:
			_, _ = p.Out.Write(line)
		default:
			return
		}
	}
}
