package front

import (
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/relay"
)

// The time that a request needs on a host that is stopping: several times the target of its route, within bounds. The
// length of a stream is not known, so that it needs the upper bound.
const (
	stopTargets = 4
	minStopTime = time.Second
	maxStopTime = 4 * time.Second
)

// fitsBeforeStop reports whether a host that has to respond to all requests after a time passes a request on, which has
// a timeout of its own.
func fitsBeforeStop(left, timeout time.Duration, route *gypsum.Route) bool {
	needed := min(max(minStopTime, stopTargets*route.LatencyTarget), maxStopTime)
	if route.Kind == gypsum.RouteStreaming {
		needed = maxStopTime
	}
	return left >= min(timeout, needed)
}

// refuseForStop refuses a request whose body has come too late on a host that is stopping. It reports whether it did.
func (s *Server) refuseForStop(w http.ResponseWriter, r *http.Request, route *gypsum.Route, arrived time.Time) bool {
	if s.TimeLeft == nil {
		return false
	}
	now := time.Now()
	left, isStopping := s.TimeLeft(now)
	if !isStopping || fitsBeforeStop(left, arrived.Add(requestTimeout(r, route)).Sub(now), route) {
		return false
	}
	w.Header().Set("Connection", "close")
	s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonShutdown, http.StatusServiceUnavailable, relay.StopRetryAfter, "the host is stopping"))
	return true
}
