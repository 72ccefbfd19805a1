package routing

// Source is the origin of an update that a server is leaving.
type Source int

// The sources of such updates: the instance list, a reclaim notice, the server itself
// and another entry instance.
const (
	SourceList Source = iota
	SourceNotice
	SourceServer
	SourcePeer
	sourceCount
)

// String returns the value of the metric label for the source.
func (s Source) String() string {
	switch s {
	case SourceList:
		return "list"
	case SourceNotice:
		return "notice"
	case SourceServer:
		return "server"
	case SourcePeer:
		return "peer"
	default:
		return "unknown"
	}
}
