package buffer

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// minReadBytes is the size in bytes of the first buffer of ReadAll.
const minReadBytes = 512

// ReadAll reads a message of at most limit bytes to its end. Memory grows with the bytes that arrive.
// The error wraps ErrTooLong or ErrExhausted, else it is that of the reader. The reservation holds the
// memory of the message until it is released.
func (r *Reservation) ReadAll(from io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, min(minReadBytes, limit+1))

	for {
		if len(data) == cap(data) {
			grown, err := r.grow(data, limit)
			if err != nil {
				return nil, err
			}

			data = grown
		}

		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]

		if int64(len(data)) > limit {
			return nil, merry.Prependf(ErrTooLong, "over %d bytes", limit)
		}

		if errors.Is(err, io.EOF) {
			return data, nil
		}

		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of data with twice the capacity, of limit+1 bytes at most. Both are reserved
// while data is copied.
func (r *Reservation) grow(data []byte, limit int64) ([]byte, error) {
	capacity := 2 * int64(cap(data))
	if 2*capacity > limit {
		capacity = limit + 1
	}

	if err := r.Resize(int64(cap(data)) + capacity); err != nil {
		return nil, err
	}

	grown := make([]byte, len(data), capacity)
	copy(grown, data)

	return grown, r.Resize(capacity)
}
