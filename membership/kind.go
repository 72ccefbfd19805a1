package membership

import "monsoonlever/peer"

// The kinds of the package's messages; the range up to 47 is reserved for it.
const (
	kindProbe peer.Kind = iota + 32
	kindAck
	kindIndirectProbe
	kindGossip
	kindSyncRequest
	kindSyncResponse
)

// kinds lists them. All may be dropped: each is repaired by a later one.
var kinds = []peer.Kind{kindProbe, kindAck, kindIndirectProbe, kindGossip, kindSyncRequest, kindSyncResponse}

func kindOf(message Message) peer.Kind {
	switch message.(type) {
	case *Probe:
		return kindProbe
	case *Ack:
		return kindAck
	case *IndirectProbe:
		return kindIndirectProbe
	case *SyncRequest:
		return kindSyncRequest
	case *SyncResponse:
		return kindSyncResponse
	default:
		return kindGossip
	}
}
