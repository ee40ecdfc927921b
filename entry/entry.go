// Package entry serves callers and trainers over HTTP.
package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/core"
)

// Limits of requests.
const (
	maxKeyLength = 256
	maxTimeout   = time.Hour
	maxPullWait  = time.Minute
	prefixLength = 256
)

// problemType is the start of the type of a problem document.
const problemType = "urn:gypsumhook:problem:"

// Entry serves the callers of one daemon. Set the exported fields before use.
type Entry struct {
	Node *core.Core
	// MaxBody bounds the body of a request.
	MaxBody gypsum.Bytes

	mu  sync.Mutex
	bad map[gypsum.Reason]int64
}

// Handler returns the HTTP handler for callers, trainers and health checks.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("/services/{service}/{path...}", e.plain)
	mux.HandleFunc("POST /v1/plans/{plan}/pull", e.pull)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, r, badRequest(http.StatusNotFound, "there is nothing at this path"))
	})
	return mux
}

// BadInput returns the counts of refused bad requests by reason.
func (e *Entry) BadInput() map[gypsum.Reason]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[gypsum.Reason]int64, len(e.bad))
	for reason, count := range e.bad {
		counts[reason] = count
	}
	return counts
}

// ready answers the balancer's readiness check.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if err := e.Node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// problemOf returns the problem document of a refusal.
func problemOf(refusal *gypsum.Refusal) *client.Problem {
	return &client.Problem{
		Type: problemType + string(refusal.Reason), Title: strings.ReplaceAll(string(refusal.Reason), "_", " "),
		Status: refusal.Status, Detail: refusal.Detail, Outcome: refusal.Outcome, Reason: refusal.Reason,
		RetryAfter: refusal.RetryAfter.Milliseconds(),
	}
}

// badRequest returns the refusal of a request that can never be served.
func badRequest(status int, detail string) *gypsum.Refusal {
	return gypsum.NotRun(gypsum.ReasonBadRequest, status, 0, detail)
}

// refuse answers with a problem document.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, refusal *gypsum.Refusal) {
	if refusal.Status >= 400 && refusal.Status < 500 {
		e.mu.Lock()
		if e.bad == nil {
			e.bad = make(map[gypsum.Reason]int64)
		}
		e.bad[refusal.Reason]++
		e.mu.Unlock()
	}
	e.Node.Logger.Info("request refused", "path", r.URL.Path, "reason", refusal.Reason, "outcome", refusal.Outcome,
		"status", refusal.Status, "detail", refusal.Detail)
	w.Header().Set("Content-Type", "application/problem+json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(problemOf(refusal))
}

// readBody reads a request's body.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *gypsum.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.MaxBody)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", e.MaxBody))
	}
	if err != nil {
		return nil, badRequest(http.StatusBadRequest, "the body broke off: "+err.Error())
	}
	return body, nil
}

// newCall returns the call of a request for a service.
func (e *Entry) newCall(r *http.Request, name gypsum.ServiceName, kind gypsum.HostKind) (*gypsum.Call, *gypsum.Refusal) {
	view := e.Node.View()
	if view.Config == nil {
		return nil, gypsum.NotRun(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "this host has no configuration yet")
	}
	spec, ok := view.Service(name)
	if !ok || spec.Kind != kind {
		return nil, gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no %s service %q", kind, name))
	}
	budget, refusal := budgetOf(r, spec.DefaultTimeout)
	if refusal != nil {
		return nil, refusal
	}
	return &gypsum.Call{
		ID: gypsum.RequestID(uuid.NewString()), Service: name, Class: gypsum.ClassLive, Stage: gypsum.StagePlace,
		Budget: budget, Tenant: callerOf(r),
	}, nil
}

// callerOf returns the name under which a caller's share is counted.
func callerOf(r *http.Request) string {
	if caller := r.Header.Get(client.CallerHeader); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// budgetOf returns the time that a request allows.
func budgetOf(r *http.Request, standard time.Duration) (time.Duration, *gypsum.Refusal) {
	budget := standard
	if value := r.Header.Get(client.TimeoutHeader); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, badRequest(http.StatusBadRequest, fmt.Sprintf("%s is %q, expected milliseconds", client.TimeoutHeader, value))
		}
		budget = time.Duration(min(milliseconds, maxTimeout.Milliseconds())) * time.Millisecond
	}
	if value := r.Header.Get(client.DeadlineHeader); value != "" {
		deadline, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return 0, badRequest(http.StatusBadRequest, fmt.Sprintf("%s is %q, expected a time as in RFC 3339", client.DeadlineHeader, value))
		}
		budget = min(time.Until(deadline), maxTimeout)
	}
	if budget <= 0 {
		return 0, gypsum.NotRun(gypsum.ReasonDeadlinePast, http.StatusBadRequest, 0, "the deadline has passed already")
	}
	return budget, nil
}

// plain serves a call of a plain service.
func (e *Entry) plain(w http.ResponseWriter, r *http.Request) {
	call, refusal := e.plainCall(w, r)
	if refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	var answer *gypsum.PlainResponse
	var backend gypsum.BackendID
	err := e.Node.Run(r.Context(), call, func(event *gypsum.Event) error {
		switch {
		case event.Response != nil:
			answer = event.Response
		case event.End != nil:
			backend = event.End.Backend
		}
		return nil
	})
	if err == nil && answer == nil {
		err = fmt.Errorf("answer without response: %w", gypsum.ErrIncompleteResponse)
	}
	if err != nil {
		e.refuse(w, r, gypsum.AsRefusal(err))
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(client.BackendHeader, string(backend))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// idempotentMethods are those whose requests may be repeated (RFC 9110, 9.2.2).
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPut: true, http.MethodDelete: true, http.MethodOptions: true,
}

// plainCall returns the call of a request for a plain service.
func (e *Entry) plainCall(w http.ResponseWriter, r *http.Request) (*gypsum.Call, *gypsum.Refusal) {
	call, refusal := e.newCall(r, gypsum.ServiceName(r.PathValue("service")), gypsum.KindPlain)
	if refusal != nil {
		return nil, refusal
	}
	key := gypsum.IdempotencyKey(r.Header.Get(client.KeyHeader))
	repeatable := idempotentMethods[r.Method]
	switch {
	case !repeatable && key == "":
		return nil, badRequest(http.StatusBadRequest, "a "+r.Method+" request needs the header "+client.KeyHeader)
	case len(key) > maxKeyLength:
		return nil, badRequest(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d characters", client.KeyHeader, maxKeyLength))
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	path := "/" + r.PathValue("path")
	call.Fingerprint = gypsum.FingerprintOf(call.Service, r.Method+" "+path+"?"+r.URL.RawQuery, body)
	call.Plain = &gypsum.PlainRequest{
		ID: call.ID, Method: r.Method, Path: path, Query: r.URL.RawQuery,
		Header: adapt.WithoutHopByHopHeaders(r.Header), Body: body, NonIdempotent: !repeatable,
	}
	if !repeatable {
		call.IdempotencyKey = key
	}
	return call, nil
}

// pull serves a trainer's pull.
func (e *Entry) pull(w http.ResponseWriter, r *http.Request) {
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	var request client.PullRequest
	if err := json.Unmarshal(body, &request); err != nil {
		e.refuse(w, r, badRequest(http.StatusBadRequest, "the body is no pull: "+err.Error()))
		return
	}
	if request.Session <= 0 || request.Number <= 0 || request.Step < 0 || request.WaitMS < 0 {
		e.refuse(w, r, badRequest(http.StatusBadRequest, "session and number must be above 0, step and wait_ms not below"))
		return
	}
	pull := gypsum.PullRequest{
		Plan: gypsum.PlanName(r.PathValue("plan")), Session: request.Session, Number: request.Number, Step: request.Step,
		Version: request.Version, ReceivedSlots: request.Holds, Prompts: request.Prompts,
		Wait: min(time.Duration(request.WaitMS)*time.Millisecond, maxPullWait),
	}
	answer, err := e.Node.Pull(r.Context(), &pull)
	if err != nil {
		e.refuse(w, r, gypsum.AsRefusal(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
