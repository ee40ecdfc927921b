package core

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/dedup"
	"github.com/gypsumhook/gypsum/epoch"
)

// keyShards holds the shards of idempotency keys that this daemon serves.
type keyShards struct {
	core *Core
	ctx  context.Context
	// memory bounds what all shards remember.
	memory *dedup.Memory

	mu     sync.Mutex
	shards map[int]*dedup.Shard
}

func newKeyShards(ctx context.Context, c *Core) *keyShards {
	return &keyShards{core: c, ctx: ctx, memory: &dedup.Memory{Limit: c.KeyMemory}, shards: make(map[int]*dedup.Shard)}
}

// shardIndexOf returns the index of the shard of a call's key.
func (c *Core) shardIndexOf(call *gypsum.Call) int {
	return int(gypsum.Hash64("once", string(call.ScopedKey())) % uint64(c.Tuning.KeyShards))
}

// shardOwnershipKey returns the rendezvous hashing key that determines the owner of a
// shard. It is also the name of the shard's stream.
func shardOwnershipKey(index int) string { return fmt.Sprintf("once/%02d", index) }

// reconcile starts the shards that this daemon owns in the view, so that their
// snapshots are kept up to date even without calls.
func (s *keyShards) reconcile(view *View) {
	if view.Config == nil {
		return
	}
	for index := range s.core.Tuning.KeyShards {
		if view.ownsShard(index, s.core.HomeRegion) {
			s.shard(index)
		}
	}
}

// shard returns a shard and starts it on first use.
func (s *keyShards) shard(index int) *dedup.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shard, ok := s.shards[index]; ok {
		return shard
	}
	c := s.core
	stateMachine := dedup.NewStateMachine(c.Tuning.KeyWindow, c.Tuning.ResponseWindow)
	stateMachine.Memory = s.memory
	stream := &epoch.Stream{
		Log: c.logBreaker, Name: gypsum.StreamName(shardOwnershipKey(index)), StateMachine: stateMachine, Logger: c.Logger,
		MinAppendInterval: c.Tuning.AppendInterval, Timeout: c.Tuning.LogTimeout,
		SnapshotInterval: c.Tuning.SnapshotInterval, SnapshotEvery: c.Tuning.SnapshotRecords,
		IsSnapshotWriter: func() bool { return c.View().ownsShard(index, c.HomeRegion) },
		OnHistoryLost:    stateMachine.MarkHistoryLost,
	}
	shard := &dedup.Shard{
		Stream: stream, StateMachine: stateMachine, AppendTimeout: 2 * c.Tuning.LogTimeout, Logger: c.Logger,
		Runner: gypsum.CallRunnerFunc(c.runWithRetries),
	}
	wait := shard.Start(s.ctx)
	c.tasks.start(wait)
	s.shards[index] = shard
	return shard
}
