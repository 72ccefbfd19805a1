package claim

// Field is one header field of a service's response.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Name  string
	Value string
}
