package lease

// Fence is the fencing token of a grant: the log offset of its Acquire record.
type Fence uint64
