// Package entry implements the HTTP API for callers, trainers and health checks.
package entry

import (
	"bytes"
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
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/intake"
)

// Limits of requests.
const (
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 256
	// maxTimeout caps the timeouts and deadlines that callers set.
	maxTimeout = time.Hour
	// maxPullWait limits how long a pull may wait for samples.
	maxPullWait = time.Minute
	// affinityPrefixLength is how many bytes of a prompt are hashed for cache affinity.
	affinityPrefixLength = 256
)

// problemTypePrefix is the prefix of the type URI of a problem document. The reason follows it.
const problemTypePrefix = "urn:gypsumhook:problem:"

// Server serves the HTTP API of one daemon. Set the exported fields before use.
type Server struct {
	Core *core.Core
	// MaxBody is the maximum size of a request body.
	MaxBody gypsum.Bytes

	reader buffer.Reader

	mu sync.Mutex
	// clientErrors counts the requests refused with a 4xx status, by reason.
	clientErrors map[gypsum.Reason]int64
}

// Handler returns the HTTP handler for callers, trainers and health checks.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("/services/{service}/{path...}", s.servePlain)
	mux.HandleFunc("POST /v1/plans/{plan}/pull", s.servePull)
	s.HandleChecks(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.logAndRefuse(w, r, badRequestRefusal(http.StatusNotFound, "there is nothing at this path"))
	})
	return mux
}

// HandleChecks adds the health check and the load balancer's readiness check to mux. Further ports may serve
// them, so that callers cannot take their room.
func (s *Server) HandleChecks(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReadiness)
}

// ClientErrors returns the number of requests refused with a 4xx status, by reason.
func (s *Server) ClientErrors() map[gypsum.Reason]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[gypsum.Reason]int64, len(s.clientErrors))
	for reason, count := range s.clientErrors {
		counts[reason] = count
	}
	return counts
}

// serveReadiness serves the load balancer's readiness check.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.Core.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// newProblem converts a refusal to a problem document.
func newProblem(refusal *gypsum.Refusal) *client.Problem {
	return &client.Problem{
		Type: problemTypePrefix + string(refusal.Reason), Title: strings.ReplaceAll(string(refusal.Reason), "_", " "),
		Status: refusal.Status, Detail: refusal.Detail, Outcome: refusal.Outcome, Reason: refusal.Reason,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}
}

// badRequestRefusal returns the refusal of a request for which a retry cannot succeed.
func badRequestRefusal(status int, detail string) *gypsum.Refusal {
	return gypsum.NotRunRefusal(gypsum.ReasonBadRequest, status, 0, detail)
}

// logAndRefuse responds with the problem document of a refusal and logs it. Refusals with a
// 4xx status are counted.
func (s *Server) logAndRefuse(w http.ResponseWriter, r *http.Request, refusal *gypsum.Refusal) {
	if refusal.Status >= 400 && refusal.Status < 500 {
		s.mu.Lock()
		if s.clientErrors == nil {
			s.clientErrors = make(map[gypsum.Reason]int64)
		}
		s.clientErrors[refusal.Reason]++
		s.mu.Unlock()
	}
	s.Core.Logger.Info("request refused", "path", r.URL.Path, "reason", refusal.Reason, "outcome", refusal.Outcome,
		"status", refusal.Status, "detail", refusal.Detail)
	w.Header().Set("Content-Type", "application/problem+json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(newProblem(refusal))
}

// readBody reads the body of a request, up to MaxBody.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *gypsum.Refusal) {
	// The port counts the body as it arrives.
	body, err := s.reader.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.MaxBody)), intake.SmallBody, func(gypsum.Bytes) error { return nil })
	var tooLarge *http.MaxBytesError
	if errors.Is(err, intake.ErrNoMemory) {
		return nil, overloadRefusal(time.Second)
	}
	if errors.As(err, &tooLarge) {
		return nil, badRequestRefusal(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", s.MaxBody))
	}
	if err != nil {
		return nil, badRequestRefusal(http.StatusBadRequest, "the body broke off: "+err.Error())
	}
	return body, nil
}

// decodedPartBytes is the memory of a part of a decoded body: a value of an array or of an object.
const decodedPartBytes = 48

// reserveDecoded counts an upper estimate of the memory that the decoded form of a JSON body needs.
func reserveDecoded(r *http.Request, body []byte) *gypsum.Refusal {
	if intake.Reserve(r, gypsum.Bytes(len(body)+decodedPartBytes*bytes.Count(body, []byte(",")))) != nil {
		return overloadRefusal(time.Second)
	}
	return nil
}

// overloadRefusal returns the refusal of a request that there is no room for.
func overloadRefusal(retryAfter time.Duration) *gypsum.Refusal {
	return gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, retryAfter, "too many requests at one time")
}

// RefuseUnread refuses a request with which nothing has been done.
func (s *Server) RefuseUnread(w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	s.logAndRefuse(w, r, overloadRefusal(retryAfter))
}

// newCall returns a live call for a request to a service. The service must exist and be
// of the given kind.
func (s *Server) newCall(r *http.Request, service gypsum.ServiceName, kind gypsum.HostKind) (*gypsum.Call, *gypsum.Refusal) {
	view := s.Core.View()
	if view.Config == nil {
		return nil, gypsum.NotRunRefusal(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "this host has no configuration yet")
	}
	spec, ok := view.Service(service)
	if !ok || spec.Kind != kind {
		return nil, gypsum.NotRunRefusal(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no %s service %q", kind, service))
	}
	budget, refusal := requestBudget(r, spec.DefaultTimeout)
	if refusal != nil {
		return nil, refusal
	}
	return &gypsum.Call{
		ID: gypsum.RequestID(uuid.NewString()), Service: service, Class: gypsum.ClassLive, Stage: gypsum.StagePlace,
		Budget: budget, Tenant: requestTenant(r),
	}, nil
}

// requestTenant returns the tenant whose fair share a request counts against: the value of
// client.CallerHeader or, without that header, the remote IP address.
func requestTenant(r *http.Request) string {
	if caller := r.Header.Get(client.CallerHeader); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// requestBudget returns the time left for a request: until its deadline header if set, or else
// its timeout header, or else defaultTimeout. Values from headers are capped at maxTimeout.
func requestBudget(r *http.Request, defaultTimeout time.Duration) (time.Duration, *gypsum.Refusal) {
	budget := defaultTimeout
	if value := r.Header.Get(client.TimeoutHeader); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, badRequestRefusal(http.StatusBadRequest, fmt.Sprintf("%s is %q, expected milliseconds", client.TimeoutHeader, value))
		}
		budget = time.Duration(min(milliseconds, maxTimeout.Milliseconds())) * time.Millisecond
	}
	if value := r.Header.Get(client.DeadlineHeader); value != "" {
		deadline, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return 0, badRequestRefusal(http.StatusBadRequest, fmt.Sprintf("%s is %q, expected a time as in RFC 3339", client.DeadlineHeader, value))
		}
		budget = min(time.Until(deadline), maxTimeout)
	}
	if budget <= 0 {
		return 0, gypsum.NotRunRefusal(gypsum.ReasonDeadlineExceeded, http.StatusBadRequest, 0, "the deadline has passed already")
	}
	return budget, nil
}

// servePlain serves a request to a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	call, refusal := s.newPlainCall(w, r)
	if refusal != nil {
		s.logAndRefuse(w, r, refusal)
		return
	}
	var response *gypsum.PlainResponse
	var backend gypsum.BackendID
	err := s.Core.Run(r.Context(), call, func(event *gypsum.Event) error {
		switch {
		case event.Response != nil:
			response = event.Response
		case event.End != nil:
			backend = event.End.Backend
		}
		return nil
	})
	if err == nil && response == nil {
		err = fmt.Errorf("call ended without a response event: %w", gypsum.ErrIncompleteResponse)
	}
	if err != nil {
		s.logAndRefuse(w, r, gypsum.AsRefusal(err))
		return
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(client.BackendHeader, string(backend))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// idempotentMethods are the HTTP methods whose requests may be retried (RFC 9110, 9.2.2).
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPut: true, http.MethodDelete: true, http.MethodOptions: true,
}

// newPlainCall returns the call for a request to a plain service. A request whose method
// is not idempotent needs an idempotency key.
func (s *Server) newPlainCall(w http.ResponseWriter, r *http.Request) (*gypsum.Call, *gypsum.Refusal) {
	call, refusal := s.newCall(r, gypsum.ServiceName(r.PathValue("service")), gypsum.HostKindPlain)
	if refusal != nil {
		return nil, refusal
	}
	key := gypsum.IdempotencyKey(r.Header.Get(client.IdempotencyKeyHeader))
	idempotent := idempotentMethods[r.Method]
	switch {
	case !idempotent && key == "":
		return nil, badRequestRefusal(http.StatusBadRequest, "a "+r.Method+" request needs the header "+client.IdempotencyKeyHeader)
	case len(key) > maxKeyLength:
		return nil, badRequestRefusal(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", client.IdempotencyKeyHeader, maxKeyLength))
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	path := "/" + r.PathValue("path")
	call.Fingerprint = gypsum.FingerprintOf(call.Service, r.Method+" "+path+"?"+r.URL.RawQuery, body)
	call.Plain = &gypsum.PlainRequest{
		ID: call.ID, Method: r.Method, Path: path, Query: r.URL.RawQuery,
		Header: adapt.WithoutHopByHopHeaders(r.Header), Body: body, NonIdempotent: !idempotent,
	}
	if !idempotent {
		call.IdempotencyKey = key
	}
	return call, nil
}

// servePull serves a trainer's pull request.
func (s *Server) servePull(w http.ResponseWriter, r *http.Request) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		s.logAndRefuse(w, r, refusal)
		return
	}
	if refusal := reserveDecoded(r, body); refusal != nil {
		s.logAndRefuse(w, r, refusal)
		return
	}
	var request client.PullRequest
	if err := json.Unmarshal(body, &request); err != nil {
		s.logAndRefuse(w, r, badRequestRefusal(http.StatusBadRequest, "the body is no pull: "+err.Error()))
		return
	}
	if request.Session <= 0 || request.Number <= 0 || request.Step < 0 || request.WaitMS < 0 {
		s.logAndRefuse(w, r, badRequestRefusal(http.StatusBadRequest, "session and number must be above 0, step and wait_ms not below"))
		return
	}
	pull := gypsum.PullRequest{
		Plan: gypsum.PlanName(r.PathValue("plan")), Session: request.Session, Number: request.Number, Step: request.Step,
		Version: request.Version, ReceivedSlots: request.ReceivedSlots, Prompts: request.Prompts,
		Wait: min(time.Duration(request.WaitMS)*time.Millisecond, maxPullWait),
	}
	response, err := s.Core.Pull(r.Context(), &pull)
	if err != nil {
		s.logAndRefuse(w, r, gypsum.AsRefusal(err))
		return
	}
	content, err := json.Marshal(response)
	if err == nil {
		err = intake.Reserve(r, gypsum.Bytes(len(content)))
	}
	if err != nil {
		// The samples may count as sent.
		s.logAndRefuse(w, r, gypsum.UnknownRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, time.Second, "no memory for the response"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}
