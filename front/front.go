// Package front serves clients: live requests and batches, and the balancer's check.
package front

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
)

// Front is the handler of clients' requests. Set the exported fields before use.
type Front struct {
	State   *state.Registry
	Relay   *relay.Relay
	Batches *batch.Manager
	// StoreAway tells for how long the store has not answered, zero if it does.
	StoreAway func() time.Duration
	// Stopping is set once the process is to end.
	Stopping atomic.Bool
	// BodyMemory bounds the bodies held at one time.
	BodyMemory gypsum.Bytes
	Logger     *slog.Logger
	Stats      Stats

	bodies atomic.Int64
}

// Stats counts requests by their outcome and measures their times.
type Stats struct {
	Live    Histogram
	Submit  Histogram
	Read    Histogram
	Unknown atomic.Int64
	Bad     atomic.Int64
}

// configurationAge is how old the configuration may be for an answer that there is no
// route: a change is to be in force within seconds.
const configurationAge = time.Second

// Handler returns the handler.
func (f *Front) Handler() http.Handler { return http.HandlerFunc(f.serve) }

// serve serves one request.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	config := f.State.Current().Config
	if config == nil {
		f.refuseOwn(w, r, gypsum.NotRun(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "no configuration was learned yet"))
		return
	}
	route := FindRoute(config.Routes, hostName(r), r.URL.EscapedPath())
	switch {
	case route == nil:
		f.withoutRoute(w, r, config)
	case route.Kind == gypsum.RouteRollout && r.Method == http.MethodPost:
		f.submit(w, r, config, route, arrived)
		f.Stats.Submit.Observe(time.Since(arrived))
	default:
		f.live(w, r, config, route, arrived)
		f.Stats.Live.Observe(time.Since(arrived))
	}
}

// withoutRoute serves a request that no route matches: a call about a batch, or nothing.
func (f *Front) withoutRoute(w http.ResponseWriter, r *http.Request, config *gypsum.RoutingConfig) {
	call, err := platform.DecodeBatchRequest(r)
	switch {
	case err != nil:
		f.Stats.Bad.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
	case call != nil:
		f.serveBatchCall(w, r, call)
	case f.StoreAway() > configurationAge:
		f.refuseOwn(w, r, gypsum.NotRun(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, goneReturn,
			"no route is known, and the configuration may have changed"))
	default:
		f.Stats.Unknown.Add(1)
		f.Logger.Info("no route", "request", r.Header.Get(platform.HeaderRequestID), "host_name", hostName(r),
			"path", r.URL.EscapedPath(), "revision", config.Revision)
		http.Error(w, "no route", http.StatusNotFound)
	}
}

// hostName returns the name by which a request selects its routes.
func hostName(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// FindRoute returns the route of a host name with the longest prefix of a path, nil
// if there is none.
func FindRoute(routes []gypsum.Route, host, path string) *gypsum.Route {
	var best *gypsum.Route
	for i := range routes {
		route := &routes[i]
		if strings.EqualFold(route.HostName, host) && strings.HasPrefix(path, route.PathPrefix) &&
			(best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// pickService returns one of a route's services by their weights, empty if it has none.
func pickService(route *gypsum.Route) gypsum.ServiceName {
	total := 0.0
	for _, split := range route.Services {
		total += max(0, split.Weight)
	}
	point := rand.Float64() * total
	for _, split := range route.Services {
		if point -= max(0, split.Weight); point < 0 {
			return split.Service
		}
	}
	if len(route.Services) == 0 {
		return ""
	}
	return route.Services[0].Service
}

// live serves a request that waits for its answer.
func (f *Front) live(w http.ResponseWriter, r *http.Request, config *gypsum.RoutingConfig, route *gypsum.Route, arrived time.Time) {
	body, release, ok := f.readBody(w, r, config.Limits.MaxBody)
	if !ok {
		return
	}
	defer release()
	header := r.Header.Clone()
	platform.RemoveHopByHopHeaders(header)
	request := &relay.Request{
		LiveRequest: gypsum.LiveRequest{
			ID: gypsum.RequestID(r.Header.Get(platform.HeaderRequestID)), Method: r.Method, Target: r.RequestURI,
			HostName: r.Host, Header: header, Body: body,
		},
		Route: route, Service: pickService(route), Arrived: arrived, Deadline: arrived.Add(timeLeft(r, route)),
	}
	if route.Kind == gypsum.RouteStreaming {
		f.stream(w, r, request)
		return
	}
	answer, refusal := f.Relay.Serve(r.Context(), request)
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	writeAnswer(w, answer)
	f.Logger.Info("request answered", "request", request.ID, "service", request.Service, "status", answer.Status,
		"took_ms", time.Since(arrived).Milliseconds())
}

// timeLeft returns how long a request may take: what its client waits, and not more
// than its route allows.
func timeLeft(r *http.Request, route *gypsum.Route) time.Duration {
	left := route.Timeout
	if millis, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64); err == nil && millis >= 0 {
		left = min(left, time.Duration(millis)*time.Millisecond)
	}
	return left
}

// readBody reads a request's body. The caller calls release once it needs the body
// no more. It answers the client itself if ok is false.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, limit gypsum.Bytes) (body []byte, release func(), ok bool) {
	release = func() {}
	if r.ContentLength > int64(limit) {
		f.Stats.Bad.Add(1)
		http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
		return nil, release, false
	}
	expected := max(0, r.ContentLength)
	if f.bodies.Add(expected) > int64(f.BodyMemory) {
		f.bodies.Add(-expected)
		f.refuseOwn(w, r, gypsum.NotRun(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, time.Second, "too many large bodies at one time"))
		return nil, release, false
	}
	release = func() { f.bodies.Add(-expected) }
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err != nil {
		release()
		f.Stats.Bad.Add(1)
		f.Logger.Info("body not read", "request", r.Header.Get(platform.HeaderRequestID), "bytes", len(body), "error", err)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
		} else {
			f.refuseOwn(w, r, gypsum.NotRun(gypsum.ReasonBadRequest, http.StatusRequestTimeout, 0, "the body did not come whole"))
		}
		return nil, func() {}, false
	}
	return body, release, true
}

// writeAnswer passes a replica's whole answer on.
func writeAnswer(w http.ResponseWriter, answer *gypsum.LiveResponse) {
	copyHeader(w.Header(), answer.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	// A client that has left is no failure of this host.
	_, _ = w.Write(answer.Body)
}

// copyHeader adds the fields of an answer.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// refuseOwn answers with a refusal of the front's own, and logs it.
func (f *Front) refuseOwn(w http.ResponseWriter, r *http.Request, refusal *gypsum.Refusal) {
	f.Logger.Warn("request refused or failed", "request", r.Header.Get(platform.HeaderRequestID), "method", r.Method,
		"path", r.URL.EscapedPath(), "reason", refusal.Reason, "outcome", refusal.Outcome, "status", refusal.Status,
		"detail", refusal.Detail, "retry_after_ms", refusal.RetryAfter.Milliseconds(), "store_away_ms", f.StoreAway().Milliseconds())
	refuse(w, refusal)
}

// refuse answers with a refusal.
func refuse(w http.ResponseWriter, refusal *gypsum.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	http.Error(w, refusal.Error(), refusal.Status)
}

// stream serves a request whose answer is a stream of events.
func (f *Front) stream(w http.ResponseWriter, r *http.Request, request *relay.Request) {
	sink := &streamSink{writer: w, control: http.NewResponseController(w)}
	err := f.Relay.Stream(r.Context(), request, sink)
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		refuse(w, refusal)
	default:
		f.Logger.Warn("stream broken off", "request", request.ID, "service", request.Service, "error", err)
		// Ends the connection, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// streamSink writes a streamed answer to a client.
type streamSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

// Begin is part of relay.Sink.
func (s *streamSink) Begin(answer *gypsum.LiveResponse) error {
	copyHeader(s.writer.Header(), answer.Header)
	if answer.Body != nil {
		writeAnswer(s.writer, answer)
		return nil
	}
	s.writer.Header().Del("Content-Length")
	s.writer.WriteHeader(answer.Status)
	return s.control.Flush()
}

// Event is part of relay.Sink.
func (s *streamSink) Event(raw []byte) error {
	if _, err := s.writer.Write(raw); err != nil {
		return err
	}
	return s.control.Flush()
}
