// Package replica replicates the records of feeds between instances.
//
// A few instances read a feed from its origin. Every other instance reads it from an instance
// that already has it, so that the load on the origin does not grow with the number of
// instances. All instances use the positions of the origin, so an instance that switches to
// another source resumes at its current position.
//
// A Log stores an instance's copy of a feed, a Server serves it to other instances, and a Source
// reads a feed from the origin or from another instance. A read between two instances is one
// request and a sequence of frames over TCP. Each message is a header of four bytes with its
// length, followed by msgpack, compressed if it is large.
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

// frameTargetBytes is the size of entries after which a frame is sent. Frames this small show
// progress several times a second on a slow link.
const frameTargetBytes = 64 << 10

// outcome is the result of a read.
type outcome int

const (
	// partial means that more frames of the same read follow.
	partial outcome = iota
	complete
	// trimmed means that the requested changes are no longer retained.
	trimmed
	// unavailable means that the instance has not read the feed yet.
	unavailable
)

// request asks for the changes of a feed from a position on, or for a full snapshot.
type request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Feed     string
	Whole    bool
	From     feed.Position
	// WaitMilliseconds is how long the server waits for a change if there is none yet.
	WaitMilliseconds int64
}

// frame is one message of a response.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Outcome  outcome
	Entries  []entry
	// Next is the position of the next read. It is set in the last frame only.
	Next feed.Position
}

// entry is the encoded form of a feed.Entry.
type entry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Key      string
	Data     []byte
	At       feed.Position
}

// splitIntoFrames divides entries into frames of about frameTargetBytes. The last frame is marked
// complete.
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
