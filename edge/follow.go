package edge

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/store"
)

// watch follows outages of the store.
func (h *Host) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			h.state.Tick(h.storeAway() > 0, now)
			h.relay.Prune(h.state.Current())
		}
	}
}

// storeAway returns for how long the store has not answered, zero if it does.
func (h *Host) storeAway() time.Duration {
	var longest time.Duration
	for _, follower := range h.follows {
		if at, down := follower.LastResponse(); down && !at.IsZero() {
			longest = max(longest, time.Since(at))
		}
	}
	return longest
}

// takeOperator takes records of operators and trainers.
func (h *Host) takeOperator(update store.Update) {
	for i := range update.Records {
		record, err := platform.DecodeOperatorRecord(&update.Records[i])
		switch {
		case err != nil:
			h.Logger.Warn("operator's record passed over", "key", update.Records[i].Key, "offset", update.Records[i].Offset, "error", err)
		case record.Config != nil:
			h.state.ApplyConfig(record.Config)
		default:
			h.state.ApplyVersion(record.Version.Model, record.Version.Version)
		}
	}
}

// takeReplicas takes registrations, all of an update as one change: at the first look
// there are as many as replicas.
func (h *Host) takeReplicas(update store.Update) {
	named := make(map[gypsum.BackendID]bool)
	var taken []*gypsum.Replica
	for i := range update.Records {
		record := &update.Records[i]
		id := gypsum.BackendID(record.Key)
		if len(record.Value) > 0 {
			replica, err := h.registrations.Decode(record)
			if err == nil {
				named[replica.ID] = true
				taken = append(taken, replica)
				continue
			}
			h.Logger.Warn("registration passed over", "key", record.Key, "offset", record.Offset, "error", err)
		}
		h.registrations.Forget(record.Key)
		// What came before it in the update is in force until here.
		h.state.ApplyReplicas(taken)
		taken = nil
		delete(named, id)
		h.state.RemoveReplica(id)
	}
	h.state.ApplyReplicas(taken)
	if update.Full {
		h.state.RetainReplicas(named)
	}
}

// follow makes a follower of a topic.
func (h *Host) follow(topic gypsum.Topic, gap time.Duration, handle func(store.Update)) *store.Follower {
	follower := &store.Follower{Store: h.store, Topic: topic, MinReadInterval: gap, Handle: handle, Logger: h.Logger}
	h.follows = append(h.follows, follower)
	return follower
}
