package membership

import "monsoonlever/peer"

// The message kinds of this package. The range from 32 to 47 is reserved for it.
const (
	kindProbe peer.Kind = iota + 32
	kindAck
	kindIndirectProbe
	kindGossip
	kindSyncRequest
	kindSyncResponse
)

// kinds lists the message kinds. The node may drop any of these messages under
// load, since later messages compensate for a lost one.
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
