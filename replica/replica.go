// Package replica passes the records of feeds on from instance to instance.
//
// A few instances read a feed at its origin, and each of the others reads it from one
// instance that has it, so that the load of the origin does not grow with their number.
// Positions are those of the origin everywhere: an instance goes on where it stopped,
// whichever instance it reads from next.
//
// A Log keeps what one instance has of a feed, a Server answers the reads of others, and a
// Source reads from the origin or from another instance. Between two instances a read is a
// request and a sequence of frames over TCP, each of which is a length of four bytes and a
// msgpack message, compressed where it is large.
//
// # Usage
//
//	log := &replica.Log{}
//	source := &replica.Source{Feed: "rules", Origin: store, Log: log, Upstream: upstream, Clock: clk}
//	follower := &feed.Follower{Source: source, …}
//
//	server := &replica.Server{Clock: clk, Feeds: map[string]*replica.Log{"rules": log}}
//	server.Run(ctx, listener)
package replica

import (
	"monsoonlever/feed"
)

// frameTargetBytes is the size of entries from which on a message is sent: a slow link shows progress
// several times a second.
const frameTargetBytes = 64 << 10

// outcome is how a read ended.
type outcome int

const (
	// partial frames are followed by others of the same read.
	partial outcome = iota
	complete
	// trimmed means that the changes asked for are no longer kept.
	trimmed
	// unavailable means that the instance has nothing of the feed yet.
	unavailable
)

// request asks for the changes of a feed from a position on, or for the whole set.
type request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Feed     string
	Whole    bool
	From     feed.Position
	// WaitMilliseconds is how long a read without changes waits for one.
	WaitMilliseconds int64
}

// frame is a part of the answer.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Outcome  outcome
	Entries  []entry
	// Next is where to read on once the answer is complete.
	Next feed.Position
}

// entry is a feed.Entry.
type entry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Key      string
	Data     []byte
	At       feed.Position
}

// splitIntoFrames divides entries into frames of about frameBytes, the last of which completes
// the answer.
func splitIntoFrames(entries []feed.Entry, next feed.Position) []frame {
	frames := []frame{{}}
	frameSize := 0

	for _, e := range entries {
		if frameSize > frameTargetBytes {
			frames, frameSize = append(frames, frame{}), 0
		}

		last := &frames[len(frames)-1]
		last.Entries = append(last.Entries, entry{Key: e.Key, Data: e.Data, At: e.At})
		frameSize += len(e.Key) + len(e.Data)
	}

	last := &frames[len(frames)-1]
	last.Outcome, last.Next = complete, next

	return frames
}

func feedEntries(received []entry) []feed.Entry {
	entries := make([]feed.Entry, 0, len(received))
	for _, e := range received {
		entries = append(entries, feed.Entry{Key: e.Key, Data: e.Data, At: e.At})
	}

	return entries
}
