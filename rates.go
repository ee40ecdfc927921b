package gypsum

import (
	"context"
	"fmt"
	"time"
)

// RequestRate is a number of requests per second.
type RequestRate float64

// RateObserver is told of the limits that replicas put on the rate of their requests. A
// replica that is short of capacity states in its responses how many requests per second it
// accepts from all daemons together. The limit is in force until a response states none.
type RateObserver interface {
	// ObserveRateLimit is called for each response before it is passed on. limit is nil if
	// the response states none; sentAt is when the request was sent. It may be called
	// concurrently.
	ObserveRateLimit(replica *Replica, limit *RequestRate, sentAt time.Time)
}

// RateLimit is the limit that one start of a replica states, nil for none.
type RateLimit struct {
	Replica     BackendID    `cbor:"1,keyasint"`
	Incarnation Incarnation  `cbor:"2,keyasint"`
	Limit       *RequestRate `cbor:"3,keyasint,omitempty"`
}

// RateLimitStore shares the limits that replicas state among all daemons.
type RateLimitStore interface {
	RecordRateLimit(ctx context.Context, limit RateLimit) error
	// RecordedRateLimit returns the limit that was recorded last for a replica and when
	// this daemon learned of it.
	RecordedRateLimit(replica BackendID) (limit RateLimit, receivedAt time.Time, ok bool)
}

// PermitRequest asks the daemon that keeps the request budget of a replica for a permit to
// send it one request.
type PermitRequest struct {
	Replica     BackendID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Limit is the limit that the replica states.
	Limit RequestRate `cbor:"3,keyasint"`
	// MaxWait is how long the request can wait before it is sent.
	MaxWait time.Duration `cbor:"4,keyasint"`
	// Substitute means that the daemon that should keep the budget has become unreachable a
	// short time ago. It may still give permits to others.
	Substitute bool `cbor:"5,keyasint,omitempty"`
}

// PermitResponse is the response to a PermitRequest. If Granted is set, the request may be
// sent after Wait; otherwise the next permit is available after Wait.
type PermitResponse struct {
	Granted bool          `cbor:"1,keyasint"`
	Wait    time.Duration `cbor:"2,keyasint"`
}

// PermitSource gives permits for requests to replicas that limit their rate.
type PermitSource interface {
	RequestPermit(ctx context.Context, request PermitRequest) (PermitResponse, error)
}

// PeerPermits returns clients of the permit sources of other daemons.
type PeerPermits interface {
	// PermitsFrom returns a client of the permit source of the daemon at an address.
	PermitsFrom(address string) PermitSource
}

// RateLimitError is returned for a request that was not sent because the replica's request
// rate would exceed its limit.
type RateLimitError struct {
	Replica BackendID
	// RetryAfter is when the next request can be sent.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("request rate of replica %s is at its limit for %s", e.Replica, e.RetryAfter)
}

// Unwrap returns ErrNotSent.
func (e *RateLimitError) Unwrap() error { return ErrNotSent }
