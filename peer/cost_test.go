package peer

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
)

// maxConnectionBytes bounds the memory of one end of an idle connection, so that
// 250 of them take less than 16 MB.
const maxConnectionBytes = 64 << 10

// memoryInUse returns the bytes that heap objects and stacks occupy.
func memoryInUse() uint64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc + stats.StackInuse
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()

	return countingConn{Conn: c, bytes: l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))

	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))

	return n, err
}

// TestConnectionCost measures the memory that an idle connection occupies at
// each end, with its link, goroutines and TLS state, and the bytes exchanged to
// open it.
func TestConnectionCost(t *testing.T) {
	const remotes = 60

	names := []string{"hub"}
	for i := range remotes {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}

	dir := writeKeys(t, names...)
	arrived := make(chan struct{}, remotes)
	hub := newNode(t, dir, "hub")
	start(t, hub)

	var (
		nodes []*Node
		bytes atomic.Int64
	)

	for _, name := range names[1:] {
		n := newNode(t, dir, name)
		n.Listener = countingListener{Listener: n.Listener, bytes: &bytes}
		Handle(n, testKind, func(Sender, textMessage) { arrived <- struct{}{} })
		start(t, n)

		nodes = append(nodes, n)
	}

	before := memoryInUse()

	for _, n := range nodes {
		if err := hub.Send(Target{Address: n.Advertise}, testKind, textMessage{Text: "hello"}); err != nil {
			t.Fatal(err)
		}
	}

	for range remotes {
		<-arrived
	}

	got := (int64(memoryInUse()) - int64(before)) / (2 * remotes)
	t.Logf("one end of an idle connection takes %d bytes; %d bytes open it and carry one message", got, bytes.Load()/remotes)

	if got > maxConnectionBytes {
		t.Errorf("got %d bytes, want at most %d", got, maxConnectionBytes)
	}
}

func BenchmarkMessage(b *testing.B) {
	dir := writeKeys(b, "a", "b")
	x, y := newNode(b, dir, "a"), newNode(b, dir, "b")
	got := make(chan struct{})

	Handle(y, testKind, func(Sender, textMessage) { got <- struct{}{} })
	start(b, x)
	start(b, y)
	b.ReportAllocs()

	for b.Loop() {
		if err := x.Send(Target{Address: y.Advertise}, testKind, textMessage{Text: "a message of some forty bytes in its body"}); err != nil {
			b.Fatal(err)
		}

		<-got
	}
}
