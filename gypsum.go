// Package gypsum states the types and interfaces of the gypsumhook rollout
// service. Everything outside the service (engines, plain services, the
// platform's log, host list and weight store) and every policy that can vary
// is an interface here; the implementations are in the packages below.
package gypsum

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID is the name of one daemon's host.
type HostID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region, a group of near data centres.
type Region string

// BackendID is the name of one backend server.
type BackendID string

// ServiceName is the name under which callers reach a group of backend servers.
type ServiceName string

// PlanName is the name of a rollout plan.
type PlanName string

// RequestID is an identifier of one call, unique over all daemons.
type RequestID string

// IdempotencyKey is the caller's name for a non-idempotent request; all
// repeats of the request carry the same key.
type IdempotencyKey string

// Incarnation is a number that grows each time a process starts or returns
// after it was frozen. It is the time of the start in milliseconds.
type Incarnation int64

// WeightVersion is the number of a version of a model's weights.
type WeightVersion int64

// Revision is the number of configuration changes accepted so far.
type Revision int64

// Fingerprint is a hash of a request's service and body.
type Fingerprint uint64

// Bytes is an amount of data.
type Bytes int64

// Location is a place: a data centre and the region it belongs to.
type Location struct {
	DataCentre DataCentre `json:"data_centre" cbor:"1,keyasint"`
	Region     Region     `json:"region" cbor:"2,keyasint"`
}

// Distance is how far two places are from each other.
type Distance int

// The distances between places.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance to another place.
func (l Location) DistanceTo(other Location) Distance {
	switch {
	case l.DataCentre == other.DataCentre:
		return SameDataCentre
	case l.Region == other.Region:
		return SameRegion
	}
	return OtherRegion
}

// Hash64 returns the hash of the parts, with a separator between them.
func Hash64(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// FingerprintOf returns the fingerprint of a request body for a service.
func FingerprintOf(service ServiceName, path string, body []byte) Fingerprint {
	return Fingerprint(Hash64(string(service), path, string(body)))
}

// RendezvousScore returns the rank of a candidate for an item: of all candidates,
// the one with the highest rank owns the item.
func RendezvousScore(item, candidate string) uint64 {
	return Hash64(item, candidate)
}

// Remaining returns the time left until a deadline, never below zero.
func Remaining(deadline time.Time) time.Duration {
	return max(0, time.Until(deadline))
}
