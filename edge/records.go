package edge

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/store"
)

// watchStore follows outages of the store.
func (d *Daemon) watchStore(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			d.state.Tick(d.storeDowntime() > 0, now)
			d.relay.Prune(d.state.Current())
		}
	}
}

// storeDowntime returns for how long the store has not answered, zero if it does.
func (d *Daemon) storeDowntime() time.Duration {
	var longest time.Duration
	for _, follower := range d.followers {
		if at, down := follower.LastResponse(); down && !at.IsZero() {
			longest = max(longest, time.Since(at))
		}
	}
	return longest
}

// applyOperatorRecords takes records of operators and trainers.
func (d *Daemon) applyOperatorRecords(update store.Update) {
	for i := range update.Records {
		record, err := platform.DecodeOperatorRecord(&update.Records[i])
		switch {
		case err != nil:
			d.Logger.Warn("operator's record passed over", "key", update.Records[i].Key, "offset", update.Records[i].Offset, "error", err)
		case record.Config != nil:
			d.state.ApplyConfig(record.Config)
		default:
			d.state.ApplyVersion(record.Version.Model, record.Version.Version)
		}
	}
}

// applyReplicas takes registrations, all of an update as one change: at the first look
// there are as many as replicas.
func (d *Daemon) applyReplicas(update store.Update) {
	registered := make(map[gypsum.BackendID]bool)
	var pending []*gypsum.Replica
	for i := range update.Records {
		record := &update.Records[i]
		id := gypsum.BackendID(record.Key)
		if len(record.Value) > 0 {
			replica, err := d.registrations.Decode(record)
			if err == nil {
				registered[replica.ID] = true
				pending = append(pending, replica)
				continue
			}
			d.Logger.Warn("registration passed over", "key", record.Key, "offset", record.Offset, "error", err)
		}
		d.registrations.Forget(record.Key)
		// What came before it in the update is in force until here.
		d.state.ApplyReplicas(pending)
		pending = nil
		delete(registered, id)
		d.state.RemoveReplica(id)
	}
	d.state.ApplyReplicas(pending)
	if update.Full {
		d.state.RetainReplicas(registered)
	}
}

// newFollower makes a follower of a topic.
func (d *Daemon) newFollower(topic gypsum.Topic, minInterval time.Duration, handle func(store.Update)) *store.Follower {
	follower := &store.Follower{Store: d.store, Topic: topic, MinReadInterval: minInterval, Handle: handle, Logger: d.Logger}
	d.followers = append(d.followers, follower)
	return follower
}
