package publication

import "monsoonlever/provider"

// StreamOf returns the stream of the manifests of a deployment.
func StreamOf(deployment string) provider.Stream {
	return provider.Stream(deployment) + "." + DefaultStream
}
