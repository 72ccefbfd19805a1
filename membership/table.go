package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// entry is a member with the state that is local to this node.
type entry struct {
	member *Member
	bucket int
	// endedAt is when this node saw the member dead or left; zero for a live one.
	endedAt time.Time
	// deadline is when a suspect is declared dead; zero without a suspicion.
	deadline time.Time
}

// table holds the members in the order of their IDs. The members are hashed into
// buckets, and each bucket has a digest of its live members.
type table struct {
	byID    map[fleet.InstanceID]*entry
	order   []*entry
	digests [bucketCount]uint32
}

func (t *table) get(id fleet.InstanceID) *entry {
	return t.byID[id]
}

// put adds or replaces a member and returns its entry.
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

// search returns the index of id in order, or the index at which to insert it,
// and whether it was found.
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

// toggleDigest adds a live member to its bucket's digest, or removes it when it
// was added before. Dead and left members are excluded, since nodes evict them at
// different times.
func (t *table) toggleDigest(e *entry) {
	if e.member != nil && e.member.Live() {
		t.digests[e.bucket] ^= e.member.digest()
	}
}

// encodeDigests encodes the digests of all buckets for a SyncRequest.
func (t *table) encodeDigests() []byte {
	b := make([]byte, 0, bucketCount*digestSize)
	for _, d := range t.digests {
		b = binary.BigEndian.AppendUint32(b, d)
	}

	return b
}

// differingBuckets returns the buckets whose digest differs from the encoded one.
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

// bucketEntries returns the entries of a bucket in the order of IDs.
func (t *table) bucketEntries(bucket int) []*entry {
	var entries []*entry

	for _, e := range t.order {
		if e.bucket == bucket {
			entries = append(entries, e)
		}
	}

	return entries
}
