// Package fleet defines the identifiers that the other packages share.
//
// Each kind of identifier has its own type, so that the compiler rejects, for example, a service
// name in place of a client account.
//
// # Usage
//
//	id := fleet.InstanceID("entry-1")
//	domain := fleet.FailureDomain("ballerup-a")
package fleet

// InstanceID identifies one instance during its lifetime. A replacement has another ID.
type InstanceID string

// Incarnation identifies one start of a process on an instance; a later start has a greater
// number.
type Incarnation uint64

// Region names a group of failure domains in one location.
type Region string

// FailureDomain names a part of a region whose instances can fail together.
type FailureDomain string

// Service names a service of the manifest.
type Service string

// Model names a model of the manifest.
type Model string

// Version names a software version of a service's backend servers.
type Version string

// ModelVersion names a version of a model.
type ModelVersion string

// Account names a client account.
type Account string

// CallKind names a kind of call to a service. Each kind has its own latency target.
type CallKind string

// Priority is the priority of a request. Requests with a greater value are served first.
type Priority int
