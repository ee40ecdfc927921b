package gypsum

import (
	"maps"
	"time"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of routes.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNonIdempotent RouteKind = "non_idempotent"
	RouteStreaming     RouteKind = "streaming"
	RouteRollout       RouteKind = "rollout"
)

// WeightedService is a share of a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route tells how requests for a host name and a path prefix are served.
type Route struct {
	Name          string
	HostName      string
	PathPrefix    string
	Kind          RouteKind
	Timeout       time.Duration
	LatencyTarget time.Duration
	// Priority is the rank of the route, 0 the highest.
	Priority        int
	MaxAttempts     int
	Services        []WeightedService
	SessionAffinity bool
	Resumable       bool
	// ResultDue, Retention and SingleVersion belong to rollout routes.
	ResultDue     time.Duration
	Retention     time.Duration
	SingleVersion bool
}

// Retryable tells whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteRollout || (r.Kind == RouteStreaming && r.Resumable)
}

// EngineModel is a model that the engines of a service can hold.
type EngineModel string

// ServiceConfig tells what the replicas of a service are.
type ServiceConfig struct {
	Name       ServiceName
	HealthPath string
	MaxConns   int
	// Slots, TokensPerEvent and Models belong to services of engines; Slots is 0 for others.
	Slots int
	// TokensPerEvent is the number of tokens in one event of an engine's stream.
	TokensPerEvent int
	Models         []EngineModel
}

// ClientLimits bound what a client may send and how long it may take.
type ClientLimits struct {
	MaxHeader     Bytes
	MaxBody       Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RoutingConfig is one version of the operators' configuration. It is not changed
// after it was made.
type RoutingConfig struct {
	Revision Revision
	Routes   []Route
	Services map[ServiceName]ServiceConfig
	Limits   ClientLimits
}

// ReplicaState is what a replica says of itself.
type ReplicaState string

// The states of replicas.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaDraining ReplicaState = "draining"
)

// Replica is the registration of one backend server.
type Replica struct {
	ID       BackendID
	Service  ServiceName
	Address  string
	Location Location
	State    ReplicaState
	Slots    int
	// Incarnation is the start of the replica, which tells two starts under one id apart.
	Incarnation Incarnation
	Models      map[EngineModel]WeightVersion
}

// Equal tells whether two registrations say the same.
func (r *Replica) Equal(other *Replica) bool {
	return r == other || (r.ID == other.ID && r.Service == other.Service && r.Address == other.Address &&
		r.Location == other.Location && r.State == other.State && r.Slots == other.Slots && r.Incarnation == other.Incarnation &&
		maps.Equal(r.Models, other.Models))
}
