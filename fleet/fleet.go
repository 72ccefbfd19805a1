// Package fleet holds the identifiers that every other package shares.
//
// They are typed strings, so that a service name is never passed where a
// client account is meant.
//
// # Usage
//
//	id := fleet.InstanceID("entry-1")
//	domain := fleet.FailureDomain("ballerup-a")
package fleet

// InstanceID names one instance for its lifetime; a replacement has another.
type InstanceID string

// Incarnation counts the starts of a process on one instance.
type Incarnation uint64

// Region names a group of failure domains with one location.
type Region string

// FailureDomain names a part of a region that is lost as a whole.
type FailureDomain string

// Service names a service of the manifest.
type Service string

// Model names a model of the manifest.
type Model string

// Version names a version of the program of a service's backend servers.
type Version string

// ModelVersion names a version of a model.
type ModelVersion string

// Account names a client account.
type Account string

// CallKind names a kind of call of a service, with its own latency target.
type CallKind string

// Priority orders requests; a greater number is served first.
type Priority int
