package gypsum

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Outcome is what is known of a request that was refused or failed.
type Outcome string

// OutcomeNotRun means that no byte of the request was handed to a backend
// server. OutcomeUnknown means that it may have run.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the kind of a refusal or failure, for machines to read.
type Reason string

// The reasons of refusals and failures.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonDeadlinePast    Reason = "deadline_past"
	ReasonOverloaded      Reason = "overloaded"
	ReasonBusy            Reason = "busy"
	ReasonPreempted       Reason = "preempted"
	ReasonNoBackend       Reason = "no_backend_server"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonLogUnavailable  Reason = "log_unavailable"
	ReasonKeyReused       Reason = "idempotency_key_reused"
	ReasonKeyExpired      Reason = "idempotency_key_expired"
	ReasonAlreadyStarted  Reason = "already_started"
	ReasonPoison          Reason = "request_crashes_backend_servers"
	ReasonBackendFailed   Reason = "backend_server_failed"
	ReasonPeerFailed      Reason = "host_failed"
	ReasonTimeout         Reason = "timeout"
	ReasonShutdown        Reason = "shutting_down"
	ReasonCancelled       Reason = "cancelled"
	ReasonStepPast        Reason = "step_past"
)

// Refusal is the final answer to a request that got no whole answer from a
// backend server.
type Refusal struct {
	Reason     Reason        `json:"reason"`
	Outcome    Outcome       `json:"outcome"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retry_after"`
	// Backend names the backend server that failed or refused the request.
	Backend BackendID `json:"backend,omitempty"`
	// DataCentre names the data centre that has no backend server for the request.
	DataCentre DataCentre `json:"centre,omitempty"`
	// Crashes are the newest counts of backend servers that died while they ran
	// the request.
	Crashes []Crash `json:"crashes,omitempty"`
	// Misrouted means that the receiving daemon cannot serve the call, and that
	// another one may.
	Misrouted bool `json:"misrouted,omitempty"`
	// Permanent means that no further attempt can succeed.
	Permanent bool `json:"final,omitempty"`
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", r.Reason, r.Outcome, r.Detail)
}

// NotRun returns a refusal of a request that was never handed to a backend
// server. A retryAfter of zero means that coming back is of no use.
func NotRun(reason Reason, status int, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns a failure of a request that may have run.
func Unknown(reason Reason, status int, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeUnknown, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// AsRefusal returns err as a refusal. An error that is not one becomes a
// failure with an unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return Unknown(ReasonBackendFailed, http.StatusBadGateway, time.Second, err.Error())
}

// Errors of the platform's log.
var (
	// ErrLogUnavailable is an append or read without an answer. An append may
	// have taken effect.
	ErrLogUnavailable = errors.New("log unavailable")
	// ErrTruncated is a read of records that retention has removed.
	ErrTruncated = errors.New("records removed by retention")
)

// Errors of ownership and orders.
var (
	// ErrEpochSuperseded is an act under an epoch that a newer one has replaced.
	ErrEpochSuperseded = errors.New("epoch lost")
	// ErrHistoryLost is a stream whose records were removed before a snapshot
	// covered them.
	ErrHistoryLost = errors.New("stream history lost")
	// ErrStaleFencingToken is an order with an older fencing number than the engine
	// has seen.
	ErrStaleFencingToken = errors.New("stale fencing number")
	// ErrNotSent marks a failure before the first byte reached the other side.
	ErrNotSent = errors.New("not handed over")
	// ErrResponseMismatch is an answer that belongs to another request.
	ErrResponseMismatch = errors.New("answer of another request")
	// ErrIncompleteResponse is an answer that ended early or has a gap.
	ErrIncompleteResponse = errors.New("answer broken off")
	// ErrNotExecuted is an answer that says that the request has not run and will not.
	ErrNotExecuted = errors.New("not executed by the backend server")
	// ErrItemFailed is a run of an item that the engine answered with a failure.
	ErrItemFailed = errors.New("run of the item failed")
	// ErrItemInvalid is an item that no engine can ever do.
	ErrItemInvalid = errors.New("item can never be done")
)
