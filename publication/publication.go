// Package publication puts manifests in force by the platform's log.
//
// An operator's record names the version that its manifest was derived from. In
// log order it takes effect if that version is still the one in force and the
// manifest has no finding; its offset is then the version. So every reader of
// the log comes to the same version at the same offset, and of two operators who
// race the first one wins. A State is that rule as a deterministic step.
//
// Records age out. A Checkpoint says which version was in force through an
// offset; it is a statement about the past and stays true however late it is
// appended. A reader that does not know the past starts from one, read from the
// log or given by a peer.
//
// A publication whose answer was lost is sent again under the same id. Only one
// of the copies can take effect, because the first one changes the version in
// force. To give up, a Fence changes the version without changing the manifest:
// a copy that the log adds later comes from an old version and has no effect.
// The ways that were weighed are in docs/manifests-design.md.
//
// # Usage
//
//	f := &publication.Follower{Log: log, Stream: stream, Clock: clock.System{}, Random: random}
//	go f.Run(ctx)
//	if s := f.Snapshot(); s != nil {
//		account, ok := s.Manifest().AccountByKey(secret)
//	}
//
//	p := &publication.Publisher{Log: log, Stream: stream, Clock: clock.System{}, Random: random}
//	receipt, err := p.Publish(ctx, publication.Request{Base: version, File: file, Data: data})
package publication

import "monsoonlever/provider"

// DefaultStream is the stream of the manifests of a deployment that names none.
const DefaultStream provider.Stream = "manifests"
