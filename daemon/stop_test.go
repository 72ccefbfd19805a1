package daemon

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/standin"
)

// logLines keeps the lines of the log.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write takes a line.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buf.Write(b)
}

func (l *logLines) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return strings.Split(strings.TrimSpace(l.buf.String()), "\n")
}

// TestStopLeavesNothingBehind runs alone, since it looks at the whole process.
func TestStopLeavesNothingBehind(t *testing.T) {
	const (
		wantLines = 60
		patience  = 20 * time.Second
	)

	log := &logLines{}

	klog.LogToStderr(false)
	klog.SetOutput(log)

	defer func() {
		klog.Flush()
		klog.SetOutput(nil)
		klog.LogToStderr(true)
	}()

	before := ours()

	t.Run("deployment", func(t *testing.T) {
		d := newDeployment(t, 2)

		for i := range 20 {
			d.askAdmitted(d.entries[i%2], essay(i), 20, nil)
			d.submit(d.entries[i%2], &keyed{key: essay(i)})
		}

		d.fault(d.platform.Log.Faults, standin.FaultOrder{Kind: standin.Down})
		d.eventually("the outage is noticed", func() bool {
			d.submit(d.entries[0], &keyed{key: "outage"})

			return !d.entries[0].parts.claims.healthy()
		})

		for i := range 20 {
			d.submit(d.entries[i%2], &keyed{key: "outage"})
		}
	})

	var left []string

	for until := time.Now().Add(patience); time.Now().Before(until); runtime.Gosched() {
		if left = ours(); len(left) <= len(before) {
			break
		}
	}

	if len(left) > len(before) {
		t.Errorf("goroutines: got %d, want %d:\n%s", len(left), len(before), strings.Join(left, "\n\n"))
	}

	klog.Flush()

	lines := log.lines()
	t.Logf("%d goroutines before, %d after; %d lines of the log", len(before), len(left), len(lines))

	if len(lines) > wantLines {
		t.Errorf("lines of the log: got %d, want at most %d:\n%s", len(lines), wantLines, strings.Join(lines, "\n"))
	}
}

// ours returns the stacks of the goroutines that run code of this project, but
// for this one.
func ours() []string {
	buf := make([]byte, 16<<20)
	buf = buf[:runtime.Stack(buf, true)]

	var found []string

	for _, stack := range strings.Split(string(buf), "\n\n")[1:] {
		if strings.Contains(stack, "monsoonlever/") && !strings.Contains(stack, "testing.(*T).Parallel") {
			found = append(found, stack)
		}
	}

	return found
}
