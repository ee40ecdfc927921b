package gypsum

import "context"

// HostKind is what runs on a host.
type HostKind string

// The kinds of hosts.
const (
	KindDaemon HostKind = "daemon"
	KindModel  HostKind = "model"
	KindPlain  HostKind = "plain"
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

// HostList is the platform's list of live and leaving hosts. It may be stale.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the platform's weight store. It is rate-limited.
type WeightStore interface {
	// LatestVersion returns the latest version of a model's weights.
	LatestVersion(ctx context.Context, model string) (WeightVersion, error)
}

// Dialer returns clients of backend servers.
type Dialer interface {
	Engine(host Host) Engine
	PlainService(host Host) PlainService
}
