package standin

// streamFault is what happens to one stream.
type streamFault struct {
	kind  FaultKind
	after int
}
