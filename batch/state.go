package batch

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// State is the replicated state of all batches and holders, built by applying the
// records of the state topic in order. All daemons that have applied the same records
// have the same state, except for the local times at which records arrived.
type State struct {
	Logger *slog.Logger

	mu            sync.RWMutex
	appliedOffset gypsum.Offset
	batches       map[gypsum.BatchID]*batchEntry
	holders       map[gypsum.ServiceName]*Holder
	heartbeats    map[gypsum.HostID]heartbeat
	daemons       map[gypsum.HostID]DaemonRecord
	claims        map[gypsum.ServiceName][]claimRecord
	crashes       map[gypsum.Fingerprint][]crashRecord
	rateLimits    map[gypsum.BackendID]rateLimitRecord
	software      map[gypsum.ServiceName]*softwareEntry
	changed       chan struct{}
}

// batchEntry is the state of one batch.
type batchEntry struct {
	header      Header
	results     []Result
	hasResult   map[gypsum.ItemID]bool
	checkpoints map[gypsum.ItemID]Checkpoint
	failures    map[gypsum.ItemID]Failures
	ended       bool
	changed     chan struct{}
	// keys are the keys of the batch's records in the state topic. texts locate its values
	// in the topic of texts.
	keys  []string
	texts []ValueRef
}

// Holder is the daemon that holds the lease on a service and runs its batches.
type Holder struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	// FencingToken is the offset of the claim that made the daemon the holder; Term is
	// the term of that claim.
	FencingToken gypsum.Offset
	Term         int64
	// Released means that the daemon has released the service.
	Released bool
	// MakesRewardCalls means that the daemon obtains the scores of items.
	MakesRewardCalls bool
	// NamesAccounts means that the daemon passes the account of a batch on with its items.
	NamesAccounts bool
	// PreviousHost is the previous holder, empty if there was none.
	PreviousHost gypsum.HostID
	// EarlierHeartbeat is when the latest heartbeat or claim of an earlier holder on another host
	// arrived that did not release the service, zero if there was none. Until that holder learns
	// of the claim, it acts on its own lease, which it renewed before that time.
	EarlierHeartbeat time.Time
	// AppliedAt is when this daemon applied the claim.
	AppliedAt time.Time
}

// claimRecord is the key and the offset of the record of a claim.
type claimRecord struct {
	key    string
	offset gypsum.Offset
}

// crashRecord is the key of the record of a crash, the time of the crash, and the start and the
// software version of the replica that crashed.
type crashRecord struct {
	key      string
	at       time.Time
	start    replicaStart
	software gypsum.SoftwareVersion
}

// replicaStart identifies a start of a replica.
type replicaStart struct {
	replica     gypsum.BackendID
	incarnation gypsum.Incarnation
}

// rateLimitRecord is the limit that was recorded last for a replica, its key and when this
// daemon applied the record.
type rateLimitRecord struct {
	gypsum.RateLimit
	key       string
	appliedAt time.Time
}

// heartbeat is when the latest heartbeat record of a daemon arrived, and the incarnation
// that wrote it.
type heartbeat struct {
	incarnation gypsum.Incarnation
	receivedAt  time.Time
}

// Snapshot is a copy of a batch's state.
type Snapshot struct {
	Header      Header
	HasResult   map[gypsum.ItemID]bool
	Checkpoints map[gypsum.ItemID]Checkpoint
	Failures    map[gypsum.ItemID]Failures
	Ended       bool
}

// NewState returns an empty state.
func NewState(logger *slog.Logger) *State {
	return &State{
		Logger: logger, appliedOffset: -1, batches: make(map[gypsum.BatchID]*batchEntry),
		holders: make(map[gypsum.ServiceName]*Holder), heartbeats: make(map[gypsum.HostID]heartbeat),
		daemons: make(map[gypsum.HostID]DaemonRecord), claims: make(map[gypsum.ServiceName][]claimRecord),
		crashes: make(map[gypsum.Fingerprint][]crashRecord), rateLimits: make(map[gypsum.BackendID]rateLimitRecord),
		software: make(map[gypsum.ServiceName]*softwareEntry), changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives a value after the state has changed.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Apply applies records in the order of their offsets. It ignores records that were
// applied before.
func (s *State) Apply(update store.Update) {
	s.mu.Lock()
	now := time.Now()
	for i := range update.Records {
		record := &update.Records[i]
		if record.Offset <= s.appliedOffset {
			continue
		}
		s.appliedOffset = record.Offset
		if err := s.applyRecord(record, now); err != nil {
			s.Logger.Warn("skipped malformed record of state topic", "key", record.Key, "offset", record.Offset, "error", err)
		}
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// applyRecord applies one record. The caller holds mu.
func (s *State) applyRecord(record *gypsum.KeyedRecord, now time.Time) error {
	if len(record.Value) == 0 {
		s.applyRemoval(record.Key)
		return nil
	}
	switch recordKind(record.Key) {
	case kindDaemon:
		return decodeAndApply(record, func(daemon DaemonRecord) { s.daemons[daemon.Host] = daemon })
	case kindHeader:
		return decodeAndApply(record, func(header Header) { s.applyHeader(header, record.Key) })
	case kindResult:
		return decodeAndApply(record, func(result Result) { s.applyResult(result, record.Key) })
	case kindEnd:
		return decodeAndApply(record, func(end End) { s.applyEnd(end, record.Key) })
	case kindCheckpoint:
		return decodeAndApply(record, func(checkpoint Checkpoint) { s.applyCheckpoint(checkpoint, record.Key) })
	case kindFailures:
		return decodeAndApply(record, func(failures Failures) { s.applyFailures(failures, record.Key) })
	case kindClaim:
		return decodeAndApply(record, func(claim Claim) { s.applyClaim(claim, record, now) })
	case kindCrash:
		return decodeAndApply(record, func(crash Crash) {
			crashed := crashRecord{key: record.Key, at: time.UnixMilli(crash.AtMS), start: replicaStart{crash.Replica, crash.Incarnation}, software: crash.Software}
			s.crashes[crash.Fingerprint] = append(s.crashes[crash.Fingerprint], crashed)
		})
	case kindRateLimit:
		return decodeAndApply(record, func(limit gypsum.RateLimit) {
			s.rateLimits[limit.Replica] = rateLimitRecord{RateLimit: limit, key: record.Key, appliedAt: now}
		})
	case kindSoftware:
		return decodeAndApply(record, func(software Software) { s.applySoftware(software, record.Offset) })
	case kindSettled:
		return decodeAndApply(record, func(settled SettledSoftware) { s.softwareEntry(settled.Service).settledOffset = settled.Record })
	case kindHeartbeat:
		return decodeAndApply(record, func(received Heartbeat) {
			s.heartbeats[received.Host] = heartbeat{incarnation: received.Incarnation, receivedAt: now}
		})
	}
	return nil
}

// decodeAndApply decodes the value of a record and passes it to apply.
func decodeAndApply[T any](record *gypsum.KeyedRecord, apply func(T)) error {
	content, err := decodeValue[T](record.Value)
	if err != nil {
		return err
	}
	apply(content)
	return nil
}

func (s *State) applyEnd(end End, key string) {
	entry, ok := s.batches[end.Batch]
	if !ok {
		return
	}
	entry.keys = append(entry.keys, key)
	if !entry.ended {
		entry.ended = true
		entry.notify()
	}
}

func (s *State) applyCheckpoint(checkpoint Checkpoint, key string) {
	entry, ok := s.batches[checkpoint.Batch]
	if !ok {
		return
	}
	entry.keys, entry.texts = append(entry.keys, key), append(entry.texts, checkpoint.Text)
	// The checkpoint of an attempt may be appended after that of the complete text.
	if !entry.checkpoints[checkpoint.Item].Complete && !entry.hasResult[checkpoint.Item] {
		entry.checkpoints[checkpoint.Item] = checkpoint
	}
}

// applyFailures applies the failure counts of an item, which never decrease.
func (s *State) applyFailures(failures Failures, key string) {
	if entry, ok := s.batches[failures.Batch]; ok {
		entry.keys = append(entry.keys, key)
		known := entry.failures[failures.Item]
		failures.Failed, failures.Crashed = max(known.Failed, failures.Failed), max(known.Crashed, failures.Crashed)
		failures.RewardCallsFailed = max(known.RewardCallsFailed, failures.RewardCallsFailed)
		entry.failures[failures.Item] = failures
	}
}

// applyRemoval applies the removal of a key.
func (s *State) applyRemoval(key string) {
	parts := strings.Split(key, "/")
	if len(parts) < 2 {
		return
	}
	switch parts[0] {
	case kindDaemon:
		delete(s.daemons, gypsum.HostID(parts[1]))
	case kindHeader:
		delete(s.batches, gypsum.BatchID(parts[1]))
	case kindRateLimit:
		delete(s.rateLimits, gypsum.BackendID(strings.TrimPrefix(key, kindRateLimit+"/")))
	case kindClaim:
		service := gypsum.ServiceName(parts[1])
		s.claims[service] = slices.DeleteFunc(s.claims[service], func(claim claimRecord) bool { return claim.key == key })
	case kindCrash:
		if fingerprint, err := strconv.ParseUint(parts[1], 16, 64); err == nil {
			s.removeCrash(gypsum.Fingerprint(fingerprint), key)
		}
	}
}

// removeCrash removes one crash of a request.
func (s *State) removeCrash(fingerprint gypsum.Fingerprint, key string) {
	remaining := slices.DeleteFunc(s.crashes[fingerprint], func(crash crashRecord) bool { return crash.key == key })
	if len(remaining) == 0 {
		delete(s.crashes, fingerprint)
		return
	}
	s.crashes[fingerprint] = remaining
}

// applyHeader adds a batch. The first header with an id wins.
func (s *State) applyHeader(header Header, key string) {
	if entry, ok := s.batches[header.ID]; ok {
		entry.keys = append(entry.keys, key)
		return
	}
	s.batches[header.ID] = &batchEntry{
		header: header, hasResult: make(map[gypsum.ItemID]bool), checkpoints: make(map[gypsum.ItemID]Checkpoint),
		failures: make(map[gypsum.ItemID]Failures), changed: make(chan struct{}), keys: []string{key},
	}
}

// applyResult adds a result. The first result of an item wins; its position is the
// number of results before it.
func (s *State) applyResult(result Result, key string) {
	entry, ok := s.batches[result.Batch]
	if !ok {
		return
	}
	entry.keys = append(entry.keys, key)
	if entry.checkpoints[result.Item].Text != result.Text {
		entry.texts = append(entry.texts, result.Text)
	}
	if entry.hasResult[result.Item] {
		return
	}
	entry.hasResult[result.Item] = true
	delete(entry.checkpoints, result.Item)
	entry.results = append(entry.results, result)
	entry.notify()
}

// applyClaim applies a claim. The first claim of the highest term wins.
func (s *State) applyClaim(claim Claim, record *gypsum.KeyedRecord, now time.Time) {
	s.claims[claim.Service] = append(s.claims[claim.Service], claimRecord{key: record.Key, offset: record.Offset})
	current, ok := s.holders[claim.Service]
	if ok && claim.Term <= current.Term {
		return
	}
	holder := &Holder{
		Host: claim.Host, Incarnation: claim.Incarnation, FencingToken: record.Offset, Term: claim.Term, Released: claim.Released,
		MakesRewardCalls: claim.MakesRewardCalls, NamesAccounts: claim.NamesAccounts, AppliedAt: now,
	}
	if ok {
		holder.PreviousHost, holder.EarlierHeartbeat = current.Host, current.EarlierHeartbeat
		if last := s.lastHeartbeat(current); current.Host != claim.Host && !current.Released && last.After(holder.EarlierHeartbeat) {
			holder.EarlierHeartbeat = last
		}
	}
	s.holders[claim.Service] = holder
	s.Logger.Info("holder changed", "service", claim.Service, "holder", claim.Host, "fence", record.Offset, "released", claim.Released)
}

// notify wakes the readers that wait for a change. The caller holds State.mu.
func (e *batchEntry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Holder returns the holder of a service, and when its latest heartbeat or, without one,
// its claim arrived.
func (s *State) Holder(service gypsum.ServiceName) (holder Holder, lastHeartbeat time.Time, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	current, ok := s.holders[service]
	if !ok {
		return Holder{}, time.Time{}, false
	}
	return *current, s.lastHeartbeat(current), true
}

// lastHeartbeat returns when the latest heartbeat of a holder or, without one, its claim arrived.
// The caller holds mu.
func (s *State) lastHeartbeat(holder *Holder) time.Time {
	last, ok := s.heartbeats[holder.Host]
	if ok && last.incarnation == holder.Incarnation && last.receivedAt.After(holder.AppliedAt) {
		return last.receivedAt
	}
	return holder.AppliedAt
}

// AppliedOffset returns the offset of the newest applied record, -1 if there is none.
func (s *State) AppliedOffset() gypsum.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.appliedOffset
}

// CrashCount returns how many starts of replicas have crashed within crashRetention while they ran a
// request. A crash is recorded by each of the equal requests that the replica ran.
func (s *State) CrashCount(fingerprint gypsum.Fingerprint) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	crashes := s.crashes[fingerprint]
	if len(crashes) == 0 {
		return 0
	}
	crashed := make(map[replicaStart]bool, len(crashes))
	for _, crash := range crashes {
		if time.Since(crash.at) < crashRetention {
			crashed[crash.start] = true
		}
	}
	return len(crashed)
}

// crashKeys returns the keys of the crashes of replicas of a software version that are recorded for a
// request.
func (s *State) crashKeys(fingerprint gypsum.Fingerprint, software gypsum.SoftwareVersion) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var keys []string
	for _, crash := range s.crashes[fingerprint] {
		if crash.software == software {
			keys = append(keys, crash.key)
		}
	}
	return keys
}

// RateLimit returns the limit that was recorded last for a replica and when this daemon
// applied the record.
func (s *State) RateLimit(replica gypsum.BackendID) (limit gypsum.RateLimit, appliedAt time.Time, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.rateLimits[replica]
	return record.RateLimit, record.appliedAt, ok
}

// DaemonCount returns the number of daemons that have announced themselves.
func (s *State) DaemonCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.daemons)
}

// DaemonRecords returns the records of all daemons that have announced themselves.
func (s *State) DaemonRecords() []DaemonRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.daemons))
}

// HasBatch reports whether a batch was accepted.
func (s *State) HasBatch(id gypsum.BatchID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.batches[id]
	return ok
}

// AccountOf returns the account that a batch belongs to, empty for none, and whether the batch was
// accepted.
func (s *State) AccountOf(id gypsum.BatchID) (account gypsum.AccountName, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry, ok := s.batches[id]
	if !ok {
		return "", false
	}
	return entry.header.Account, true
}

// Snapshot returns a copy of a batch's state.
func (s *State) Snapshot(id gypsum.BatchID) (Snapshot, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry, ok := s.batches[id]
	if !ok {
		return Snapshot{}, false
	}
	return entry.snapshot(), true
}

// snapshot returns a copy of the state. The caller holds State.mu.
func (e *batchEntry) snapshot() Snapshot {
	return Snapshot{
		Header: e.header, HasResult: maps.Clone(e.hasResult), Checkpoints: maps.Clone(e.checkpoints),
		Failures: maps.Clone(e.failures), Ended: e.ended,
	}
}

// VisitProgress calls visit with the items of a batch that have a result and whether the
// batch has ended, without copying. It reports whether the batch exists. The map must
// not be used after visit returns.
func (s *State) VisitProgress(id gypsum.BatchID, visit func(hasResult map[gypsum.ItemID]bool, ended bool)) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry, ok := s.batches[id]
	if ok {
		visit(entry.hasResult, entry.ended)
	}
	return ok
}

// OpenBatches returns the headers of the batches that have not ended and have items
// without a result.
func (s *State) OpenBatches() []Header {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var open []Header
	for _, entry := range s.batches {
		if !entry.ended && len(entry.hasResult) < entry.header.ItemCount {
			open = append(open, entry.header)
		}
	}
	return open
}

// Results returns the results of a batch from a position, its header, and a channel that
// is closed at its next change.
func (s *State) Results(id gypsum.BatchID, from int) (results []Result, header Header, changed <-chan struct{}, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry, ok := s.batches[id]
	if !ok {
		return nil, Header{}, nil, false
	}
	if from < len(entry.results) {
		results = append(results, entry.results[from:]...)
	}
	return results, entry.header, entry.changed, true
}
