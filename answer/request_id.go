package answer

// RequestID names one request across all entry instances. It holds no dot.
type RequestID string
