package gypsum

import (
	"context"
	"time"
)

// MemberState is the state of a daemon as another daemon judges it.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberFailed  MemberState = "gone"
	MemberLeaving MemberState = "leaving"
)

// Member is one daemon as known to another.
type Member struct {
	ID       HostID   `json:"id" cbor:"1,keyasint"`
	Address  string   `json:"address" cbor:"2,keyasint"`
	Location Location `json:"location" cbor:"3,keyasint"`
	// Incarnation and Heartbeat order the updates of a member: the higher is newer.
	Incarnation Incarnation `json:"incarnation" cbor:"4,keyasint"`
	Heartbeat   int64       `json:"beat" cbor:"5,keyasint"`
	Leaving     bool        `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
	Revision    Revision    `json:"revision" cbor:"7,keyasint"`
	// Age is the time since the heartbeat last advanced, as observed by the sender.
	Age time.Duration `json:"age,omitempty" cbor:"8,keyasint,omitempty"`
	// LogUnavailable means that the member cannot reach the platform's log.
	LogUnavailable bool `json:"log_down,omitempty" cbor:"9,keyasint,omitempty"`
	// StatusHeartbeat is the heartbeat at which anything but Heartbeat and Age last
	// changed. A digest suffices for a receiver that has the same StatusHeartbeat.
	StatusHeartbeat int64 `json:"news_beat" cbor:"10,keyasint"`
	// Backends are the backend servers whose queues the member owns.
	Backends []BackendStatus `json:"backends,omitempty" cbor:"11,keyasint,omitempty"`
}

// BackendStatus is the state of a backend server as its queue owner reports it.
type BackendStatus struct {
	ID      BackendID `json:"id" cbor:"1,keyasint"`
	Running int       `json:"running" cbor:"2,keyasint"`
	Queued  int       `json:"queued" cbor:"3,keyasint"`
	// Live is the number of live calls, running and queued.
	Live           int           `json:"live" cbor:"4,keyasint"`
	Slots          int           `json:"slots" cbor:"5,keyasint"`
	Version        WeightVersion `json:"version,omitempty" cbor:"6,keyasint,omitempty"`
	Leaving        bool          `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	Down           bool          `json:"down,omitempty" cbor:"8,keyasint,omitempty"`
	LoadingWeights bool          `json:"swapping,omitempty" cbor:"9,keyasint,omitempty"`
	LatencyMS      int64         `json:"latency_ms,omitempty" cbor:"10,keyasint,omitempty"`
}

// ServiceLoad is the total load of a service in a data centre.
type ServiceLoad struct {
	Service  ServiceName `json:"service" cbor:"1,keyasint"`
	Replicas int         `json:"replicas" cbor:"2,keyasint"`
	Slots    int         `json:"slots" cbor:"3,keyasint"`
	Busy     int         `json:"busy" cbor:"4,keyasint"`
	Live     int         `json:"live" cbor:"5,keyasint"`
	// NewestVersion and OldestVersion are the extremes of the replicas' weight versions.
	NewestVersion WeightVersion `json:"newest,omitempty" cbor:"6,keyasint,omitempty"`
	OldestVersion WeightVersion `json:"oldest,omitempty" cbor:"7,keyasint,omitempty"`
}

// DataCentreSummary is the status of a data centre as others see it. It is made by the
// delegates of the data centre: the daemons that exchange gossip with other data centres.
type DataCentreSummary struct {
	Location    Location      `json:"location" cbor:"1,keyasint"`
	Delegate    HostID        `json:"maker" cbor:"2,keyasint"`
	Incarnation Incarnation   `json:"incarnation" cbor:"3,keyasint"`
	Heartbeat   int64         `json:"beat" cbor:"4,keyasint"`
	Loads       []ServiceLoad `json:"loads,omitempty" cbor:"5,keyasint,omitempty"`
	// Age is the time since the summary last advanced, as observed by the sender.
	Age time.Duration `json:"age,omitempty" cbor:"6,keyasint,omitempty"`
	// MembersHash is a hash of Members, which are omitted if the receiver has them.
	MembersHash uint64         `json:"roster" cbor:"7,keyasint"`
	Members     []RemoteMember `json:"members,omitempty" cbor:"8,keyasint,omitempty"`
}

// RemoteMember is a live daemon as known to other data centres.
type RemoteMember struct {
	ID             HostID `json:"id" cbor:"1,keyasint"`
	Address        string `json:"address" cbor:"2,keyasint"`
	LogUnavailable bool   `json:"log_down,omitempty" cbor:"3,keyasint,omitempty"`
}

// SummaryDigest identifies the newest summary of a data centre that the sender of a
// gossip message has.
type SummaryDigest struct {
	DataCentre  DataCentre    `json:"data_centre" cbor:"1,keyasint"`
	Delegate    HostID        `json:"maker" cbor:"2,keyasint"`
	Incarnation Incarnation   `json:"incarnation" cbor:"3,keyasint"`
	Heartbeat   int64         `json:"beat" cbor:"4,keyasint"`
	MembersHash uint64        `json:"roster" cbor:"5,keyasint"`
	Age         time.Duration `json:"age,omitempty" cbor:"6,keyasint,omitempty"`
}

// MemberDigest identifies the newest status of a member that the sender of a message has.
// A receiver that has the same StatusHeartbeat takes the member's heartbeat from the
// digest.
type MemberDigest struct {
	ID              HostID      `json:"id" cbor:"1,keyasint"`
	Incarnation     Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Heartbeat       int64       `json:"beat" cbor:"3,keyasint"`
	StatusHeartbeat int64       `json:"news_beat" cbor:"4,keyasint"`
	// Age is the time since the heartbeat advanced, as observed by the sender.
	Age time.Duration `json:"age,omitempty" cbor:"5,keyasint,omitempty"`
}

// CrashCount is the number of backend servers that crashed while running a request, as
// counted by one daemon.
type CrashCount struct {
	Fingerprint Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	Host        HostID      `json:"host" cbor:"2,keyasint"`
	Count       int         `json:"count" cbor:"3,keyasint"`
	// Age is the time since the newest crash.
	Age time.Duration `json:"age,omitempty" cbor:"4,keyasint,omitempty"`
}

// GossipRequest asks a daemon for updates. It states what the sender has.
type GossipRequest struct {
	// Self is the sender's own status, if the receiver may lack it. It is sent only
	// within a data centre.
	Self *Member `json:"self,omitempty" cbor:"1,keyasint,omitempty"`
	// Digests identify the member statuses that the sender has. They are sent only within a
	// data centre.
	Digests     []MemberDigest  `json:"digests,omitempty" cbor:"2,keyasint,omitempty"`
	Summaries   []SummaryDigest `json:"summaries,omitempty" cbor:"3,keyasint,omitempty"`
	Revision    Revision        `json:"revision" cbor:"4,keyasint"`
	CrashCounts []CrashCount    `json:"crashes,omitempty" cbor:"5,keyasint,omitempty"`
	// IncludeMembers asks for the members of the receiver's data centre, even if the
	// sender belongs to another one.
	IncludeMembers bool `json:"all,omitempty" cbor:"6,keyasint,omitempty"`
	// MembersOnly asks the receiver to omit summaries.
	MembersOnly bool `json:"members_only,omitempty" cbor:"7,keyasint,omitempty"`
	// SenderDataCentre is the sender's data centre, if it differs from the receiver's.
	SenderDataCentre DataCentre `json:"foreign,omitempty" cbor:"8,keyasint,omitempty"`
}

// GossipResponse contains the updates that the requester lacks according to its
// GossipRequest.
type GossipResponse struct {
	Members []Member `json:"members,omitempty" cbor:"1,keyasint,omitempty"`
	// Heartbeats are the digests of members of which the requester lacks only the newest
	// heartbeat.
	Heartbeats  []MemberDigest      `json:"alive,omitempty" cbor:"6,keyasint,omitempty"`
	Summaries   []DataCentreSummary `json:"summaries,omitempty" cbor:"2,keyasint,omitempty"`
	Revision    Revision            `json:"revision" cbor:"3,keyasint"`
	CrashCounts []CrashCount        `json:"crashes,omitempty" cbor:"4,keyasint,omitempty"`
	// Config is the configuration, if the responder has a newer one.
	Config []byte `json:"config,omitempty" cbor:"5,keyasint,omitempty"`
}

// PeerClient sends requests to other daemons.
type PeerClient interface {
	Submit(ctx context.Context, peer Member, call *Call, sink Sink) error
	Gossip(ctx context.Context, peer Member, req *GossipRequest) (*GossipResponse, error)
	Pull(ctx context.Context, peer Member, pull *PullRequest) (*PullResponse, error)
}

// PeerServer handles requests of other daemons.
type PeerServer interface {
	HandleSubmit(ctx context.Context, call *Call, sink Sink) error
	HandleGossip(ctx context.Context, req *GossipRequest) (*GossipResponse, error)
	HandlePull(ctx context.Context, pull *PullRequest) (*PullResponse, error)
}
