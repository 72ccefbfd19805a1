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

// frameTimeout bounds the time until the next frame of an answer, beyond the wait that was
// asked for. The whole answer may take longer on a slow link.
const frameTimeout = 3 * time.Second

// catchUpTimeout bounds a read at an instance in place of the origin, so that a read of the origin
// is not put off for long.
const catchUpTimeout = 500 * time.Millisecond

// Upstream is where a feed is read from.
type Upstream struct {
	// Origin is set where the feed is read from its origin.
	Origin bool
	// Address is the instance to read from otherwise; the zero value is none.
	Address netip.AddrPort
}

// Source reads a feed from its origin or from another instance, and keeps what it has read in
// a log for others. It is a feed.Source for one reader. Its fields are set before its first use.
type Source struct {
	// Feed names the feed to other instances.
	Feed   string
	Origin feed.Source
	Log    *Log
	// Upstream is asked before each read.
	Upstream func() Upstream
	// NewerInstance is asked before each read of changes at the origin: it returns an instance that is known
	// to have read newer ones, if there is one. The read goes there instead. Nil is none.
	NewerInstance func() (netip.AddrPort, bool)
	// KeepLog reports whether others read from this instance; without it the log stays empty. Nil is
	// always.
	KeepLog func() bool
	Dialer  *net.Dialer

	lastReadRelayed atomic.Bool
	connectedTo     netip.AddrPort
	conn            net.Conn
	reader          *bufio.Reader
}

// LastReadRelayed reports whether the newest read went to another instance. Such a read does not show
// that its content is the newest of the origin.
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

// Changes returns the changes from a position on, or waits for one.
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

// catchUp reads changes from an instance that has newer ones than this one. Where that fails, the
// next read goes to the origin from the same position.
func (s *Source) catchUp(ctx context.Context, to netip.AddrPort, from feed.Position) (feed.Changes, error) {
	readCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()

	changes, err := s.fetchChanges(readCtx, to, from, 0)
	if errors.Is(err, feed.ErrTrimmed) {
		return feed.Changes{}, ErrUnavailable
	}

	return changes, err
}

// fetchChanges reads changes from another instance. What has come before the read broke off is kept,
// so that a long read over a slow link goes on instead of beginning anew.
func (s *Source) fetchChanges(ctx context.Context, to netip.AddrPort, from feed.Position, wait time.Duration) (feed.Changes, error) {
	entries, next, err := s.fetch(ctx, to, request{Feed: s.Feed, From: from, WaitMilliseconds: wait.Milliseconds()})
	if err == nil {
		return feed.Changes{Entries: entries, Next: next, End: next}, nil
	}

	if len(entries) == 0 {
		return feed.Changes{}, err
	}

	// Others at the last position may be missing.
	last := entries[len(entries)-1].At
	entries = slices.DeleteFunc(entries, func(e feed.Entry) bool { return e.At == last })

	if len(entries) == 0 {
		return feed.Changes{}, err
	}

	return feed.Changes{Entries: entries, Next: last, End: last + 1}, nil
}

// keepOrClearLog reports whether the log is keepOrClearLog, and empties it otherwise. A log that is keepOrClearLog again has to
// begin with a whole set.
func (s *Source) keepOrClearLog() bool {
	if s.KeepLog == nil || s.KeepLog() {
		return true
	}

	s.Log.Clear()

	return false
}

// fetch sends one request to another instance and collects its answer. With an error it returns the
// entries that came before it.
func (s *Source) fetch(ctx context.Context, to netip.AddrPort, r request) ([]feed.Entry, feed.Position, error) {
	if !to.IsValid() {
		return nil, 0, feed.ErrNoSource
	}

	entries, next, err := s.exchange(ctx, to, r)
	if err != nil && !errors.Is(err, feed.ErrTrimmed) && !errors.Is(err, ErrUnavailable) {
		// What else comes on the connection belongs to this read.
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

// connect opens a connection to an instance unless there is one.
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
		_ = s.conn.Close() // it is not used again
		s.conn = nil
	}
}
