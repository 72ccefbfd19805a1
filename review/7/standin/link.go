//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// link is the way of an instance to the store, whose open connections can be closed.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newLink(at, to string) (*link, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}

	k := &link{listener: l, to: to, conns: make(map[net.Conn]struct{})}

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			go k.serve(conn)
		}
	}()

	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) serve(near net.Conn) {
	defer near.Close()

	far, err := net.Dial("tcp4", k.to)
	if err != nil {
		return
	}
	defer far.Close()

	k.mu.Lock()
	k.conns[near] = struct{}{}
	k.mu.Unlock()

	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, near)
	}()

	done := make(chan struct{}, 2)

	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(way[1], way[0])
			done <- struct{}{}
		}()
	}

	<-done
}

// closeOpen closes the connections that are open.
func (k *link) closeOpen() {
	k.mu.Lock()
	defer k.mu.Unlock()

	for conn := range k.conns {
		_ = conn.Close()
	}
}
