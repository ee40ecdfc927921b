package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Times of reward calls.
const (
	// scoreCheckpointDelay is how long a complete text waits for its score before the
	// checkpoint of the text is stored. Most scores arrive earlier.
	scoreCheckpointDelay = 250 * time.Millisecond
	// minRewardBudget is the least time that a replica gets for a reward call. It matters
	// only once the batch is due.
	minRewardBudget = 3 * time.Second
	// unroutedRetryDelay is the delay before the route of a reward call is looked up again
	// after none was found.
	unroutedRetryDelay = 250 * time.Millisecond
	// maxRateLimitDelay bounds the delay before a reward call that a replica's rate limit
	// did not permit is repeated: another replica may accept it.
	maxRateLimitDelay = time.Second
	// scoringTimeWeight is the weight of the latest score in the average scoring time.
	scoringTimeWeight = 0.1
)

// scoring is the state of a complete text whose score is missing.
type scoring struct {
	completedAt time.Time
	// text refers to the stored text, nil until it is stored.
	text  *batch.ValueRef
	score string
	// checkpointed means that the checkpoint of the complete text is stored or being stored.
	checkpointed bool
	// cancel cancels the call in progress at replica, nil if there is none.
	cancel    context.CancelFunc
	replica   gypsum.BackendID
	notBefore time.Time
	// failures and timeouts count the calls that gave no score.
	failures       int
	timeouts       int
	avoidedReplica gypsum.BackendID
	unrouted       bool
}

// completeText ends the generation of an item: its result is stored or, if it has a scorer,
// its text is stored and the item waits for its score. ref refers to the text if it is stored
// already.
func (s *heldService) completeText(a *activeItem, ref *batch.ValueRef, now time.Time) {
	if a.request.Scorer == nil {
		s.storeResult(a, gypsum.ItemCompleted)
		return
	}
	a.phase, a.scoring = phaseScoring, &scoring{completedAt: now, text: ref, checkpointed: ref != nil}
	s.runner.Logger.Info("text complete; waiting for its score", "batch", a.batch.header.ID, "item", a.request.ID, "group", a.request.Group,
		"request", a.request.Scorer.ID, "stored", ref != nil, "due_in_ms", a.batch.header.DueAt().Sub(now).Milliseconds())
	if ref == nil {
		s.storeCompleteText(a)
	}
}

// storeCompleteText stores the complete text of an item in the background and retries until
// the store accepts it or the service is lost.
func (s *heldService) storeCompleteText(a *activeItem) {
	id, item := a.batch.header.ID, a.request.ID
	text := a.progress.text().text
	go func() {
		var ref batch.ValueRef
		stored := s.retry(s.ctx, a, "store complete text", func() (err error) {
			ref, err = s.runner.Batches.StoreText(s.ctx, id, item, text)
			return err
		})
		if !stored {
			return
		}
		s.runner.postUpdate(s.ctx, func() {
			a.scoring.text = &ref
			s.storeScoredResult(a)
		})
	}()
}

// storeScoredResult stores the result of an item once both its text is stored and its score
// is known.
func (s *heldService) storeScoredResult(a *activeItem) {
	if a.phase == phaseScoring && a.scoring.text != nil && a.scoring.score != "" {
		s.storeResult(a, gypsum.ItemCompleted)
	}
}

// checkpointCompleteText stores the checkpoint of a complete text, so that another holder
// does not generate it again.
func (s *heldService) checkpointCompleteText(a *activeItem) {
	a.scoring.checkpointed = true
	saved := a.progress.text()
	checkpoint := saved.checkpoint(a.batch.header.ID, a.request.ID)
	checkpoint.Text, checkpoint.Complete = *a.scoring.text, true
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		if err := s.runner.Batches.RecordCheckpoint(ctx, checkpoint); err != nil {
			s.runner.Logger.Warn("failed to store checkpoint of complete text", "batch", checkpoint.Batch, "item", checkpoint.Item, "error", err)
			s.runner.postUpdate(s.ctx, func() { a.scoring.checkpointed = false })
		}
	}()
}

// pendingReward is a reward call that may be sent, with its item and route.
type pendingReward struct {
	item  *activeItem
	route *gypsum.Route
}

// sendRewardCalls sends the reward calls that the scheduler selects, and checkpoints the
// complete texts whose scores are missing for longer.
func (s *heldService) sendRewardCalls(snapshot *state.Snapshot, now time.Time) {
	calls := make(map[gypsum.ServiceName][]sched.RewardCall)
	pending := make(map[gypsum.BatchID]map[gypsum.ItemID]pendingReward)
	inFlight := make(map[gypsum.BackendID]int)
	for id, b := range s.batches {
		groups := b.countMissing()
		pending[id] = make(map[gypsum.ItemID]pendingReward)
		for _, a := range b.items {
			if a.phase != phaseScoring {
				continue
			}
			scoring := a.scoring
			if scoring.text != nil && !scoring.checkpointed && scoring.score == "" && now.Sub(scoring.completedAt) > scoreCheckpointDelay {
				s.checkpointCompleteText(a)
			}
			if scoring.cancel != nil {
				inFlight[scoring.replica]++
			}
			if scoring.cancel != nil || scoring.score != "" || now.Before(scoring.notBefore) {
				continue
			}
			route := s.rewardRoute(snapshot, a, now)
			if route == nil {
				continue
			}
			service := route.PickService()
			group := groups[a.request.Group]
			calls[service] = append(calls[service], sched.RewardCall{
				Batch: id, Item: a.request.ID, DueAt: b.header.DueAt(), CompletedAt: scoring.completedAt,
				MissingTexts: group.texts, MissingScores: group.scores, AvoidedReplica: scoring.avoidedReplica,
			})
			pending[id][a.request.ID] = pendingReward{item: a, route: route}
		}
	}
	for service, serviceCalls := range calls {
		candidates := s.runner.Relay.RewardCandidates(service, now)
		byID := make(map[gypsum.BackendID]*relay.Candidate, len(candidates))
		replicas := make([]*sched.RewardReplica, 0, len(candidates))
		for i := range candidates {
			candidate := &candidates[i]
			byID[candidate.Replica.ID] = candidate
			replicas = append(replicas, &sched.RewardReplica{
				ID: candidate.Replica.ID, Slots: candidate.Replica.Slots, ResponseTime: candidate.Latency,
				FailureRate: candidate.FailureRate, Full: candidate.Full,
				// The relay counts a call only once it is being sent.
				InFlight: max(candidate.InFlight, inFlight[candidate.Replica.ID]),
			})
		}
		for _, placement := range sched.ScheduleRewards(serviceCalls, replicas) {
			reward := pending[placement.Call.Batch][placement.Call.Item]
			candidate := *byID[placement.Replica]
			candidate.InFlight = placement.InFlight
			s.sendRewardCall(reward.item, reward.route, service, &candidate, now)
		}
	}
}

// missingInGroup counts the items of a group without a complete text, and those that only
// lack the score.
type missingInGroup struct{ texts, scores int }

// countMissing counts what the groups of the batch lack.
func (b *activeBatch) countMissing() map[gypsum.GroupID]missingInGroup {
	groups := make(map[gypsum.GroupID]missingInGroup)
	for _, a := range b.items {
		group := groups[a.request.Group]
		switch {
		case a.phase == phaseWaiting || a.phase == phaseRunning:
			group.texts++
		case a.phase == phaseScoring && a.scoring.score == "":
			group.scores++
		}
		groups[a.request.Group] = group
	}
	return groups
}

// rewardRoute returns the route of an item's reward call. Without one, the item waits: the
// configuration may name the host later.
func (s *heldService) rewardRoute(snapshot *state.Snapshot, a *activeItem, now time.Time) *gypsum.Route {
	scorer := a.request.Scorer
	path, _, _ := strings.Cut(scorer.Path, "?")
	route := snapshot.Config.MatchRoute(scorer.HostName, path)
	if route == nil {
		a.scoring.notBefore = now.Add(unroutedRetryDelay)
		if !a.scoring.unrouted {
			a.scoring.unrouted = true
			s.runner.Logger.Warn("no route matches reward call; the item waits for one", "batch", a.batch.header.ID, "item", a.request.ID,
				"request", scorer.ID, "host_name", scorer.HostName, "path", path, "revision", snapshot.Config.Revision)
		}
	}
	return route
}

// sendRewardCall sends the reward call of an item to a replica.
func (s *heldService) sendRewardCall(a *activeItem, route *gypsum.Route, service gypsum.ServiceName, candidate *relay.Candidate, now time.Time) {
	scorer := a.request.Scorer
	deadline := a.batch.header.DueAt()
	if earliest := now.Add(minRewardBudget); deadline.Before(earliest) {
		deadline = earliest
	}
	request := &relay.Request{
		LiveRequest: gypsum.LiveRequest{
			ID: scorer.ID, Method: http.MethodPost, Target: scorer.Path, HostName: scorer.HostName, Header: make(http.Header), Body: scorer.Body,
			Account: a.batch.header.Account, AccountsInForce: s.runner.accountsInForce(),
			RunsOnce: true, // its failures are counted
		},
		Route: route, Service: service, Priority: route.Priority, Arrived: a.scoring.completedAt, Deadline: deadline,
	}
	timeout := min(sched.RewardTimeout(candidate.Latency, a.scoring.timeouts), deadline.Sub(now))
	ctx, cancel := context.WithCancel(s.ctx)
	a.scoring.cancel, a.scoring.replica = cancel, candidate.Replica.ID
	s.runner.Stats.RewardCalls.Add(1)
	s.runner.Logger.Info("reward call sent", "batch", a.batch.header.ID, "item", a.request.ID, "request", scorer.ID, "service", service,
		"replica", candidate.Replica.ID, "in_flight", candidate.InFlight, "expected_ms", candidate.Latency.Milliseconds(), "failing", candidate.FailureRate,
		"timeout_ms", timeout.Milliseconds(), "waited_ms", now.Sub(a.scoring.completedAt).Milliseconds(), "failures", a.scoring.failures)
	maxAttempts := max(1, a.batch.header.MaxAttempts, route.MaxAttempts)
	go func() {
		response, err := s.runner.Relay.SendReward(ctx, request, candidate, timeout)
		cancel()
		s.runner.postUpdate(s.ctx, func() { s.handleRewardEnd(a, candidate.Replica.ID, maxAttempts, response, err) })
	}()
}

// handleRewardEnd handles the end of a reward call. Only the users' limit of server errors
// ends the item; after any other failure the call is repeated, since the next replica may
// answer.
func (s *heldService) handleRewardEnd(a *activeItem, replica gypsum.BackendID, maxAttempts int, response *gypsum.LiveResponse, err error) {
	if a.phase != phaseScoring {
		return
	}
	now, scoring, stats := time.Now(), a.scoring, &s.runner.Stats
	scoring.cancel = nil
	if err == nil && response.Status/100 == 2 {
		scoring.score = response.Signature
		wait := now.Sub(scoring.completedAt)
		s.scoringTime += time.Duration(scoringTimeWeight * float64(wait-s.scoringTime))
		stats.RewardResponses.Add(1)
		stats.RewardWait.Add(int64(wait))
		s.storeScoredResult(a)
		return
	}
	scoring.avoidedReplica = replica
	limited := &gypsum.RateLimitError{}
	switch {
	case err == nil && response.Status == http.StatusInternalServerError:
		stats.RewardServerErrors.Add(1)
		a.rewardCallsFailed++
		s.storeFailures(a)
		if a.rewardCallsFailed >= maxAttempts {
			s.failItem(a, reasonRewardCallsFailed)
			return
		}
	case errors.As(err, &limited):
		stats.RewardsRejected.Add(1)
		scoring.avoidedReplica = ""
	case errors.Is(err, gypsum.ErrNotSent) || errors.Is(err, gypsum.ErrNotRun):
		stats.RewardsRejected.Add(1)
	case errors.Is(err, context.DeadlineExceeded):
		stats.RewardTimeouts.Add(1)
		scoring.timeouts++
	default:
		stats.RewardsBroken.Add(1)
	}
	delay := max(sched.RewardRetryDelay(scoring.failures, rand.Float64()), min(limited.RetryAfter, maxRateLimitDelay))
	scoring.notBefore = now.Add(delay)
	scoring.failures++
	status := 0
	if response != nil {
		status = response.Status
	}
	s.runner.Logger.Info("reward call gave no score; it will be repeated", "batch", a.batch.header.ID, "item", a.request.ID,
		"request", a.request.Scorer.ID, "replica", replica, "status", status, "error", err, "failures", scoring.failures, "retry_in_ms", delay.Milliseconds())
}
