package batch

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Claim asks for a service on behalf of this host in a term, or gives it up. The
// record's place among others decides; Book tells who won.
func (m *Manager) Claim(ctx context.Context, service gypsum.ServiceName, term int64, released bool) error {
	offset, err := m.appendRecord(ctx, Claim{Service: service, Host: m.Host, Incarnation: m.Incarnation, Term: term, Released: released},
		kindClaim, string(service), m.uniqueKey())
	if err != nil {
		return err
	}
	return m.Follower.WaitForOffset(ctx, offset+1)
}

// RecordHeartbeat stores a heartbeat.
func (m *Manager) RecordHeartbeat(ctx context.Context, sequence int64) error {
	_, err := m.appendRecord(ctx, Heartbeat{Host: m.Host, Incarnation: m.Incarnation, Sequence: sequence}, kindHeartbeat, string(m.Host))
	return err
}

// RecordCrash is part of gypsum.CrashCounter: it stores that a replica died.
func (m *Manager) RecordCrash(ctx context.Context, fingerprint gypsum.Fingerprint, replica gypsum.BackendID) error {
	_, err := m.appendRecord(ctx, Crash{Fingerprint: fingerprint, Replica: replica, AtMS: time.Now().UnixMilli()},
		kindCrash, strconv.FormatUint(uint64(fingerprint), 16), m.uniqueKey())
	return err
}

// CrashCount is part of gypsum.CrashCounter.
func (m *Manager) CrashCount(fingerprint gypsum.Fingerprint) int {
	return m.State.CrashCount(fingerprint)
}

// Announce tells other daemons where this one is and what part of a core it has.
func (m *Manager) Announce(ctx context.Context, address string, location gypsum.Location, cpuShare float64) error {
	_, err := m.appendRecord(ctx, DaemonRecord{Host: m.Host, Address: address, Location: location, CPUShare: cpuShare}, kindDaemon, string(m.Host))
	return err
}

// Withdraw removes what Announce has stored.
func (m *Manager) Withdraw(ctx context.Context) error {
	if _, err := m.StateWriter.Append(ctx, gypsum.KeyedRecord{Key: kindDaemon + "/" + string(m.Host)}); err != nil {
		return fmt.Errorf("remove address: %w", err)
	}
	return nil
}

// RecordFailures stores how often an item's runs have failed.
func (m *Manager) RecordFailures(ctx context.Context, failures Failures) error {
	_, err := m.appendRecord(ctx, failures, kindFailures, string(failures.Batch), string(failures.Item))
	return err
}
