// Package codec decodes msgpack messages from other processes without trusting the lengths that
// the messages declare.
//
// The msgpack decoder allocates memory for the declared number of elements before it reads the
// first one, so that a message of a few bytes can exceed the memory limit of the process.
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

// ErrTruncated means that a message holds fewer elements or bytes than it declares.
var ErrTruncated = merry.Sentinel("message is truncated")

// Unmarshal decodes a message into a pointer. It returns an error that wraps ErrTruncated,
// without allocating memory for the elements, if the message holds less than it declares.
func Unmarshal(data []byte, into any) error {
	if err := Check(data); err != nil {
		return err
	}

	return msgpack.Unmarshal(data, into)
}

// Check returns an error that wraps ErrTruncated if a message holds less than it declares.
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
		// Every element takes at least one byte.
		if !ok || declared.bytes+declared.elements > uint64(len(data)-declared.header) {
			return false
		}

		data = data[uint64(declared.header)+declared.bytes:]
		remaining += declared.elements
	}

	return true
}

// variableSize marks the codes of values that declare their length.
const variableSize = -1

// fixedSizes holds, by code, the number of bytes that follow the code. It is variableSize for
// values that declare their length.
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

// extensionTypeBytes is the size of the type field of an extension.
const extensionTypeBytes = 1

// declaredLength is the length that a value declares.
type declaredLength struct {
	// header is the size of the encoded length in bytes.
	header int
	// bytes is the size of the data of a string, binary value or extension.
	bytes uint64
	// elements is the number of elements of an array, or of keys and values of a map.
	elements uint64
}

// parseLength returns the length that a value declares. rest is the message after the value's
// code.
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
