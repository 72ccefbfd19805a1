package lease

// Fence is the fencing number of a grant: the log offset of its Acquire.
type Fence uint64
