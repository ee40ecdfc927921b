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
	StateGone    MemberState = "gone"
	StateLeaving MemberState = "leaving"
)

// Member is one daemon as known to another.
type Member struct {
	ID       HostID   `json:"id"`
	Address  string   `json:"address"`
	Location Location `json:"location"`
	// Incarnation and Beat order the news of a member: the higher is newer.
	Incarnation Incarnation `json:"incarnation"`
	Beat        int64       `json:"beat"`
	Leaving     bool        `json:"leaving,omitempty"`
	Revision    Revision    `json:"revision"`
	// Age is the time since the news last advanced, as the sender saw it.
	Age time.Duration `json:"age,omitempty"`
	// LogDown means that the member does not reach the platform's log.
	LogDown bool `json:"log_down,omitempty"`
	// Backends are the backend servers the member owns the queue of.
	Backends []BackendNews `json:"backends,omitempty"`
}

// BackendNews is a queue owner's word on a backend server.
type BackendNews struct {
	ID      BackendID `json:"id"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	// Live is the number of live calls among both.
	Live      int           `json:"live"`
	Slots     int           `json:"slots"`
	Version   WeightVersion `json:"version,omitempty"`
	Leaving   bool          `json:"leaving,omitempty"`
	Down      bool          `json:"down,omitempty"`
	Swapping  bool          `json:"swapping,omitempty"`
	LatencyMS int64         `json:"latency_ms,omitempty"`
}

// ServiceLoad is the sum of a service's load in a data centre.
type ServiceLoad struct {
	Service  ServiceName `json:"service"`
	Replicas int         `json:"replicas"`
	Slots    int         `json:"slots"`
	Busy     int         `json:"busy"`
	Live     int         `json:"live"`
	// Newest and Oldest are the versions of the weights on the replicas.
	Newest WeightVersion `json:"newest,omitempty"`
	Oldest WeightVersion `json:"oldest,omitempty"`
}

// Summary is what a data centre tells others of itself. Its delegates make it.
type Summary struct {
	Location    Location      `json:"location"`
	Maker       HostID        `json:"maker"`
	Incarnation Incarnation   `json:"incarnation"`
	Beat        int64         `json:"beat"`
	Loads       []ServiceLoad `json:"loads,omitempty"`
	// Age is the time since the summary last advanced, as the sender saw it.
	Age time.Duration `json:"age,omitempty"`
	// Roster is a hash of Members, which are left out if the asker has them.
	Roster  uint64        `json:"roster"`
	Members []MemberBrief `json:"members,omitempty"`
}

// MemberBrief is what other data centres know of a live daemon.
type MemberBrief struct {
	ID      HostID `json:"id"`
	Address string `json:"address"`
	LogDown bool   `json:"log_down,omitempty"`
}

// SummaryDigest is the newest summary that the sender of a gossip has.
type SummaryDigest struct {
	Maker       HostID      `json:"maker"`
	Incarnation Incarnation `json:"incarnation"`
	Beat        int64       `json:"beat"`
	Roster      uint64      `json:"roster"`
}

// MemberDigest is the newest news that the sender of a gossip has of a member.
type MemberDigest struct {
	ID          HostID      `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Beat        int64       `json:"beat"`
}

// Crash is a count of backend servers that died while running a request, as
// one daemon saw them.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Host        HostID      `json:"host"`
	Count       int         `json:"count"`
	// Age is the time since the newest crash.
	Age time.Duration `json:"age,omitempty"`
}

// Gossip is a request for news: it says what the sender has.
type Gossip struct {
	From      Member          `json:"from"`
	Digests   []MemberDigest  `json:"digests,omitempty"`
	Summaries []SummaryDigest `json:"summaries,omitempty"`
	Revision  Revision        `json:"revision"`
	Crashes   []Crash         `json:"crashes,omitempty"`
	// All asks for the members of another data centre too.
	All bool `json:"all,omitempty"`
}

// GossipAnswer is the news that the sender of a gossip lacked.
type GossipAnswer struct {
	Members   []Member  `json:"members,omitempty"`
	Summaries []Summary `json:"summaries,omitempty"`
	Revision  Revision  `json:"revision"`
	Crashes   []Crash   `json:"crashes,omitempty"`
	// Config is the newer configuration, if the answerer has one.
	Config []byte `json:"config,omitempty"`
}

// Peers is a daemon's way to the other daemons.
type Peers interface {
	Submit(ctx context.Context, to Member, call *Call, sink Sink) error
	Gossip(ctx context.Context, to Member, gossip *Gossip) (*GossipAnswer, error)
	Pull(ctx context.Context, to Member, pull *Pull) (*PullAnswer, error)
}

// Server is the side of a daemon that serves its peers.
type Server interface {
	HandleSubmit(ctx context.Context, call *Call, sink Sink) error
	HandleGossip(ctx context.Context, gossip *Gossip) (*GossipAnswer, error)
	HandlePull(ctx context.Context, pull *Pull) (*PullAnswer, error)
}
