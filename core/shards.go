package core

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/dedup"
	"github.com/gypsumhook/gypsum/epoch"
)

// shards are the shards of idempotency keys that this daemon serves.
type shards struct {
	node *Node
	ctx  context.Context

	mu     sync.Mutex
	guards map[int]*dedup.Guard
}

// newShards returns the shards of a daemon that serves none yet.
func newShards(ctx context.Context, n *Node) *shards {
	return &shards{node: n, ctx: ctx, guards: make(map[int]*dedup.Guard)}
}

// shardOf returns the shard of a call's key.
func (n *Node) shardOf(call *gypsum.Call) int {
	return int(gypsum.Hash64("once", string(call.ScopedKey())) % uint64(n.Tuning.Shards))
}

// shardItem is the name under which a shard is given to an owner.
func shardItem(shard int) string { return fmt.Sprintf("once/%02d", shard) }

// follow starts the shards that the view gives this daemon, so that their
// snapshots are kept up even without calls.
func (s *shards) follow(view *View) {
	if view.Config == nil {
		return
	}
	for shard := range s.node.Tuning.Shards {
		if view.holds(shard, s.node.Home) {
			s.get(shard)
		}
	}
}

// get returns the guard of a shard, started on first use.
func (s *shards) get(shard int) *dedup.Guard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if guard, ok := s.guards[shard]; ok {
		return guard
	}
	n := s.node
	machine := dedup.NewMachine(n.Tuning.KeyWindow, n.Tuning.AnswerWindow)
	stream := &epoch.Stream{
		Log: n.health, Name: gypsum.StreamName(shardItem(shard)), StateMachine: machine, Logger: n.Logger,
		MinAppendInterval: n.Tuning.GroupInterval, Timeout: n.Tuning.LogTimeout,
		SnapshotInterval: n.Tuning.SnapshotInterval, SnapshotEvery: n.Tuning.SnapshotEvery,
		IsSnapshotWriter: func() bool { return n.View().holds(shard, n.Home) },
		Repair:           machine.Repair,
	}
	guard := &dedup.Guard{
		Stream: stream, Machine: machine, AppendTimeout: 2 * n.Tuning.LogTimeout, Logger: n.Logger,
		Dispatch: gypsum.RunnerFunc(n.place),
	}
	wait := guard.Start(s.ctx)
	n.tasks.start(wait)
	s.guards[shard] = guard
	return guard
}
