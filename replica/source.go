package replica

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/feed"
)

// frameTimeout bounds the time until the next frame of a response, in addition to the requested
// wait. The complete response may take longer on a slow link.
const frameTimeout = 3 * time.Second

// catchUpTimeout bounds a read from an instance with newer changes, so that the next read of the
// origin is not delayed for long.
const catchUpTimeout = 500 * time.Millisecond

// Upstream selects the origin or the instance that a feed is read from.
type Upstream struct {
	// Origin selects the origin of the feed; Address is then ignored.
	Origin bool
	// Address is the address of the instance to read from. If it is the zero value, reads fail
	// with feed.ErrNoSource.
	Address netip.AddrPort
}

// Source reads a feed from its origin or from another instance, and stores the entries in a log
// that other instances read. It is a feed.Source for one reader. Its fields are set before its
// first use.
type Source struct {
	// Feed is the name of the feed in requests to other instances.
	Feed   string
	Origin feed.Source
	Log    *Log
	// Upstream is called before each read.
	Upstream func() Upstream
	// NewerInstance is called before each read of changes from the origin. It returns the address
	// of an instance that is known to have newer changes, if there is one; the read then goes to
	// that instance. NewerInstance may be nil.
	NewerInstance func() (netip.AddrPort, bool)
	// KeepLog reports whether other instances may read from this one. While it returns false, the
	// log stays empty. If KeepLog is nil, the log is always kept.
	KeepLog func() bool
	Dialer  *net.Dialer

	lastReadRelayed atomic.Bool
	connectedTo     netip.AddrPort
	conn            net.Conn
	reader          *bufio.Reader
}

// LastReadRelayed reports whether the last read went to another instance. Such a read does not
// prove that its entries are the newest of the origin.
func (s *Source) LastReadRelayed() bool { return s.lastReadRelayed.Load() }

// Snapshot returns the newest entry of each key.
func (s *Source) Snapshot(ctx context.Context) ([]feed.Entry, feed.Position, error) {
	up := s.Upstream()
	s.lastReadRelayed.Store(!up.Origin)

	var (
		entries []feed.Entry
		next    feed.Position
		err     error
	)

	if up.Origin {
		entries, next, err = s.Origin.Snapshot(ctx)
	} else {
		entries, next, err = s.fetch(ctx, up.Address, request{Feed: s.Feed, Whole: true})
	}

	if err != nil {
		return nil, 0, err
	}

	if s.keepOrClearLog() {
		s.Log.Replace(entries, next)
	}

	return entries, next, nil
}

// Changes returns the changes from a position on. If there is none, it waits up to wait for one.
func (s *Source) Changes(ctx context.Context, from feed.Position, wait time.Duration) (feed.Changes, error) {
	up := s.Upstream()
	newer, found := s.newerInstance(up)
	s.lastReadRelayed.Store(!up.Origin || found)

	var (
		changes feed.Changes
		err     error
	)

	switch {
	case found:
		changes, err = s.catchUp(ctx, newer, from)
	case up.Origin:
		changes, err = s.Origin.Changes(ctx, from, wait)
	default:
		changes, err = s.fetchChanges(ctx, up.Address, from, wait)
	}

	if err != nil {
		return feed.Changes{}, err
	}

	if s.keepOrClearLog() {
		s.Log.Append(changes.Entries, changes.Next)
	}

	return changes, nil
}

func (s *Source) newerInstance(up Upstream) (netip.AddrPort, bool) {
	if !up.Origin || s.NewerInstance == nil {
		return netip.AddrPort{}, false
	}

	return s.NewerInstance()
}

// catchUp reads changes from an instance that has newer ones than this instance. If that instance
// no longer retains them, it returns ErrUnavailable instead of feed.ErrTrimmed, so that the reader
// keeps its position and does not request a snapshot. After an error, the next read goes to the
// origin from the same position unless NewerInstance returns an instance again.
func (s *Source) catchUp(ctx context.Context, to netip.AddrPort, from feed.Position) (feed.Changes, error) {
	readCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()

	changes, err := s.fetchChanges(readCtx, to, from, 0)
	if errors.Is(err, feed.ErrTrimmed) {
		return feed.Changes{}, ErrUnavailable
	}

	return changes, err
}

// fetchChanges reads changes from another instance. If the read fails midway, it returns the
// entries received so far, so that a long read over a slow link resumes instead of starting over.
func (s *Source) fetchChanges(ctx context.Context, to netip.AddrPort, from feed.Position, wait time.Duration) (feed.Changes, error) {
	entries, next, err := s.fetch(ctx, to, request{Feed: s.Feed, From: from, WaitMilliseconds: wait.Milliseconds()})
	if err == nil {
		return feed.Changes{Entries: entries, Next: next, End: next}, nil
	}

	if len(entries) == 0 {
		return feed.Changes{}, err
	}

	// Further entries at the last position may be missing: the next read repeats that position.
	last := entries[len(entries)-1].At
	entries = slices.DeleteFunc(entries, func(e feed.Entry) bool { return e.At == last })

	if len(entries) == 0 {
		return feed.Changes{}, err
	}

	return feed.Changes{Entries: entries, Next: last, End: last + 1}, nil
}

// keepOrClearLog reports whether the log is kept, and clears it if not. A cleared log is filled
// again only by a full snapshot.
func (s *Source) keepOrClearLog() bool {
	if s.KeepLog == nil || s.KeepLog() {
		return true
	}

	s.Log.Clear()

	return false
}

// fetch sends one request to another instance and collects the response. If the connection fails,
// it returns the entries received so far together with the error.
func (s *Source) fetch(ctx context.Context, to netip.AddrPort, r request) ([]feed.Entry, feed.Position, error) {
	if !to.IsValid() {
		return nil, 0, feed.ErrNoSource
	}

	entries, next, err := s.exchange(ctx, to, r)
	if err != nil && !errors.Is(err, feed.ErrTrimmed) && !errors.Is(err, ErrUnavailable) {
		// Late frames of this response must not be read as the response to the next request.
		s.disconnect()
	}

	return entries, next, merry.Prependf(err, "read %s from %s", s.Feed, to)
}

func (s *Source) exchange(ctx context.Context, to netip.AddrPort, r request) ([]feed.Entry, feed.Position, error) {
	if err := s.connect(ctx, to); err != nil {
		return nil, 0, err
	}

	conn := s.conn

	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	timeout := frameTimeout + time.Duration(r.WaitMilliseconds)*time.Millisecond
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, 0, err
	}

	if err := writeMessage(conn, &r); err != nil {
		return nil, 0, err
	}

	var entries []feed.Entry

	for {
		var f frame
		if err := readMessage(s.reader, &f); err != nil {
			return entries, 0, err
		}

		entries = append(entries, feedEntries(f.Entries)...)

		switch f.Outcome {
		case partial:
		case complete:
			return entries, f.Next, ctx.Err()
		case trimmed:
			return nil, 0, feed.ErrTrimmed
		default:
			return nil, 0, ErrUnavailable
		}

		if err := errors.Join(conn.SetDeadline(time.Now().Add(frameTimeout)), ctx.Err()); err != nil {
			return entries, 0, err
		}
	}
}

// connect opens a connection to an instance unless one is already open.
func (s *Source) connect(ctx context.Context, to netip.AddrPort) error {
	if s.conn != nil && s.connectedTo == to {
		return nil
	}

	s.disconnect()

	conn, err := s.Dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return err
	}

	s.conn, s.connectedTo, s.reader = conn, to, bufio.NewReader(conn)

	return nil
}

func (s *Source) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close() // the connection is not used again
		s.conn = nil
	}
}
