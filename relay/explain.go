package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Explain returns what would happen to a request if it arrived now. It decides by the same code
// as Serve, on copies; nothing is sent, counted or changed.
func (r *Relay) Explain(request *Request) gypsum.ServiceExplanation {
	explanation := gypsum.ServiceExplanation{Service: request.Service}
	refusal := r.checkRequest(request)
	if refusal == nil {
		refusal = r.admitToShare(request, r.Sends.Peek)
	}
	if refusal != nil {
		explainRefusal(&explanation, refusal)
		return explanation
	}
	now := time.Now()
	list := r.candidateSource(request.Service, now)
	r.mu.Lock()
	candidates := list()
	decision, index, waiting := r.previewWait(request, candidates, now)
	r.mu.Unlock()
	free, _ := r.bestFreeCandidate(request, candidates, now)
	explanation.Waiting = waiting
	for i := range candidates {
		explanation.Candidates = append(explanation.Candidates, r.explainCandidate(request, &candidates[i], now))
	}
	for position, ordered := range decision.Order {
		if ordered == index {
			explanation.Verdict = fmt.Sprintf("waits for a slot, %d of %d in the queue", position+1, len(decision.Order))
			return explanation
		}
	}
	for _, refused := range decision.Refused {
		if refused.Index == index {
			explanation.Verdict = "refused: all replicas are full, and none would have a free slot in time"
			explanation.RetryAfterMS = max(minSlotRetryAfter, min(maxRetryAfter, refused.RetryAfter)).Milliseconds()
			return explanation
		}
	}
	if free == nil {
		chosen, _, refusal := r.chooseReplica(request)
		if refusal != nil {
			explainRefusal(&explanation, refusal)
			return explanation
		}
		free = chosen
	}
	explanation.Verdict, explanation.Replica = "sent", free.Replica.ID
	return explanation
}

// explainRefusal sets the verdict of a refused request.
func explainRefusal(explanation *gypsum.ServiceExplanation, refusal *gypsum.Refusal) {
	explanation.Verdict = fmt.Sprintf("refused with status %d: %s", refusal.Status, refusal.Detail)
	explanation.RetryAfterMS = refusal.RetryAfter.Milliseconds()
}

// previewWait returns what the policy would decide about the waiting requests with this one, and
// the index of this one, or an empty decision if the request would not wait. The caller holds mu.
func (r *Relay) previewWait(request *Request, candidates []Candidate, now time.Time) (decision gypsum.ShedDecision, index, waiting int) {
	queue := r.queues[request.Service]
	if queue != nil {
		waiting = len(queue.waiters)
	}
	free, usable := r.bestFreeCandidate(request, candidates, now)
	limited := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.rateLimited && request.mayUse(&c) })
	if waiting == 0 && (free != nil || !usable || limited) {
		return decision, 0, 0
	}
	state := slotState(candidates, now)
	if queue != nil {
		state.Shares = queue.shares
		for _, other := range queue.waiters {
			state.Waiting = append(state.Waiting, other.work)
		}
	}
	state.Waiting = append(state.Waiting, request.work(expectedSlotTime(candidates)))
	return r.Policy.Decide(state), waiting, waiting
}

// explainCandidate returns what is known of a candidate.
func (r *Relay) explainCandidate(request *Request, candidate *Candidate, now time.Time) gypsum.CandidateExplanation {
	explanation := gypsum.CandidateExplanation{
		Replica: candidate.Replica.ID, DataCentre: candidate.Replica.Location.DataCentre, Via: candidate.via(), InFlight: candidate.InFlight,
		Slots: candidate.Replica.Slots, FreeSlots: candidate.free, FailureRate: candidate.FailureRate,
		ExpectedMS: candidate.expectedCost(r.Location, FailureCost(request.Route.Retryable(), request.Route.LatencyTarget, request.Deadline.Sub(now))).Milliseconds(),
	}
	against := func(applies bool, format string, args ...any) {
		if applies {
			explanation.Against = append(explanation.Against, fmt.Sprintf(format, args...))
		}
	}
	against(candidate.rateLimited, "its request rate is at its limit for %d ms", r.Limiter.DeniedFor(candidate.Replica.ID, now).Milliseconds())
	against(candidate.Full && !candidate.rateLimited, "it has just refused a request as full")
	against(candidate.free == 0 && !candidate.Full, "requests of this daemon occupy all its slots")
	against(candidate.Latency == 0, "no response time was measured")
	against(candidate.FailureRate >= 0.01, "requests fail there")
	against(!candidate.acceptsBody(len(request.Body)), "the bodies in flight to it are at their bound")
	against(candidate.Via != nil, "only other hosts reach it")
	explanation.Against = slices.Clip(explanation.Against)
	return explanation
}
