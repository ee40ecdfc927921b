// Package front serves the requests of clients: live requests and batches.
package front

import (
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/wire"
)

// Server serves client requests. Set the exported fields before use.
type Server struct {
	Registry *state.Registry
	Relay    *relay.Relay
	Batches  *batch.Manager
	// Access decides about the API keys of requests.
	Access *access.Checker
	// StoreDowntime returns how long the store has not responded, zero if it does.
	StoreDowntime func() time.Duration
	// ConfigAge returns how long the configuration may have been outdated, zero if it is current. It
	// is at least StoreDowntime.
	ConfigAge func() time.Duration
	// Stopping is set when the process begins to shut down. Connections are then closed
	// after their current request, and reads of results no longer wait.
	Stopping atomic.Bool
	// TimeLeft returns how much time requests have before a stopping process ends them, and whether it is
	// stopping. Nil means that it never is.
	TimeLeft func(now time.Time) (left time.Duration, isStopping bool)
	// BodyMemory limits the total size of the request bodies in memory.
	BodyMemory *buffer.Pool
	// Buffers limits the total size of the responses that clients have not read.
	Buffers *buffer.Pool
	Logger  *slog.Logger
	Stats   Stats

	initBodies sync.Once
	bodyMemory *bodyMemory
}

// Stats holds the latencies of requests by their kind, and counts requests that were not served.
type Stats struct {
	LiveRequests     Histogram
	BatchSubmissions Histogram
	ResultReads      Histogram
	UnknownRoute     atomic.Int64
	BadInput         atomic.Int64
	// WritesFailed counts the complete responses that clients did not read.
	WritesFailed atomic.Int64
	Bodies       BodyStats
}

// maxConfigAge is how long the store may have been unavailable for a request without a
// route to get status 404. The configuration may be outdated after that, since changes
// must take effect within seconds.
const maxConfigAge = time.Second

// Handler returns the HTTP handler for client requests.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.handleRequest) }

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	view, credential := s.readCredential(r)
	config := view.Config
	if config == nil {
		s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "no configuration was learned yet"))
		return
	}
	route := config.MatchRoute(gypsum.HostNameOf(r.Host), r.URL.EscapedPath())
	batchRequest, err := platform.DecodeBatchRequest(r)
	if route == nil || s.isBatchCall(r.Header, batchRequest, err) {
		s.serveUnrouted(w, r, view, credential, batchRequest, err)
		return
	}
	grant, refusal := s.Access.Admit(view, route.NoAuth, credential)
	switch {
	case refusal != nil:
		s.refuseAccess(w, r, credential, refusal)
	case route.Kind == gypsum.RouteRollout && r.Method == http.MethodPost:
		s.serveSubmitBatch(w, r, config, route, &grant, arrived)
		s.Stats.BatchSubmissions.RecordDuration(time.Since(arrived))
	default:
		s.serveLive(w, r, config, route, &grant, arrived)
		s.Stats.LiveRequests.RecordDuration(time.Since(arrived))
	}
}

// readCredential returns the credential of a request, and the view of the configuration by which it was read.
// With accounts, the key is removed before anything else is done with the request. Without, the header is not
// changed, once the configuration is known to have had none when the request arrived.
func (s *Server) readCredential(r *http.Request) (*access.View, access.Credential) {
	view, credential := s.Access.View(), access.Credential{}
	if view.Config != nil && view.Config.Accounts == nil && platform.StatesAccount(r.Header) {
		credential = access.Credential{Unread: true, ArrivedAt: s.Access.Clock()}
		view = s.Access.ViewFor(r.Context(), credential.ArrivedAt)
	}
	if view.Config != nil && view.Config.Accounts != nil {
		credential = access.NewCredential(platform.TakeAPIKey(r.Header))
	}
	return view, credential
}

// isBatchCall reports whether a request with a header, which was decoded as one about a batch, or is an invalid one, goes
// before any route: whatever prefixes routes have, batches can be read and ended. A request to a replica has an ID; one
// with an ID is about a batch only if that is known.
func (s *Server) isBatchCall(header http.Header, batchRequest *platform.BatchRequest, err error) bool {
	switch {
	case batchRequest == nil && err == nil:
		return false
	case header.Get(platform.HeaderRequestID) == "":
		return true
	}
	return batchRequest != nil && s.Batches.State.HasBatch(batchRequest.ID)
}

// serveUnrouted serves a request that goes to no route. It may be a request about a
// batch, as decoded or with the error of that.
func (s *Server) serveUnrouted(w http.ResponseWriter, r *http.Request, view *access.View, credential access.Credential, batchRequest *platform.BatchRequest, err error) {
	grant, refusal := s.Access.Admit(view, false, credential)
	switch {
	case refusal != nil && batchRequest != nil && isAnonymous(view.Config, credential):
		s.serveAnonymousBatchRequest(w, r, batchRequest, refusal)
	case refusal != nil:
		s.refuseAccess(w, r, credential, refusal)
	case err != nil:
		s.Stats.BadInput.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
	case batchRequest != nil:
		s.serveBatchRequest(w, r, batchRequest, &grant)
	case s.ConfigAge() > maxConfigAge:
		s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, uncertainRetryAfter,
			"no route is known, and the configuration may have changed"))
	default:
		s.Stats.UnknownRoute.Add(1)
		s.Logger.Info("no route matches request", "request", r.Header.Get(platform.HeaderRequestID), "host_name", gypsum.HostNameOf(r.Host),
			"path", r.URL.EscapedPath(), "revision", view.Config.Revision)
		http.Error(w, "no route", http.StatusNotFound)
	}
}

// isAnonymous reports whether a request without a key may be one about a batch of a route that
// needs none.
func isAnonymous(config *gypsum.RoutingConfig, credential access.Credential) bool {
	return credential.Missing && slices.ContainsFunc(config.Routes, func(route gypsum.Route) bool {
		return route.NoAuth && route.Kind == gypsum.RouteRollout
	})
}

// refuseAccess logs and writes the refusal of a request for its key, which is logged as a prefix of
// its hash.
func (s *Server) refuseAccess(w http.ResponseWriter, r *http.Request, credential access.Credential, refusal *gypsum.Refusal) {
	s.Logger.Info("request refused for its key", "request", r.Header.Get(platform.HeaderRequestID), "method", r.Method, "host_name", gypsum.HostNameOf(r.Host),
		"path", r.URL.EscapedPath(), "key", credential.String(), "status", refusal.Status, "detail", refusal.Detail,
		"retry_after_ms", refusal.RetryAfter.Milliseconds(), "store_away_ms", s.StoreDowntime().Milliseconds())
	writeRefusal(w, refusal)
}

// serveLive serves a live request, whose response may be streamed.
func (s *Server) serveLive(w http.ResponseWriter, r *http.Request, config *gypsum.RoutingConfig, route *gypsum.Route, grant *access.Grant, arrived time.Time) {
	body, held, ok := s.readBody(w, r, config.Limits.MaxBody, bodyWork(r, route, grant, arrived))
	if !ok {
		return
	}
	defer held.release()
	if s.refuseForStop(w, r, route, arrived) {
		return
	}
	header := r.Header.Clone()
	wire.RemoveHopByHopHeaders(header)
	request := &relay.Request{
		LiveRequest: gypsum.LiveRequest{
			ID: gypsum.RequestID(r.Header.Get(platform.HeaderRequestID)), Method: r.Method, Target: r.RequestURI,
			HostName: r.Host, Header: header, Body: body, Account: grant.AccountName(), AccountsInForce: grant.AccountsInForce,
			RunsOnce: !route.Retryable(),
		},
		Route: route, Service: route.PickService(), Arrived: arrived, Deadline: arrived.Add(requestTimeout(r, route)),
		Priority: grant.Priority(route), Recheck: func() *gypsum.Refusal { return s.Access.Recheck(grant) },
	}
	if route.Kind == gypsum.RouteStreaming {
		var err error
		if request.Resume, err = platform.DecodeResume(r.Header); err != nil {
			s.Stats.BadInput.Add(1)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.serveStream(w, r, request)
		return
	}
	response, refusal := s.Relay.Serve(r.Context(), request)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	s.writeResponse(w, response, request)
	s.Logger.Info("request completed", "request", request.ID, "account", request.Account, "service", request.Service, "status", response.Status,
		"took_ms", time.Since(arrived).Milliseconds())
}

// requestTimeout returns how long a request may take: as long as the client waits, but at
// most the timeout of the route.
func requestTimeout(r *http.Request, route *gypsum.Route) time.Duration {
	timeout := route.Timeout
	// The comparison is made in milliseconds: a large deadline does not fit into a duration.
	if millis, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64); err == nil && millis >= 0 && millis < timeout.Milliseconds() {
		timeout = time.Duration(millis) * time.Millisecond
	}
	return timeout
}

// copyHeader copies the header fields of a response. A nil Date or Content-Type prevents
// net/http from adding the field to a response that lacks it.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	if _, ok := src["Date"]; !ok {
		dst["Date"] = nil
	}
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}

// logAndRefuse logs and writes a refusal by the frontend itself. The relay logs its own
// refusals.
func (s *Server) logAndRefuse(w http.ResponseWriter, r *http.Request, refusal *gypsum.Refusal) {
	s.Logger.Warn("request refused or failed", "request", r.Header.Get(platform.HeaderRequestID), "method", r.Method,
		"path", r.URL.EscapedPath(), "reason", refusal.Reason, "outcome", refusal.Outcome, "status", refusal.Status,
		"detail", refusal.Detail, "retry_after_ms", refusal.RetryAfter.Milliseconds(), "store_away_ms", s.StoreDowntime().Milliseconds())
	writeRefusal(w, refusal)
}

// RefuseUnread refuses a request with which nothing has been done.
func (s *Server) RefuseUnread(w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	platform.TakeAPIKey(r.Header)
	s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, retryAfter, "too many requests at one time"))
}

func writeRefusal(w http.ResponseWriter, refusal *gypsum.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	http.Error(w, refusal.Error(), refusal.Status)
}

// serveStream serves a request whose response is a stream of events.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, request *relay.Request) {
	sink := &streamSink{server: s, request: request, writer: w, deadline: newWriteDeadline(w)}
	defer sink.deadline.clear()
	err := s.Relay.ServeStream(r.Context(), request, sink)
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		writeRefusal(w, refusal)
	default:
		s.Logger.Warn("response stream interrupted", "request", request.ID, "service", request.Service, "error", err)
		// Aborts the connection, so that the response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// streamSink writes a streamed response to a client.
type streamSink struct {
	server   *Server
	request  *relay.Request
	writer   http.ResponseWriter
	deadline *writeDeadline
}

// BeginResponse implements relay.Sink. A response with a body is written completely,
// otherwise only its header.
func (s *streamSink) BeginResponse(response *gypsum.LiveResponse) error {
	if response.Body != nil {
		s.server.writeResponse(s.writer, response, s.request)
		return nil
	}
	copyHeader(s.writer.Header(), response.Header)
	s.writer.Header().Del("Content-Length")
	s.writer.WriteHeader(response.Status)
	s.deadline.extend(stallTimeout)
	return s.deadline.controller.Flush()
}

// WriteEvent implements relay.Sink.
func (s *streamSink) WriteEvent(raw []byte) error {
	s.deadline.extend(stallTimeout)
	if _, err := s.writer.Write(raw); err != nil {
		return err
	}
	return s.deadline.controller.Flush()
}

// Abort implements relay.Sink.
func (s *streamSink) Abort() { s.deadline.abort() }
