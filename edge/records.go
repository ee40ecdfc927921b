package edge

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/clock"
	"github.com/gypsumhook/gypsum/feed"
	"github.com/gypsumhook/gypsum/pace"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/store"
)

// watchStore checks for outages of the store until ctx is done. It updates the
// registrations accordingly and drops the relay's state of replicas that are gone.
func (d *Daemon) watchStore(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	limits := limitLog{logger: d.Logger}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			daemons := d.batchState.DaemonCount()
			d.store.Reads.SetDaemons(daemons)
			d.store.Writes.SetDaemons(daemons)
			d.store.Reads.SetUsers(d.feed.ReaderCount(d.followedTopics()))
			limits.update(d.store.Reads.Stats(), d.store.Writes.Stats(), daemons, now)
			d.registry.ExpireRegistrations(d.storeDowntime() > 0, now)
			d.relay.PruneReplicaStates(d.registry.Current())
			d.origins.Update(now)
			d.limiter.Prune(d.registry.Current().Replicas, now)
		}
	}
}

// countDaemons tells the number of daemons to the pace of the store's calls as soon as it is known:
// reading the whole batch state takes several calls, which need not wait in a small deployment.
func (d *Daemon) countDaemons(ctx context.Context) error {
	for !d.batches.Follower.Loaded() {
		count, err := d.batches.CountDaemons(ctx)
		if err == nil {
			d.store.Reads.ExpectDaemons(count)
			d.store.Writes.ExpectDaemons(count)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
	return nil
}

// limitLogInterval is the minimum time between two log lines about refused calls.
const limitLogInterval = 5 * time.Second

// limitLog logs when the store refuses calls for their rate.
type limitLog struct {
	logger   *slog.Logger
	refused  int64
	loggedAt time.Time
}

// update logs the refused calls since the last line, if there are any.
func (l *limitLog) update(reads, writes pace.Stats, daemons int, now time.Time) {
	refused := reads.Limited + writes.Limited
	if refused == l.refused || now.Sub(l.loggedAt) < limitLogInterval {
		return
	}
	l.logger.Warn("store refused calls for their rate", "refused", refused-l.refused, "reads_per_s", reads.Rate, "writes_per_s", writes.Rate, "hosts", daemons)
	l.refused, l.loggedAt = refused, now
}

// storeDowntime returns how long the store has not responded, zero if it does.
func (d *Daemon) storeDowntime() time.Duration {
	var longest time.Duration
	for _, follower := range d.followers {
		if at, unavailable := follower.LastResponse(); unavailable && !at.IsZero() {
			longest = max(longest, time.Since(at))
		}
	}
	return longest
}

// errStoreUnavailable means that the store does not respond.
var errStoreUnavailable = errors.New("the store does not respond")

// catchUp returns once all registrations and records of the batch state have been applied that the
// store contained at some moment after the call.
func (d *Daemon) catchUp(ctx context.Context) error {
	if d.storeDowntime() > 0 {
		return errStoreUnavailable
	}
	errs := make(chan error, len(d.followers))
	count := 0
	for _, follower := range d.followers {
		if follower.Topic == platform.TopicOperator {
			continue
		}
		count++
		go func() { errs <- follower.CatchUp(ctx) }()
	}
	var firstErr error
	for range count {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// configAge returns how long the configuration may be outdated because reads of its topic fail, are
// refused for their rate or are made by other daemons, zero if this daemon reads it successfully.
func (d *Daemon) configAge() time.Duration {
	age := d.storeDowntime()
	for _, follower := range d.followers {
		if follower.Topic != platform.TopicOperator {
			continue
		}
		age = max(age, follower.LimitedFor())
		if at, _ := follower.LastResponse(); !d.store.Reads.Ample() && !at.IsZero() {
			// What another daemon has read may be older than the newest response of that daemon.
			age = max(age, time.Since(at))
		}
	}
	return age
}

// applyOperatorRecords applies the records of operators and trainers: configurations and
// announced versions.
func (d *Daemon) applyOperatorRecords(update store.Update) {
	for i := range update.Records {
		record, err := platform.DecodeOperatorRecord(&update.Records[i])
		switch {
		case err != nil:
			d.Logger.Warn("skipped invalid operator record", "key", update.Records[i].Key, "offset", update.Records[i].Offset, "error", err)
			if errors.Is(err, platform.ErrUnreadableConfig) {
				d.registry.MarkConfigUnreadable()
			}
		case record.Config != nil:
			for _, problem := range record.Problems {
				d.Logger.Error("left out an invalid part of the configuration", "revision", record.Config.Revision, "error", problem)
			}
			d.registry.ApplyConfig(record.Config)
		default:
			d.registry.ApplyVersion(record.Version.Model, record.Version.Version)
		}
	}
}

// accountReadWait is how long a read of the configuration may wait for a newer one if there are
// accounts. The configuration is known to be current for at most two reads with their round trips,
// which must be less than the age by which keys count as unknown.
const accountReadWait = 300 * time.Millisecond

// operatorReadWait returns how long the next read of the operator topic may wait for new records, 0
// for the default.
func (d *Daemon) operatorReadWait() time.Duration {
	if config := d.registry.Current().Config; config != nil && config.Accounts != nil {
		return accountReadWait
	}
	return 0
}

// applyReplicas applies registrations and their removals. Consecutive registrations are
// applied as one change, since each change makes a new snapshot and the first update contains
// the registrations of all replicas.
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
			d.Logger.Warn("skipped invalid registration", "key", record.Key, "offset", record.Offset, "error", err)
		}
		d.registrations.RemoveCached(record.Key)
		// Earlier registrations in the update must be applied before the removal.
		d.registry.ApplyReplicas(pending)
		pending = nil
		delete(registered, id)
		d.registry.RemoveReplica(id)
	}
	d.registry.ApplyReplicas(pending)
	if update.Complete {
		d.registry.RetainReplicas(registered)
	}
}

// storeCallClass returns a function that returns the classes of calls to the store by their topics.
// Callers wait for appends of bodies and of records of the state, which also contain claims and
// heartbeats.
func storeCallClass(topics batch.Topics) func(gypsum.Topic, bool) pace.Class {
	return func(topic gypsum.Topic, write bool) pace.Class {
		switch {
		case write && topic != topics.Texts:
			return pace.ClassClaims
		case topic == platform.TopicOperator:
			return pace.ClassConfig
		case topic == platform.TopicReplicas:
			return pace.ClassRegistrations
		case topic == topics.State:
			return pace.ClassBatches
		}
		return pace.ClassRest
	}
}

// followedTopics returns the topics that every daemon follows.
func (d *Daemon) followedTopics() []gypsum.Topic {
	topics := make([]gypsum.Topic, 0, len(d.followers))
	for _, follower := range d.followers {
		topics = append(topics, follower.Topic)
	}
	return topics
}

// feedDaemons returns the daemons that have stored their addresses, for shared reads.
func (d *Daemon) feedDaemons() []feed.Daemon {
	records := d.batchState.DaemonRecords()
	daemons := make([]feed.Daemon, 0, len(records))
	for _, record := range records {
		daemons = append(daemons, feed.Daemon{
			Host: record.Host, Address: record.Address, Location: record.Location, CPUShare: record.CPUShare, SharesReads: record.SharesReads,
		})
	}
	return daemons
}

// newFollower returns a follower of a topic and adds it to the daemon's followers.
func (d *Daemon) newFollower(topic gypsum.Topic, minInterval time.Duration, handle func(store.Update)) *store.Follower {
	follower := &store.Follower{Store: d.store, Pages: d.feed, Topic: topic, MinReadInterval: minInterval, Handle: handle, Logger: d.Logger, Clock: clock.Steady, Patience: readPatience}
	d.followers = append(d.followers, follower)
	return follower
}
