package feed

// Position is a place in the order of all changes: an era of the source and an offset in
// that era. A source that was restored from an older copy of itself begins a new era, in which
// it assigns the same offsets again. All positions of an era are less than those of the next, so
// that order and fencing by position still hold.
type Position uint64

// offsetBits is the number of bits of a position that hold the offset: enough for a thousand
// records a second for 35 years.
const offsetBits = 40

// PositionOf returns the position of an offset in an era.
func PositionOf(era, offset uint64) Position {
	return Position(era<<offsetBits | offset&(1<<offsetBits-1))
}

// Era returns the era of the position.
func (p Position) Era() uint64 { return uint64(p) >> offsetBits }

// Offset returns the offset of the position in its era.
func (p Position) Offset() uint64 { return uint64(p) & (1<<offsetBits - 1) }
