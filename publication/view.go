package publication

// view is what a follower shows to its readers, replaced as a whole.
type view struct {
	snapshot   *Snapshot
	checkpoint Checkpoint
	known      bool
}
