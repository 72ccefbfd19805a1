// Package logpipe passes log lines on without ever making the writer wait, and no
// more of them than a number of bytes a second.
//
// Lines that find no room are counted, and the next line that does find room is
// preceded by one that says how many were left out.
//
// # Usage
//
//	p := &logpipe.Pipe{Out: os.Stdout, Clock: clk}
//	go p.Run(ctx)
//	klog.SetOutput(p)
//	if p.Roomy() {
//		// Log also what went well.
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
	// RateBytesPerSecond is how many bytes a second are passed on in the long run: some hundred
	// lines, four times what an instance logs on a calm day.
	RateBytesPerSecond = 32 << 10
	// BurstBytes is how many bytes may be passed on at once.
	BurstBytes = 256 << 10
	// queueLines is how many lines wait for a reader of the output that is slow.
	queueLines = 1024
)

// Pipe is a writer of log lines. Its fields are set before its first use.
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

// Write takes one line. It never waits and never fails.
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

// enqueue hands a line over if there is room for it.
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

// HasSpareCapacity tells whether there is room for lines that matter less: what went well is
// left out before what failed.
func (p *Pipe) HasSpareCapacity() bool {
	p.initOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()

	return p.tokenBytes > BurstBytes/2 && p.dropped == 0
}

// Run passes lines on until ctx ends, and then what still waits.
func (p *Pipe) Run(ctx context.Context) {
	p.initOnce()

	for {
		select {
		case line := <-p.lines:
			// An output that fails has nobody who could be told.
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
