package edge

import (
	"expvar"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// serverOf is a server that the app runs.
type serverOf = transport.Server

// Why a host is not ready.
var (
	errStopping        = errors.New("host is stopping")
	errNoConfiguration = errors.New("no configuration was learned yet")
	errNoState         = errors.New("batches have not been read from the store yet")
)

// metrics are a host's metrics.
type metrics struct {
	Revision     gypsum.Revision  `json:"revision"`
	StoreAwayMS  int64            `json:"store_away_ms"`
	Detours      int64            `json:"store_detours"`
	Replicas     int              `json:"replicas"`
	LogDropped   int64            `json:"log_lines_dropped"`
	Live         map[string]int64 `json:"live_requests"`
	Submit       map[string]int64 `json:"batch_submissions"`
	Read         map[string]int64 `json:"batch_reads"`
	UnknownRoute int64            `json:"unknown_route"`
	BadInput     int64            `json:"bad_input"`
	Requests     int64            `json:"relay_requests"`
	Answers      int64            `json:"relay_answers"`
	Attempts     int64            `json:"relay_attempts"`
	Resumes      int64            `json:"relay_resumes"`
	Refused      int64            `json:"relay_refused"`
	Failed       int64            `json:"relay_failed"`
	Started      int64            `json:"items_started"`
	Resumed      int64            `json:"items_resumed"`
	Moved        int64            `json:"items_moved"`
	Finished     int64            `json:"items_finished"`
	Errored      int64            `json:"items_errored"`
	Broken       int64            `json:"item_runs_broken"`
	Rejected     int64            `json:"item_runs_rejected"`
	Orders       int64            `json:"orders"`
	Claims       int64            `json:"claims"`
	Takeovers    int64            `json:"takeovers"`
	Rounds       int64            `json:"decision_rounds"`
	DecideMS     int64            `json:"decision_ms"`
}

// publishMetrics publishes the host's metrics.
func (h *Host) publishMetrics() {
	publishOnce.Do(func() {
		expvar.Publish("gypsumhook", expvar.Func(func() any { return h.metrics() }))
	})
}

// metrics returns the present metrics.
func (h *Host) metrics() metrics {
	snapshot, relayed, ran := h.state.Current(), &h.relay.Stats, &h.runner.Stats
	current := metrics{
		StoreAwayMS: h.storeAway().Milliseconds(), Detours: h.store.ProxiedCalls(), Replicas: len(snapshot.Replicas), LogDropped: h.Dropped(),
		Live: h.front.Stats.Live.Snapshot(), Submit: h.front.Stats.Submit.Snapshot(), Read: h.front.Stats.Read.Snapshot(),
		UnknownRoute: h.front.Stats.Unknown.Load(), BadInput: h.front.Stats.Bad.Load(),
		Requests: relayed.Requests.Load(), Answers: relayed.Responses.Load(), Attempts: relayed.Attempts.Load(),
		Resumes: relayed.Resumes.Load(), Refused: relayed.Refused.Load(), Failed: relayed.Failed.Load(),
		Started: ran.ItemsStarted.Load(), Resumed: ran.ItemsResumed.Load(), Moved: ran.ItemsMoved.Load(), Finished: ran.ItemsCompleted.Load(),
		Errored: ran.ItemsErrored.Load(), Broken: ran.AttemptsBroken.Load(), Rejected: ran.AttemptsRejected.Load(),
		Orders: ran.Orders.Load(), Claims: ran.Claims.Load(), Takeovers: ran.Takeovers.Load(),
		Rounds: ran.Rounds.Load(), DecideMS: time.Duration(ran.RoundTime.Load()).Milliseconds(),
	}
	if snapshot.Config != nil {
		current.Revision = snapshot.Config.Revision
	}
	return current
}
