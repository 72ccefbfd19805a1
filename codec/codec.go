// Package codec decodes msgpack messages of other processes without trust in the lengths
// that they declare.
//
// The decoder makes room for as many elements as a message announces before it reads the
// first one, so that some bytes can ask for more memory than the process may use.
//
// # Usage
//
//	var m message
//	if err := codec.Unmarshal(data, &m); err != nil {
//		return err
//	}
package codec

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrTruncated means that a message holds less than it declares.
var ErrTruncated = merry.Sentinel("message is not whole")

// Unmarshal decodes a message into a pointer. A message that holds less than it declares
// is ErrNotWhole, and takes no memory.
func Unmarshal(data []byte, into any) error {
	if err := Check(data); err != nil {
		return err
	}

	return msgpack.Unmarshal(data, into)
}

// Check returns ErrNotWhole for a message that holds less than it declares.
func Check(data []byte) error {
	if !isComplete(data) {
		return merry.Prependf(ErrTruncated, "%d bytes", len(data))
	}

	return nil
}

// isComplete reports whether a message holds all elements and bytes that it declares.
func isComplete(data []byte) bool {
	for remaining := uint64(1); remaining > 0; remaining-- {
		if len(data) == 0 {
			return false
		}

		code := data[0]
		data = data[1:]

		if bytes := fixedSizes[code]; bytes != variableSize {
			if int(bytes) > len(data) {
				return false
			}

			data = data[bytes:]

			continue
		}

		declared, ok := parseLength(code, data)
		// An element takes a byte at least.
		if !ok || declared.bytes+declared.elements > uint64(len(data)-declared.header) {
			return false
		}

		data = data[uint64(declared.header)+declared.bytes:]
		remaining += declared.elements
	}

	return true
}

// variableSize stands for codes of values whose length is declared.
const variableSize = -1

// fixedSizes are the bytes after each code of a value whose length is not declared.
var fixedSizes = func() (table [256]int8) {
	for code := range table {
		if !msgpcode.IsFixedNum(byte(code)) {
			table[code] = variableSize
		}
	}

	for code, bytes := range map[byte]int8{
		msgpcode.Nil: 0, msgpcode.False: 0, msgpcode.True: 0,
		msgpcode.Uint8: 1, msgpcode.Uint16: 2, msgpcode.Uint32: 4, msgpcode.Uint64: 8,
		msgpcode.Int8: 1, msgpcode.Int16: 2, msgpcode.Int32: 4, msgpcode.Int64: 8,
		msgpcode.Float: 4, msgpcode.Double: 8,
		msgpcode.FixExt1: 1 + extensionTypeBytes, msgpcode.FixExt2: 2 + extensionTypeBytes, msgpcode.FixExt4: 4 + extensionTypeBytes,
		msgpcode.FixExt8: 8 + extensionTypeBytes, msgpcode.FixExt16: 16 + extensionTypeBytes,
	} {
		table[code] = bytes
	}

	return table
}()

// extensionTypeBytes is the byte that names the type of an extension.
const extensionTypeBytes = 1

// declaredLength is what a value declares.
type declaredLength struct {
	// header are the bytes of the length itself.
	header   int
	bytes    uint64
	elements uint64
}

// parseLength returns what a value declares. rest begins after its code.
func parseLength(code byte, rest []byte) (declaredLength, bool) {
	switch {
	case msgpcode.IsFixedMap(code):
		return declaredLength{elements: 2 * uint64(code&msgpcode.FixedMapMask)}, true
	case msgpcode.IsFixedArray(code):
		return declaredLength{elements: uint64(code & msgpcode.FixedArrayMask)}, true
	case msgpcode.IsFixedString(code):
		return declaredLength{bytes: uint64(code & msgpcode.FixedStrMask)}, true
	}

	header := 4

	switch code {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		header = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		header = 2
	}

	if len(rest) < header {
		return declaredLength{}, false
	}

	n := uint64(0)
	for _, b := range rest[:header] {
		n = n<<8 | uint64(b)
	}

	switch code {
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32, msgpcode.Bin8, msgpcode.Bin16, msgpcode.Bin32:
		return declaredLength{header: header, bytes: n}, true
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return declaredLength{header: header, bytes: n + extensionTypeBytes}, true
	case msgpcode.Array16, msgpcode.Array32:
		return declaredLength{header: header, elements: n}, true
	case msgpcode.Map16, msgpcode.Map32:
		return declaredLength{header: header, elements: 2 * n}, true
	default:
		return declaredLength{}, false
	}
}
