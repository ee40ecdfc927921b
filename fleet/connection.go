package fleet

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
)

// connection is a caller's connection to a daemon. While the daemon is frozen, a call hangs
// until the caller's own timeout, which then also ends a call that the daemon received late.
// Killing the daemon closes the connection.
type connection struct {
	fleet     *Fleet
	entryHost gypsum.HostID
}

// Dial returns a caller's client of a daemon.
func (f *Fleet) Dial(entryHost gypsum.HostID) gypsum.CallRunner {
	return &connection{fleet: f, entryHost: entryHost}
}

// connectionLostRefusal returns the error that a caller gets when the daemon is killed or stays
// frozen until the caller's timeout.
func connectionLostRefusal() *gypsum.Refusal {
	return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, 0, 0, "connection to the entry host lost")
}

// Run implements gypsum.CallRunner.
func (c *connection) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	entryCore := c.fleet.Core(c.entryHost)
	if entryCore == nil {
		return gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, 0, 0, "entry host does not run")
	}
	sentAt := time.Now()
	timeoutCtx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	if err := c.fleet.Network.AwaitRunning(timeoutCtx, c.entryHost); err != nil {
		return connectionLostRefusal()
	}
	// A daemon that was frozen starts the call with the whole budget, so the caller has to
	// end it. In all other cases the daemon has to keep the deadline by itself.
	callCtx := ctx
	if time.Since(sentAt) > 0 {
		callCtx = timeoutCtx
	}
	connCtx, closeConn := context.WithCancel(callCtx)
	defer closeConn()
	done := c.fleet.DaemonDone(c.entryHost)
	go func() {
		select {
		case <-done:
			closeConn()
		case <-connCtx.Done():
		}
	}()
	err := entryCore.Run(connCtx, call, sink)
	awaitErr := c.fleet.Network.AwaitRunning(timeoutCtx, c.entryHost)
	if (awaitErr != nil && ctx.Err() == nil) || connCtx.Err() != nil {
		return connectionLostRefusal()
	}
	return err
}

// Pull sends a trainer's pull to a daemon. It returns ErrNotSent if the daemon does not run.
func (f *Fleet) Pull(ctx context.Context, entryHost gypsum.HostID, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	entryCore := f.Core(entryHost)
	if entryCore == nil {
		return nil, gypsum.ErrNotSent
	}
	if err := f.Network.AwaitRunning(ctx, entryHost); err != nil {
		return nil, err
	}
	resp, err := entryCore.Pull(ctx, pull)
	if awaitErr := f.Network.AwaitRunning(ctx, entryHost); awaitErr != nil {
		return nil, awaitErr
	}
	return resp, err
}

// NewTrainer returns a trainer that sends its pulls to the ready daemons in turn.
func (f *Fleet) NewTrainer(recorder *check.Recorder, trainTime time.Duration) *check.Trainer {
	turn := 0
	return &check.Trainer{
		Recorder: recorder, Plan: check.PlanName, TrainTime: trainTime, MaxStaleness: 1,
		Publish: func(_ context.Context, version gypsum.WeightVersion) { f.WeightStore.Publish(check.ModelName, version) },
		Pull: func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
			ready := f.ReadyDaemons()
			if len(ready) == 0 {
				return nil, gypsum.ErrNotSent
			}
			turn++
			return f.Pull(ctx, ready[turn%len(ready)], pull)
		},
	}
}

// NewCaller returns a caller that sends its calls to daemons of the fleet.
func (f *Fleet) NewCaller(recorder *check.Recorder, timeout time.Duration) *check.Caller {
	return &check.Caller{Dial: f.Dial, Recorder: recorder, Timeout: timeout}
}
