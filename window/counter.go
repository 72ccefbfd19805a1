package window

import (
	"sync/atomic"
	"time"
)

const bucketValueBits = 32

// Counter sums changes over a sliding time window. It is safe for concurrent use.
type Counter struct {
	width   time.Duration
	buckets []atomic.Uint64
}

// NewCounter returns a counter with n buckets that each cover a duration of width.
func NewCounter(width time.Duration, n int) *Counter {
	return &Counter{width: width, buckets: make([]atomic.Uint64, n)}
}

// Add adds delta to the bucket of now. It discards the change if that bucket was
// already replaced by the bucket one pass of the ring later.
func (c *Counter) Add(now time.Time, delta int32) {
	number := c.bucketNumber(now)
	bucket := &c.buckets[number%int64(len(c.buckets))]

	for {
		old := bucket.Load()
		age := int32(uint32(number) - uint32(old>>bucketValueBits))
		value := int32(uint32(old))

		// A bucket further ahead than the ring is long was written before the clock
		// was set back. It is overwritten.
		late := age < 0 && int(age) >= -len(c.buckets)
		if late {
			return
		}

		if age != 0 {
			value = 0
		}

		if bucket.CompareAndSwap(old, packBucket(number, value+delta)) {
			return
		}
	}
}

// Sum returns the sum of the newest n buckets, including the bucket of now.
func (c *Counter) Sum(now time.Time, n int) int64 {
	number := uint32(c.bucketNumber(now))
	sum := int64(0)

	for i := range c.buckets {
		if age, value := c.bucket(i, number); age >= 0 && age < n {
			sum += value
		}
	}

	return sum
}

// Newest sets each element of values to the value of one bucket, the bucket of now first and then
// those before it. There are no more values than the ring has buckets.
func (c *Counter) Newest(now time.Time, values []int64) {
	clear(values)

	number := uint32(c.bucketNumber(now))

	for i := range c.buckets {
		if age, value := c.bucket(i, number); age >= 0 && age < len(values) {
			values[age] += value
		}
	}
}

// bucket returns by how many buckets an element of the ring is older than the bucket of a number, and
// its value.
func (c *Counter) bucket(i int, number uint32) (age int, value int64) {
	word := c.buckets[i].Load()

	return int(int32(number - uint32(word>>bucketValueBits))), int64(int32(uint32(word)))
}

// Since returns the sum of the buckets from that of t to that of now. If t is older
// than the ring, it returns the sum of the whole ring.
func (c *Counter) Since(now, t time.Time) int64 {
	n := c.bucketNumber(now) - c.bucketNumber(t) + 1

	return c.Sum(now, int(min(n, int64(len(c.buckets)))))
}

func (c *Counter) bucketNumber(t time.Time) int64 {
	return t.UnixNano() / int64(c.width)
}

func packBucket(number int64, value int32) uint64 {
	return uint64(uint32(number))<<bucketValueBits | uint64(uint32(value))
}
