package relay

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
)

// defaultRewardLatency is the assumed time of a reward call at a replica in the same data
// centre without measurements.
const defaultRewardLatency = 200 * time.Millisecond

// RewardCandidates returns the ready replicas of a service. Their latencies are those of
// reward calls, or the assumed ones of replicas without measurements.
func (r *Relay) RewardCandidates(service gypsum.ServiceName, now time.Time) []Candidate {
	candidates := r.candidates(service, true, now)
	for i := range candidates {
		if candidates[i].Latency == 0 {
			candidates[i].Latency = defaultRewardLatency + roundTripByDistance[candidates[i].Replica.Location.DistanceTo(r.Location)]
		}
	}
	return candidates
}

// SendReward sends a reward call to one replica and returns the complete response. The
// replica gets the time until the request's deadline and has to respond within timeout. The
// caller chooses the replica and decides on further attempts. The error is a
// *gypsum.Refusal if the call was not sent because no time is left, and a
// *gypsum.RateLimitError if the replica's request rate is at its limit.
func (r *Relay) SendReward(ctx context.Context, request *Request, candidate *Candidate, timeout time.Duration) (*gypsum.LiveResponse, error) {
	request.isReward = true
	if refusal := r.prepareRequest(request); refusal != nil {
		return nil, refusal
	}
	if err := r.Limiter.Acquire(ctx, candidate.Replica, 0); err != nil {
		return nil, err
	}
	r.Stats.Attempts.Add(1)
	return r.runAttempt(ctx, request, candidate, timeout)
}
