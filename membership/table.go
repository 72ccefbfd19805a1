package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// entry is a member with what only this node knows of it.
type entry struct {
	member *Member
	bucket int
	// endedAt is when the member became dead or left.
	endedAt time.Time
	// deadline is when a suspect is declared dead; zero for none.
	deadline time.Time
}

// table holds the members in the order of their IDs, with a digest for each
// bucket of live ones.
type table struct {
	byID    map[fleet.InstanceID]*entry
	order   []*entry
	digests [bucketCount]uint32
}

func (t *table) get(id fleet.InstanceID) *entry {
	return t.byID[id]
}

// put replaces or adds a member and returns its entry.
func (t *table) put(m *Member) *entry {
	e, ok := t.byID[m.identity.ID]
	if !ok {
		e = t.insert(m.identity.ID)
	}

	t.toggleDigest(e)
	e.member = m
	t.toggleDigest(e)

	return e
}

func (t *table) insert(id fleet.InstanceID) *entry {
	if t.byID == nil {
		t.byID = make(map[fleet.InstanceID]*entry)
	}

	e := &entry{bucket: int(xxhash.Sum64String(string(id)) % bucketCount)}
	t.byID[id] = e
	at, _ := t.search(id)
	t.order = slices.Insert(t.order, at, e)

	return e
}

// search finds the place of id in order; a new entry has no member yet.
func (t *table) search(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(t.order, id, func(e *entry, id fleet.InstanceID) int {
		return strings.Compare(string(e.member.identity.ID), string(id))
	})
}

func (t *table) remove(id fleet.InstanceID) {
	e, ok := t.byID[id]
	if !ok {
		return
	}

	t.toggleDigest(e)
	delete(t.byID, id)

	if at, found := t.search(id); found {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// toggleDigest adds a live member to its bucket's digest, or takes it out again.
// Gone members are left out, as nodes forget them at different times.
func (t *table) toggleDigest(e *entry) {
	if e.member != nil && e.member.Live() {
		t.digests[e.bucket] ^= e.member.digest()
	}
}

// encodeDigests returns the digests for a SyncRequest.
func (t *table) encodeDigests() []byte {
	b := make([]byte, 0, bucketCount*digestSize)
	for _, d := range t.digests {
		b = binary.BigEndian.AppendUint32(b, d)
	}

	return b
}

// differingBuckets returns the buckets whose digest is another than in encoded.
func (t *table) differingBuckets(encoded []byte) []byte {
	if len(encoded) != bucketCount*digestSize {
		return nil
	}

	var buckets []byte

	for i, d := range t.digests {
		if binary.BigEndian.Uint32(encoded[i*digestSize:]) != d {
			buckets = append(buckets, byte(i))
		}
	}

	return buckets
}

// bucketEntries returns the entries of one bucket in order.
func (t *table) bucketEntries(bucket int) []*entry {
	var entries []*entry

	for _, e := range t.order {
		if e.bucket == bucket {
			entries = append(entries, e)
		}
	}

	return entries
}
