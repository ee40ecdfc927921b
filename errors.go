package gypsum

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Outcome is what is known of whether a request that was refused or failed has run.
type Outcome string

// The outcomes. OutcomeNotRun means that no byte of the request was sent to a backend
// server, OutcomeUnknown that the request may have run.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the machine-readable kind of a refusal or failure.
type Reason string

// The reasons of refusals and failures.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonDeadlineExceeded Reason = "deadline_past"
	ReasonOverloaded       Reason = "overloaded"
	ReasonBusy             Reason = "busy"
	ReasonPreempted        Reason = "preempted"
	ReasonNoBackend        Reason = "no_backend_server"
	ReasonNoConfiguration  Reason = "no_configuration"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonKeyExpired       Reason = "idempotency_key_expired"
	ReasonAlreadyStarted   Reason = "already_started"
	ReasonPoison           Reason = "request_crashes_backend_servers"
	ReasonBackendFailed    Reason = "backend_server_failed"
	ReasonPeerFailed       Reason = "host_failed"
	ReasonTimeout          Reason = "timeout"
	ReasonShutdown         Reason = "shutting_down"
	ReasonCancelled        Reason = "cancelled"
	ReasonStepEnded        Reason = "step_past"
	ReasonOriginUnknown    Reason = "stream_origin_unknown"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonKeysOutdated     Reason = "keys_outdated"
)

// Refusal is the final error response to a request that got no complete response
// from a backend server. It says why.
type Refusal struct {
	Reason     Reason        `json:"reason"`
	Outcome    Outcome       `json:"outcome"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retry_after"`
	// Backend names the backend server that failed or refused the request.
	Backend BackendID `json:"backend,omitempty"`
	// DataCentre names the data centre without a backend server for the request.
	DataCentre DataCentre `json:"centre,omitempty"`
	// CrashCounts are the newest counts of backend servers that crashed while running
	// the request.
	CrashCounts []CrashCount `json:"crashes,omitempty"`
	// Misrouted means that the receiving daemon cannot serve the call but another
	// daemon may.
	Misrouted bool `json:"misrouted,omitempty"`
	// Permanent means that no further attempt can succeed.
	Permanent bool `json:"final,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", r.Reason, r.Outcome, r.Detail)
}

// NotRunRefusal returns a refusal of a request that was never sent to a backend server. A
// retryAfter of zero means that a retry cannot succeed.
func NotRunRefusal(reason Reason, status int, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// UnknownRefusal returns a failure of a request that may have run.
func UnknownRefusal(reason Reason, status int, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeUnknown, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// AsRefusal returns the refusal that err wraps. Any other error becomes a failure
// with an unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return UnknownRefusal(ReasonBackendFailed, http.StatusBadGateway, time.Second, err.Error())
}

// Errors of the platform's log.
var (
	// ErrLogUnavailable is returned when an append or read got no response. The
	// append may have taken effect.
	ErrLogUnavailable = errors.New("log unavailable")
	// ErrTruncated is returned by a read of records that retention has removed.
	ErrTruncated = errors.New("records removed by retention")
)

// Errors of ownership, load orders and requests.
var (
	// ErrEpochSuperseded is returned for load orders while this daemon is not the holder of
	// their stream or must still wait for load orders of an earlier holder, and for a
	// snapshot of a stream that does not cover a record appended just before it.
	ErrEpochSuperseded = errors.New("epoch superseded")
	// ErrHistoryLost is returned for a stream whose records were removed before a
	// snapshot covered them.
	ErrHistoryLost = errors.New("stream history lost")
	// ErrStaleFencingToken is returned for a load order with a lower fencing token than
	// the engine has accepted before.
	ErrStaleFencingToken = errors.New("stale fencing token")
	// ErrNotSent marks a failure before the first byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrPeerFailed is returned when a request did not get through another daemon: that one did
	// not accept it, or the connection to it broke.
	ErrPeerFailed = errors.New("other daemon failed")
	// ErrStopping is the cause of the end of requests that a stopping daemon cannot complete.
	ErrStopping = errors.New("daemon is stopping")
	// ErrResponseMismatch is returned when a response belongs to another request.
	ErrResponseMismatch = errors.New("response to another request")
	// ErrIncompleteResponse is returned when a response ended early or has a gap.
	ErrIncompleteResponse = errors.New("incomplete response")
	// ErrNotRun is returned when the backend server confirms that the request
	// has not run and will not run.
	ErrNotRun = errors.New("request not run by the backend server")
	// ErrItemFailed is returned when the engine reports that an attempt at an item failed.
	ErrItemFailed = errors.New("attempt at the item failed")
	// ErrTextTooLong is returned for an item's text that does not end.
	ErrTextTooLong = errors.New("text too long")
	// ErrItemInvalid is returned for an item that no engine can run.
	ErrItemInvalid = errors.New("invalid item")
)
