package answer

import (
	"strconv"
	"time"
)

// Keep takes a request without waiting for a copy. Its tokens are shown once
// every copy that is present has them.
func (r *Replicator) Keep(request Request) Epoch {
	r.init()
	r.do(func(now time.Time) []StoreCommand { return r.Store.Accept(now, request) })

	return Epoch{Owner: r.Store.Self.ID, Incarnation: r.Store.Self.Incarnation}
}

// Abandon ends an answer that nobody wants any longer, here and on its copies.
func (r *Replicator) Abandon(id RequestID, epoch Epoch) {
	end := Ending{Refusal: &GiveUp{Reason: ReasonCallerGone, Ran: RanUnknown}}
	r.do(func(now time.Time) []StoreCommand { return r.Store.End(now, id, epoch, end) })
}

// Append appends the form of String, without an allocation of its own.
func (e EventID) Append(buf []byte) []byte {
	buf = append(buf, e.Request...)
	buf = append(buf, '.')
	buf = strconv.AppendInt(buf, int64(e.Offset), 10)
	buf = append(buf, '.')

	return strconv.AppendUint(buf, uint64(e.Digest), 16)
}
