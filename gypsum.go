// Package gypsum defines the types and interfaces of the gypsumhook rollout service.
// Everything outside the service (model engines, plain services without a model, the
// platform's log, host list and weight store) and every exchangeable policy is an
// interface here. The implementations are in the packages below.
package gypsum

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID identifies the host that a daemon runs on.
type HostID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region, a group of data centres close to each other.
type Region string

// BackendID identifies a backend server.
type BackendID string

// ServiceName is the name by which callers address a group of backend servers.
type ServiceName string

// PlanName is the name of a rollout plan.
type PlanName string

// RequestID identifies a call. It is unique across all daemons.
type RequestID string

// IdempotencyKey is a key that the caller chooses for a non-idempotent request. All
// retries of the request carry the same key.
type IdempotencyKey string

// Incarnation is a number that increases whenever a process starts or resumes after
// it was frozen. It is the start time in milliseconds.
type Incarnation int64

// WeightVersion is the version number of a model's weights.
type WeightVersion int64

// Revision is the number of configuration changes accepted so far.
type Revision int64

// Fingerprint is a hash of a request's service, target and body.
type Fingerprint uint64

// Bytes is an amount of data in bytes.
type Bytes int64

// Location is a data centre and the region that it belongs to.
type Location struct {
	DataCentre DataCentre `json:"data_centre" cbor:"1,keyasint"`
	Region     Region     `json:"region" cbor:"2,keyasint"`
}

// Distance is how far apart two locations are. A lower value is closer.
type Distance int

// The distances between locations.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance to another location.
func (l Location) DistanceTo(other Location) Distance {
	switch {
	case l.DataCentre == other.DataCentre:
		return SameDataCentre
	case l.Region == other.Region:
		return SameRegion
	}
	return OtherRegion
}

// Hash64 returns the xxHash of the parts, each followed by a separator byte.
func Hash64(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// FingerprintOf returns the fingerprint of a request. The scope is what its caller addresses: a
// service, or a host name if routes decide which service runs the request. The target is what the
// request addresses within it, such as its method and path.
func FingerprintOf[Scope ~string](scope Scope, target string, body []byte) Fingerprint {
	return Fingerprint(Hash64(string(scope), target, string(body)))
}

// RendezvousScore returns the score of a candidate for an item in rendezvous hashing.
// The candidate with the highest score owns the item.
func RendezvousScore(item, candidate string) uint64 {
	return Hash64(item, candidate)
}

// RendezvousPeers returns the count daemons that own an item in rendezvous hashing, the one with
// the highest score first. All daemons that know the same peers agree on them.
func RendezvousPeers(item string, peers []Peer, count int) []Peer {
	type scoredPeer struct {
		Peer
		score uint64
	}
	best := make([]scoredPeer, 0, count+1)
	for _, peer := range peers {
		candidate := scoredPeer{peer, RendezvousScore(item, string(peer.Host))}
		position, _ := slices.BinarySearchFunc(best, candidate, func(a, b scoredPeer) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Host, b.Host))
		})
		if position < count {
			best = slices.Insert(best, position, candidate)
			best = best[:min(len(best), count)]
		}
	}
	owners := make([]Peer, 0, len(best))
	for _, peer := range best {
		owners = append(owners, peer.Peer)
	}
	return owners
}

// RemainingTime returns the time left until a deadline, at least zero.
func RemainingTime(deadline time.Time) time.Duration {
	return max(0, time.Until(deadline))
}
