package answer

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// keptAnswer is one request as one entry instance holds it.
type keptAnswer struct {
	request Request
	epoch   Epoch
	role    role
	tokens  []string
	// visible is the offset up to which callers may read here; floor is the
	// one up to which a caller anywhere may have read.
	visible int
	floor   int
	end     *Ending
	endedAt time.Time
	// holders are the copies in the order of takeover.
	holders []holder
	// former are instances that may have a copy, and are no holders: those of an
	// earlier epoch, and those that were replaced.
	former   []fleet.InstanceID
	accepted bool
	dirty    bool
	// heardAt is when the owner last spoke to a copy, and probedAt when the
	// copy last asked it to. A stale copy is not read from, and a lost one is
	// told to be none.
	heardAt  time.Time
	probedAt time.Time
	stale    bool
	lost     bool
	// followedAt is when a copy last told the owner of a reader.
	followedAt time.Time
	// takeoverAt is when a copy takes over whose owner is gone.
	takeoverAt time.Time
}

type role int

const (
	roleCopy role = iota
	roleOwner
	// roleHandedOff waits for the new owner's Begin.
	roleHandedOff
)

// holder is a copy as the owner sees it.
type holder struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
	domain      fleet.FailureDomain
	begun       bool
	ended       bool
	sent        int
	acked       int
	sentEnd     bool
	// waitingSince is when the oldest batch without an answer was sent.
	waitingSince time.Time
	askedSince   time.Time
}

func newHolder(now time.Time, m Member) holder {
	return holder{id: m.ID, incarnation: m.Incarnation, domain: m.Domain, askedSince: now}
}

func (a *keptAnswer) holderIDs() []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(a.holders))
	for i := range a.holders {
		out = append(out, a.holders[i].id)
	}

	return out
}

// successors returns the instances that may have a copy, in the order of
// takeover: those that lack the least first.
func (a *keptAnswer) successors() []fleet.InstanceID {
	out := a.holderIDs()

	for _, id := range a.former {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}

	return out
}

func (a *keptAnswer) holderOf(id fleet.InstanceID) *holder {
	i := slices.IndexFunc(a.holders, func(h holder) bool { return h.id == id })
	if i < 0 {
		return nil
	}

	return &a.holders[i]
}

func (a *keptAnswer) addFormer(id fleet.InstanceID) {
	if !slices.Contains(a.former, id) {
		a.former = append(a.former, id)
	}
}

// expose moves visible to what every copy has acknowledged, and tells whether
// it moved. Without a copy there is nobody to contradict the owner later.
func (a *keptAnswer) expose() bool {
	offset := len(a.tokens)
	for i := range a.holders {
		offset = min(offset, a.holders[i].acked)
	}

	if offset <= a.visible {
		return false
	}

	a.visible = offset
	a.floor = max(a.floor, offset)

	return true
}

// behind tells whether a holder lacks something that was sent.
func (a *keptAnswer) behind(h *holder) bool {
	return !h.begun || h.acked < len(a.tokens) || (a.end != nil && !h.ended)
}
