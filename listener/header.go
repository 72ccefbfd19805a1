package listener

import (
	"bytes"
	"net/http"
)

const (
	// headerSlop is what may arrive together with a header: the server reads in parts of this size.
	headerSlop = 4 << 10
	// bytesPerByte and bytesPerField estimate the memory of a parsed header: net/http keeps a map with
	// an entry and a slice for each field, and copies fields while it reads them.
	bytesPerByte  = 2
	bytesPerField = 128
	// copiesInService is how often a header is held while its request is served: as received and as
	// sent to a backend server.
	copiesInService = 2
)

// headerSize is the size of a header.
type headerSize struct {
	bytes, fields int
}

// add adds a part of a header.
func (s *headerSize) add(part []byte) {
	s.bytes += len(part)
	s.fields += bytes.Count(part, []byte{'\n'})
}

// memory returns about how many bytes the header takes once it is parsed.
func (s headerSize) memory() int64 {
	return int64(s.bytes)*bytesPerByte + int64(s.fields)*bytesPerField
}

// sizeOf returns the size of a parsed header.
func sizeOf(header http.Header) headerSize {
	var s headerSize

	for name, values := range header {
		s.fields += len(values)

		for _, value := range values {
			s.bytes += len(name) + len(value)
		}
	}

	return s
}

// HoldHeader reserves the memory of a request's header, as received and as it is sent on, until the
// response is written. The error wraps buffer.ErrExhausted if other requests leave too little. It has no
// effect on a request that didn't come by way of a Guard.
func HoldHeader(r *http.Request) error {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}

	return c.reserve(copiesInService * sizeOf(r.Header).memory())
}
