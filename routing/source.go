package routing

// Source tells who said that a server is leaving.
type Source int

// The sources of the news that a server is leaving.
const (
	SourceList Source = iota
	SourceNotice
	SourceServer
	SourcePeer
	sourceCount
)

// String returns the name of the source as metrics show it.
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
