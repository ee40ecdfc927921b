package fleet

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
)

// connection is a caller's connection to a daemon: a frozen daemon gives no
// answer before the caller's own timeout, a dying one ends the connection.
type connection struct {
	fleet *Fleet
	via   gypsum.HostID
}

// Dial returns a caller's way to a daemon.
func (f *Fleet) Dial(via gypsum.HostID) gypsum.Runner { return &connection{fleet: f, via: via} }

// lost is what a caller sees when its entry host dies or freezes.
func lost() *gypsum.Refusal {
	return gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, "connection to the entry host lost")
}

// Run is part of gypsum.Runner.
func (c *connection) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	running := c.fleet.Node(c.via)
	if running == nil {
		return gypsum.NotRun(gypsum.ReasonPeerFailed, 0, 0, "entry host does not run")
	}
	timeout, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	if err := c.fleet.Network.Gate(timeout, c.via); err != nil {
		return lost()
	}
	open, closeIt := context.WithCancel(ctx)
	defer closeIt()
	died := c.fleet.Died(c.via)
	go func() {
		select {
		case <-died:
			closeIt()
		case <-open.Done():
		}
	}()
	err := running.Run(open, call, sink)
	gateErr := c.fleet.Network.Gate(timeout, c.via)
	if (gateErr != nil && ctx.Err() == nil) || open.Err() != nil {
		return lost()
	}
	return err
}

// Pull sends a trainer's pull through a daemon.
func (f *Fleet) Pull(ctx context.Context, via gypsum.HostID, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	running := f.Node(via)
	if running == nil {
		return nil, gypsum.ErrNotSent
	}
	if err := f.Network.Gate(ctx, via); err != nil {
		return nil, err
	}
	answer, err := running.Pull(ctx, pull)
	if gateErr := f.Network.Gate(ctx, via); gateErr != nil {
		return nil, gateErr
	}
	return answer, err
}

// NewTrainer returns a trainer that pulls through the ready daemons in turn.
func (f *Fleet) NewTrainer(record *check.Record, trainTime time.Duration) *check.Trainer {
	turn := 0
	return &check.Trainer{
		Record: record, Plan: check.PlanName, TrainTime: trainTime, MaxStaleness: 1,
		Publish: func(_ context.Context, version gypsum.WeightVersion) { f.Store.Publish(check.Model, version) },
		Pull: func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
			ready := f.Ready()
			if len(ready) == 0 {
				return nil, gypsum.ErrNotSent
			}
			turn++
			return f.Pull(ctx, ready[turn%len(ready)], pull)
		},
	}
}

// NewCaller returns a caller of the fleet.
func (f *Fleet) NewCaller(record *check.Record, timeout time.Duration) *check.Caller {
	return &check.Caller{Dial: f.Dial, Record: record, Timeout: timeout}
}
