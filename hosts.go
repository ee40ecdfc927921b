package gypsum

import "context"

// HostKind is what runs on a host.
type HostKind string

// The kinds of hosts.
const (
	HostKindDaemon HostKind = "daemon"
	HostKindModel  HostKind = "model"
	HostKindPlain  HostKind = "plain"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID       string      `json:"id"`
	Kind     HostKind    `json:"kind"`
	Location Location    `json:"location"`
	Address  string      `json:"address"`
	Service  ServiceName `json:"service,omitempty"`
	Leaving  bool        `json:"leaving,omitempty"`
}

// HostList is a client of the platform's list of live and leaving hosts. The list may be
// stale, so that a listed host may have failed or may be leaving.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is a client of the platform's weight store, from which engines load
// weights. The store serves a limited number of loads per second, which bounds the rate
// of load orders.
type WeightStore interface {
	// LatestVersion returns the latest version of a model's weights.
	LatestVersion(ctx context.Context, model string) (WeightVersion, error)
}

// Dialer returns clients of backend servers.
type Dialer interface {
	Engine(host Host) Engine
	PlainService(host Host) PlainService
}
