package gypsum

import (
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// RouteKind says how requests of a route are served and whether they may be retried.
type RouteKind string

// The kinds of routes.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNonIdempotent RouteKind = "non_idempotent"
	RouteStreaming     RouteKind = "streaming"
	RouteRollout       RouteKind = "rollout"
)

// WeightedService is a service and its relative share of a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route says how requests for a host name and a path prefix are served.
type Route struct {
	Name          string
	HostName      string
	PathPrefix    string
	Kind          RouteKind
	Timeout       time.Duration
	LatencyTarget time.Duration
	// Priority is the priority of the route, 0 being the highest.
	Priority int
	// NoAuth means that requests of the route need no API key.
	NoAuth          bool
	MaxAttempts     int
	Services        []WeightedService
	SessionAffinity bool
	Resumable       bool
	// ResultDue, Retention and SingleVersion apply only to rollout routes.
	ResultDue     time.Duration
	Retention     time.Duration
	SingleVersion bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteRollout || (r.Kind == RouteStreaming && r.Resumable)
}

// ServiceFor returns the service that runs work which was accepted for a service: that one, while the route gives it a
// share. Otherwise it is chosen by a key of the work and by the weights, in the same way at all daemons.
func (r *Route) ServiceFor(key string, accepted ServiceName) ServiceName {
	if len(r.Services) == 0 {
		return accepted
	}
	chosen, best := r.Services[0].Service, math.Inf(-1)
	for _, weighted := range r.Services {
		switch {
		case weighted.Weight <= 0:
			continue
		case weighted.Service == accepted:
			return accepted
		}
		// Weighted rendezvous hashing: the score is that of the largest of as many hashes as the weight says.
		uniform := (float64(RendezvousScore(key, string(weighted.Service))) + 1) / (math.MaxUint64 + 1)
		if score := math.Log(uniform) / weighted.Weight; score > best {
			chosen, best = weighted.Service, score
		}
	}
	return chosen
}

// PickService returns a random service of the route, chosen by the services' weights. It
// returns the empty name if the route has no services.
func (r *Route) PickService() ServiceName {
	total := 0.0
	for _, weighted := range r.Services {
		total += max(0, weighted.Weight)
	}
	point := rand.Float64() * total
	for _, weighted := range r.Services {
		if point -= max(0, weighted.Weight); point < 0 {
			return weighted.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// EngineModel is the name of a model that engines of a service can load.
type EngineModel string

// ServiceConfig describes the replicas of a service.
type ServiceConfig struct {
	Name       ServiceName
	HealthPath string
	MaxConns   int
	// Slots, TokensPerEvent and Models apply only to engines. Slots is 0 for other services.
	Slots int
	// TokensPerEvent is the number of tokens per event of an engine's stream.
	TokensPerEvent int
	Models         []EngineModel
	// Capacity says how many replicas may be ordered, nil if the service's replicas are fixed.
	Capacity *CapacityConfig
}

// CapacityConfig says how many replicas of a service may be ordered and what they cost.
type CapacityConfig struct {
	// Min and Max bound the replicas of a data centre, both kinds together.
	Min int
	Max int
	// StartTime is how long an ordered replica takes until it is ready.
	StartTime time.Duration
	// Prices are the prices of a replica-second by data centre, ReclaimablePrice that of a
	// replica that may be reclaimed.
	Prices           map[DataCentre]float64
	ReclaimablePrice float64
}

// ClientLimits are the size and time limits of requests from clients.
type ClientLimits struct {
	MaxHeader     Bytes
	MaxBody       Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RoutingConfig is one revision of the operators' configuration. It is immutable.
type RoutingConfig struct {
	Revision Revision
	Routes   []Route
	Services map[ServiceName]ServiceConfig
	Limits   ClientLimits
	// Accounts are the client accounts, nil if requests need no API key.
	Accounts *Accounts
}

// HostNameOf returns the host name in a Host header, without the port.
func HostNameOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// MatchRoute returns the route with the given host name and the longest prefix of the
// path. It returns nil if there is none.
func (c *RoutingConfig) MatchRoute(hostName, path string) *Route {
	var best *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if strings.EqualFold(route.HostName, hostName) && strings.HasPrefix(path, route.PathPrefix) &&
			(best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// FindRoute returns the route with the given name, or nil if there is none.
func (c *RoutingConfig) FindRoute(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// ReplicaState is the state that a replica registers for itself.
type ReplicaState string

// The states of replicas.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaDraining ReplicaState = "draining"
)

// SoftwareVersion is the version of a backend server's software. Replicas of several versions
// may serve side by side. What two versions write does not fit together, so that a response
// that one has begun can only be continued by another replica of the same version.
type SoftwareVersion string

// Replica is the registration of a backend server.
type Replica struct {
	ID       BackendID
	Service  ServiceName
	Address  string
	Location Location
	State    ReplicaState
	Slots    int
	// Software is the version of the replica's software, not of its weights.
	Software SoftwareVersion
	// Incarnation identifies the start of the replica, since it may restart under the same
	// ID.
	Incarnation Incarnation
	Models      map[EngineModel]WeightVersion
	// Reclaimable means that the platform may take the replica away, with all of this kind in
	// its data centre. LeavesIn is the time that was left when a replica that is taken away
	// registered that for the first time, 0 if it is not known.
	Reclaimable bool
	LeavesIn    time.Duration
}

// Equal reports whether two registrations have the same content. LeavesIn is left out, since it
// differs in each renewal.
func (r *Replica) Equal(other *Replica) bool {
	return r == other || (r.ID == other.ID && r.Service == other.Service && r.Address == other.Address &&
		r.Location == other.Location && r.State == other.State && r.Slots == other.Slots && r.Software == other.Software && r.Incarnation == other.Incarnation &&
		r.Reclaimable == other.Reclaimable && maps.Equal(r.Models, other.Models))
}
