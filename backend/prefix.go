package backend

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// PrefixBlockWords is the number of prompt words that an engine caches as one block.
const PrefixBlockWords = 16

// PrefixHasher hashes the prefixes of a prompt block by block. Engines report the same hashes in
// their cache events.
type PrefixHasher struct {
	digest xxhash.Digest
	words  int
}

// NewPrefixHasher returns a hasher at the start of a prompt for a model.
func NewPrefixHasher(model fleet.Model) *PrefixHasher {
	h := &PrefixHasher{}
	h.digest.Reset()
	h.write(string(model))

	return h
}

// Add adds the next word of the prompt. If the word completes a block, Add returns the hash of
// all words so far and true.
func (h *PrefixHasher) Add(word string) (uint64, bool) {
	h.write(word)
	h.words++

	if h.words%PrefixBlockWords != 0 {
		return 0, false
	}

	return h.digest.Sum64(), true
}

func (h *PrefixHasher) write(s string) {
	// The methods of xxhash.Digest never return an error.
	_, _ = h.digest.WriteString(s)
	_, _ = h.digest.Write([]byte{0})
}

// PrefixHashes returns the hash of each prompt prefix that consists of complete blocks, the
// shortest prefix first. CacheEvent.Prefix holds such a hash.
func PrefixHashes(model fleet.Model, prompt string) []uint64 {
	h := NewPrefixHasher(model)

	var hashes []uint64

	for word := range strings.FieldsSeq(prompt) {
		if hash, ok := h.Add(word); ok {
			hashes = append(hashes, hash)
		}
	}

	return hashes
}
