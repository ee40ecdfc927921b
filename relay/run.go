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
	send := &sendTrace{runs: r.Runs, account: request.Account, startedAt: startedAt, transit: transitByDistance[candidate.Replica.Location.DistanceTo(r.Location)]}
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
	notRun := errors.Is(err, gypsum.ErrNotSent) || errors.Is(err, gypsum.ErrNotRun) || (err != nil && send.incomplete)
	if !notRun {
		send.observe()
	}
	request.runObserved = send.observed
}
