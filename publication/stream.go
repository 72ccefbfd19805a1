package publication

import "monsoonlever/platform"

// StreamOf returns the stream of the manifests of a deployment.
func StreamOf(deployment string) platform.Stream {
	return platform.Stream(deployment) + "." + DefaultStream
}
