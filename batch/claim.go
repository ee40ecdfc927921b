package batch

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumhook/gypsum"
)

// RecordClaim appends a record by which this daemon claims a service in a term or, if released
// is set, releases it. Which claim wins depends on the order of the records in the state
// topic. RecordClaim therefore waits until the State has applied the appended record, after
// which State.Holder returns the winner.
func (m *Manager) RecordClaim(ctx context.Context, service gypsum.ServiceName, term int64, released bool) error {
	claim := Claim{Service: service, Host: m.Host, Incarnation: m.Incarnation, Term: term, Released: released, MakesRewardCalls: true, NamesAccounts: true}
	return m.appendAndApply(ctx, claim, kindClaim, string(service), m.uniqueKey())
}

// OwnHeartbeat is a heartbeat that this daemon has stored. SentAt is when its first call was made.
type OwnHeartbeat struct {
	SentAt time.Duration
	Offset gypsum.Offset
}

// RecordHeartbeat stores a heartbeat of this daemon and returns the offset of its record.
func (m *Manager) RecordHeartbeat(ctx context.Context, sequence int64) (gypsum.Offset, error) {
	sentAt := time.Duration(0)
	if m.Clock != nil {
		sentAt = m.Clock()
	}
	offset, err := m.appendRecord(ctx, Heartbeat{Host: m.Host, Incarnation: m.Incarnation, Sequence: sequence}, kindHeartbeat, string(m.Host))
	if err != nil {
		return 0, err
	}
	if m.Clock != nil {
		m.lastHeartbeat.Store(&OwnHeartbeat{SentAt: sentAt, Offset: offset})
	}
	return offset, nil
}

// LastHeartbeat returns the heartbeat that this daemon has stored last, nil if there is none or
// the Manager has no Clock.
func (m *Manager) LastHeartbeat() *OwnHeartbeat { return m.lastHeartbeat.Load() }

// RecordCrash implements gypsum.CrashCounter. It stores that a replica crashed.
func (m *Manager) RecordCrash(ctx context.Context, fingerprint gypsum.Fingerprint, replica *gypsum.Replica) error {
	_, err := m.appendRecord(ctx, Crash{Fingerprint: fingerprint, Replica: replica.ID, AtMS: time.Now().UnixMilli(), Incarnation: replica.Incarnation, Software: replica.Software},
		kindCrash, strconv.FormatUint(uint64(fingerprint), 16), m.uniqueKey())
	return err
}

// ForgetCrashes implements gypsum.CrashCounter. It removes the records from the store.
func (m *Manager) ForgetCrashes(ctx context.Context, fingerprint gypsum.Fingerprint, software gypsum.SoftwareVersion) (int, error) {
	keys := m.State.crashKeys(fingerprint, software)
	if err := removeKeys(ctx, m.StateWriter, keys); err != nil {
		return 0, fmt.Errorf("remove crashes: %w", err)
	}
	return len(keys), nil
}

// CrashCount implements gypsum.CrashCounter.
func (m *Manager) CrashCount(fingerprint gypsum.Fingerprint) int {
	return m.State.CrashCount(fingerprint)
}

// RecordRateLimit implements gypsum.RateLimitStore.
func (m *Manager) RecordRateLimit(ctx context.Context, limit gypsum.RateLimit) error {
	_, err := m.appendRecord(ctx, limit, kindRateLimit, string(limit.Replica))
	return err
}

// RecordedRateLimit implements gypsum.RateLimitStore.
func (m *Manager) RecordedRateLimit(replica gypsum.BackendID) (limit gypsum.RateLimit, receivedAt time.Time, ok bool) {
	return m.State.RateLimit(replica)
}

// RecordDaemon stores the address and location of this daemon and its share of a CPU core,
// for other daemons.
func (m *Manager) RecordDaemon(ctx context.Context, address string, location gypsum.Location, cpuShare float64) error {
	_, err := m.appendRecord(ctx, DaemonRecord{Host: m.Host, Address: address, Location: location, CPUShare: cpuShare, SharesReads: true}, kindDaemon, string(m.Host))
	return err
}

// CountDaemons reads the records of the daemons from the store and returns their number, before the
// whole topic has been read.
func (m *Manager) CountDaemons(ctx context.Context) (int, error) {
	count, prefix := 0, kindDaemon+"/"
	for after := prefix; ; {
		page, err := m.Store.LatestRecords(ctx, m.Topics.State, 0, after)
		if err != nil {
			return 0, fmt.Errorf("read daemon records: %w", err)
		}
		for i := range page.Records {
			if !strings.HasPrefix(page.Records[i].Key, prefix) {
				return count, nil
			}
			count++
			after = page.Records[i].Key
		}
		if len(page.Records) == 0 || !page.More {
			return count, nil
		}
	}
}

// RemoveDaemon removes the record stored by RecordDaemon.
func (m *Manager) RemoveDaemon(ctx context.Context) error {
	if _, err := m.StateWriter.Append(ctx, gypsum.KeyedRecord{Key: kindDaemon + "/" + string(m.Host)}); err != nil {
		return fmt.Errorf("remove daemon record: %w", err)
	}
	return nil
}

// RecordFailures stores how many attempts of an item have failed.
func (m *Manager) RecordFailures(ctx context.Context, failures Failures) error {
	_, err := m.appendRecord(ctx, failures, kindFailures, string(failures.Batch), string(failures.Item))
	return err
}
