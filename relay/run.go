package relay

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// transitByDistance are the one-way times to replicas by distance, from the platform's
// specifications: 0.5 to 1.4 ms between the data centres of a region, 30 ms between regions.
var transitByDistance = map[gypsum.Distance]time.Duration{
	gypsum.SameDataCentre: 100 * time.Microsecond, gypsum.SameRegion: 800 * time.Microsecond, gypsum.OtherRegion: 30 * time.Millisecond,
}

const (
	// minTransitSamples is the number of responses of a service in a data centre, and in the nearest
	// one, from which the way is known better than by the distance.
	minTransitSamples = 12
	// minTransitError is the difference up to which the way by distance is preferred: the shortest
	// work of some requests differs by milliseconds.
	minTransitError = 10 * time.Millisecond
)

// TransitEstimator estimates the one-way times to data centres. The shortest response time of a
// service in a data centre is twice the way and the shortest work. The shortest one of all data
// centres is hardly more than that work, so that half of the difference is the way.
type TransitEstimator struct {
	mu       sync.Mutex
	services map[gypsum.ServiceName]map[gypsum.DataCentre]*shortestResponse
}

// shortestResponse is the shortest response time from a data centre, of a number of responses.
type shortestResponse struct {
	elapsed time.Duration
	samples int
}

// Record takes note of the time from the send of a request to its response.
func (e *TransitEstimator) Record(replica *gypsum.Replica, elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.services == nil {
		e.services = make(map[gypsum.ServiceName]map[gypsum.DataCentre]*shortestResponse)
	}
	centres := e.services[replica.Service]
	if centres == nil {
		centres = make(map[gypsum.DataCentre]*shortestResponse)
		e.services[replica.Service] = centres
	}
	shortest := centres[replica.Location.DataCentre]
	if shortest == nil {
		shortest = &shortestResponse{elapsed: elapsed}
		centres[replica.Location.DataCentre] = shortest
	}
	shortest.samples++
	shortest.elapsed = min(shortest.elapsed, elapsed)
}

// Transit returns the one-way time from a location to a replica: that of their distance, unless
// responses show that it is wrong.
func (e *TransitEstimator) Transit(from gypsum.Location, replica *gypsum.Replica) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	centres := e.services[replica.Service]
	known, nearest := centres[replica.Location.DataCentre], (*shortestResponse)(nil)
	for _, shortest := range centres {
		if shortest.samples >= minTransitSamples && (nearest == nil || shortest.elapsed < nearest.elapsed) {
			nearest = shortest
		}
	}
	byDistance := transitByDistance[replica.Location.DistanceTo(from)]
	if known != nil && known.elapsed < byDistance {
		// Less than the assumed way there alone: the data centres are not far from each other.
		return transitByDistance[gypsum.SameRegion]
	}
	if known == nil || known.samples < minTransitSamples || nearest == known {
		return byDistance
	}
	measured := (known.elapsed - nearest.elapsed) / 2
	if (measured - byDistance).Abs() < minTransitError {
		return byDistance
	}
	return measured
}

// EstimateStart returns when a replica began to run a request that was sent to it at one moment
// and answered at another: one way after the send, but not after the middle between the two.
func EstimateStart(sentAt, answeredAt time.Time, transit time.Duration) time.Time {
	return sentAt.Add(max(0, min(transit, answeredAt.Sub(sentAt)/2)))
}

// presumedRunTime is the time after its send from which a request without a response counts as run.
// Replicas reject requests at once, and counts must be known soon.
const presumedRunTime = 1500 * time.Millisecond

// sendTrace records when a request was sent on a connection, which may be well after the attempt
// began: a new connection between regions takes a round trip.
type sendTrace struct {
	runs      gypsum.RunObserver
	account   gypsum.AccountName
	transit   time.Duration
	startedAt time.Time
	replica   *gypsum.Replica
	// isDetour means that another host is on the way.
	isDetour bool

	mu sync.Mutex
	// sentAfter is the time from the start to the send, 0 if it is not known.
	sentAfter time.Duration
	// incomplete means that the request was not sent completely, ended that the attempt has ended,
	// which may be before the transport reports the send.
	incomplete bool
	ended      bool
	observed   bool
	// presume expires presumedRunTime after the send.
	presume *time.Timer
}

// traceSend returns a context with which the send of the request is recorded, if its run is to be
// observed. Otherwise the trace is nil.
func (r *Relay) traceSend(ctx context.Context, request *Request, candidate *Candidate, startedAt time.Time) (context.Context, *sendTrace) {
	if r.Runs == nil || request.isReward || request.runObserved || request.Account == "" {
		return ctx, nil
	}
	send := &sendTrace{runs: r.Runs, account: request.Account, startedAt: startedAt, replica: candidate.Replica, isDetour: candidate.Via != nil, transit: r.transits.Transit(r.Location, candidate.Replica)}
	if candidate.Via != nil {
		send.transit = transitByDistance[candidate.Via.Location.DistanceTo(r.Location)] + transitByDistance[candidate.Replica.Location.DistanceTo(candidate.Via.Location)]
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: send.recordSend}), send
}

// recordSend takes note that the request was sent.
func (s *sendTrace) recordSend(info httptrace.WroteRequestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
	case info.Err != nil:
		s.incomplete = true
	case s.presume == nil:
		s.sentAfter = time.Since(s.startedAt)
		s.presume = time.AfterFunc(presumedRunTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.ended {
				s.observe()
			}
		})
	}
}

// observe tells the observer of the request, once. The caller holds mu.
func (s *sendTrace) observe() {
	if !s.observed {
		s.observed = true
		s.runs.ObserveRun(s.account, EstimateStart(s.startedAt.Add(s.sentAfter), time.Now(), s.transit))
	}
}

// observeRun tells Runs of a request if a replica began to run it in an attempt that has ended, or
// most probably did: only a confirmation by the replica or a request that was not sent excludes
// that.
func (r *Relay) observeRun(request *Request, send *sendTrace, err error) {
	if send == nil {
		return
	}
	send.mu.Lock()
	defer send.mu.Unlock()
	send.ended = true
	if send.presume != nil {
		send.presume.Stop()
	}
	if err == nil && send.presume != nil && !send.isDetour && request.Route.Kind != gypsum.RouteStreaming {
		r.transits.Record(send.replica, time.Since(send.startedAt)-send.sentAfter)
	}
	notRun := errors.Is(err, gypsum.ErrNotSent) || errors.Is(err, gypsum.ErrNotRun) || (err != nil && send.incomplete)
	if !notRun {
		send.observe()
	}
	request.runObserved = send.observed
}
