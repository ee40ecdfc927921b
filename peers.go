package gypsum

import (
	"context"
	"time"
)

// MemberState is what one daemon believes of another.
type MemberState string

// The states of a member.
const (
	StateAlive   MemberState = "alive"
	StateSuspect MemberState = "suspect"
	StateFailed  MemberState = "gone"
	StateLeaving MemberState = "leaving"
)

// Member is one daemon as known to another.
type Member struct {
	ID       HostID   `json:"id" cbor:"1,keyasint"`
	Address  string   `json:"address" cbor:"2,keyasint"`
	Location Location `json:"location" cbor:"3,keyasint"`
	// Incarnation and Heartbeat order the news of a member: the higher is newer.
	Incarnation Incarnation `json:"incarnation" cbor:"4,keyasint"`
	Heartbeat   int64       `json:"beat" cbor:"5,keyasint"`
	Leaving     bool        `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
	Revision    Revision    `json:"revision" cbor:"7,keyasint"`
	// Age is the time since the news last advanced, as the sender saw it.
	Age time.Duration `json:"age,omitempty" cbor:"8,keyasint,omitempty"`
	// LogUnreachable means that the member does not reach the platform's log.
	LogUnreachable bool `json:"log_down,omitempty" cbor:"9,keyasint,omitempty"`
	// StatusHeartbeat is the beat at which anything but Heartbeat and Age last changed. To an
	// asker that has it, a digest says all.
	StatusHeartbeat int64 `json:"news_beat" cbor:"10,keyasint"`
	// Backends are the backend servers the member owns the queue of.
	Backends []BackendStatus `json:"backends,omitempty" cbor:"11,keyasint,omitempty"`
}

// BackendStatus is a queue owner's word on a backend server.
type BackendStatus struct {
	ID      BackendID `json:"id" cbor:"1,keyasint"`
	Running int       `json:"running" cbor:"2,keyasint"`
	Queued  int       `json:"queued" cbor:"3,keyasint"`
	// Live is the number of live calls among both.
	Live            int           `json:"live" cbor:"4,keyasint"`
	Slots           int           `json:"slots" cbor:"5,keyasint"`
	Version         WeightVersion `json:"version,omitempty" cbor:"6,keyasint,omitempty"`
	Leaving         bool          `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	Down            bool          `json:"down,omitempty" cbor:"8,keyasint,omitempty"`
	SwappingWeights bool          `json:"swapping,omitempty" cbor:"9,keyasint,omitempty"`
	LatencyMS       int64         `json:"latency_ms,omitempty" cbor:"10,keyasint,omitempty"`
}

// ServiceLoad is the sum of a service's load in a data centre.
type ServiceLoad struct {
	Service  ServiceName `json:"service" cbor:"1,keyasint"`
	Replicas int         `json:"replicas" cbor:"2,keyasint"`
	Slots    int         `json:"slots" cbor:"3,keyasint"`
	Busy     int         `json:"busy" cbor:"4,keyasint"`
	Live     int         `json:"live" cbor:"5,keyasint"`
	// NewestVersion and OldestVersion are the versions of the weights on the replicas.
	NewestVersion WeightVersion `json:"newest,omitempty" cbor:"6,keyasint,omitempty"`
	OldestVersion WeightVersion `json:"oldest,omitempty" cbor:"7,keyasint,omitempty"`
}

// DataCentreSummary is what a data centre tells others of itself. Its delegates make it.
type DataCentreSummary struct {
	Location    Location      `json:"location" cbor:"1,keyasint"`
	Delegate    HostID        `json:"maker" cbor:"2,keyasint"`
	Incarnation Incarnation   `json:"incarnation" cbor:"3,keyasint"`
	Heartbeat   int64         `json:"beat" cbor:"4,keyasint"`
	Loads       []ServiceLoad `json:"loads,omitempty" cbor:"5,keyasint,omitempty"`
	// Age is the time since the summary last advanced, as the sender saw it.
	Age time.Duration `json:"age,omitempty" cbor:"6,keyasint,omitempty"`
	// MembersHash is a hash of Members, which are left out if the asker has them.
	MembersHash uint64         `json:"roster" cbor:"7,keyasint"`
	Members     []RemoteMember `json:"members,omitempty" cbor:"8,keyasint,omitempty"`
}

// RemoteMember is what other data centres know of a live daemon.
type RemoteMember struct {
	ID             HostID `json:"id" cbor:"1,keyasint"`
	Address        string `json:"address" cbor:"2,keyasint"`
	LogUnreachable bool   `json:"log_down,omitempty" cbor:"3,keyasint,omitempty"`
}

// SummaryDigest is the summary that the sender of a gossip has of a data centre.
type SummaryDigest struct {
	DataCentre  DataCentre    `json:"data_centre" cbor:"1,keyasint"`
	Delegate    HostID        `json:"maker" cbor:"2,keyasint"`
	Incarnation Incarnation   `json:"incarnation" cbor:"3,keyasint"`
	Heartbeat   int64         `json:"beat" cbor:"4,keyasint"`
	MembersHash uint64        `json:"roster" cbor:"5,keyasint"`
	Age         time.Duration `json:"age,omitempty" cbor:"6,keyasint,omitempty"`
}

// MemberDigest is the newest news that the sender of a message has of a member. To
// whoever has news of the same StatusHeartbeat it is a sign of life of that member.
type MemberDigest struct {
	ID              HostID      `json:"id" cbor:"1,keyasint"`
	Incarnation     Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Heartbeat       int64       `json:"beat" cbor:"3,keyasint"`
	StatusHeartbeat int64       `json:"news_beat" cbor:"4,keyasint"`
	// Age is the time since the beat advanced, as the sender saw it.
	Age time.Duration `json:"age,omitempty" cbor:"5,keyasint,omitempty"`
}

// Crash is a count of backend servers that died while running a request, as
// one daemon saw them.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	Host        HostID      `json:"host" cbor:"2,keyasint"`
	Count       int         `json:"count" cbor:"3,keyasint"`
	// Age is the time since the newest crash.
	Age time.Duration `json:"age,omitempty" cbor:"4,keyasint,omitempty"`
}

// GossipRequest is a request for news: it says what the sender has.
type GossipRequest struct {
	// Self is the sender's news if the asked may lack it. Only members of the same
	// data centre tell it.
	Self *Member `json:"self,omitempty" cbor:"1,keyasint,omitempty"`
	// Digests name the members of the data centre that both are in, if they are.
	Digests   []MemberDigest  `json:"digests,omitempty" cbor:"2,keyasint,omitempty"`
	Summaries []SummaryDigest `json:"summaries,omitempty" cbor:"3,keyasint,omitempty"`
	Revision  Revision        `json:"revision" cbor:"4,keyasint"`
	Crashes   []Crash         `json:"crashes,omitempty" cbor:"5,keyasint,omitempty"`
	// IncludeMembers asks for the members of another data centre too.
	IncludeMembers bool `json:"all,omitempty" cbor:"6,keyasint,omitempty"`
	// MembersOnly asks for no summaries.
	MembersOnly bool `json:"members_only,omitempty" cbor:"7,keyasint,omitempty"`
	// SenderDataCentre is the sender's data centre, if it is not that of the asked.
	SenderDataCentre DataCentre `json:"foreign,omitempty" cbor:"8,keyasint,omitempty"`
}

// GossipResponse is the news that the sender of a gossip lacked.
type GossipResponse struct {
	Members []Member `json:"members,omitempty" cbor:"1,keyasint,omitempty"`
	// Heartbeats are members of which the sender has all news but the beat.
	Heartbeats []MemberDigest      `json:"alive,omitempty" cbor:"6,keyasint,omitempty"`
	Summaries  []DataCentreSummary `json:"summaries,omitempty" cbor:"2,keyasint,omitempty"`
	Revision   Revision            `json:"revision" cbor:"3,keyasint"`
	Crashes    []Crash             `json:"crashes,omitempty" cbor:"4,keyasint,omitempty"`
	// Config is the newer configuration, if the answerer has one.
	Config []byte `json:"config,omitempty" cbor:"5,keyasint,omitempty"`
}

// PeerClient is a daemon's way to the other daemons.
type PeerClient interface {
	Submit(ctx context.Context, peer Member, call *Call, sink Sink) error
	Gossip(ctx context.Context, peer Member, gossip *GossipRequest) (*GossipResponse, error)
	Pull(ctx context.Context, peer Member, pull *PullRequest) (*PullResponse, error)
}

// PeerServer is the side of a daemon that serves its peers.
type PeerServer interface {
	HandleSubmit(ctx context.Context, call *Call, sink Sink) error
	HandleGossip(ctx context.Context, gossip *GossipRequest) (*GossipResponse, error)
	HandlePull(ctx context.Context, pull *PullRequest) (*PullResponse, error)
}
