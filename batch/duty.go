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
func (d *Desk) Claim(ctx context.Context, service gypsum.ServiceName, term int64, released bool) error {
	record, err := encode(Claim{Service: service, Host: d.Host, Boot: d.Boot, Term: term, Released: released},
		kindClaim, string(service), d.unique())
	if err != nil {
		return err
	}
	offset, err := d.State.Append(ctx, record)
	if err != nil {
		return fmt.Errorf("store claim: %w", err)
	}
	return d.Follow.Reach(ctx, offset+1)
}

// Beat stores a sign of life.
func (d *Desk) Beat(ctx context.Context, number int64) error {
	record, err := encode(Heartbeat{Host: d.Host, Boot: d.Boot, Beat: number}, kindHeartbeat, string(d.Host))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store heartbeat: %w", err)
	}
	return nil
}

// NoteCrash is part of gypsum.CrashBook: it stores that a replica died.
func (d *Desk) NoteCrash(ctx context.Context, fingerprint gypsum.Fingerprint, replica gypsum.BackendID) error {
	record, err := encode(Crash{Fingerprint: fingerprint, Replica: replica, At: time.Now().UnixMilli()},
		kindCrash, strconv.FormatUint(uint64(fingerprint), 16), d.unique())
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store crash: %w", err)
	}
	return nil
}

// Crashes is part of gypsum.CrashBook.
func (d *Desk) Crashes(fingerprint gypsum.Fingerprint) int { return d.Book.Crashes(fingerprint) }

// Announce tells other daemons where this one is and what part of a core it has.
func (d *Desk) Announce(ctx context.Context, address string, location gypsum.Location, share float64) error {
	record, err := encode(HostRecord{Host: d.Host, Address: address, Location: location, Share: share}, kindHost, string(d.Host))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store address: %w", err)
	}
	return nil
}

// Withdraw removes what Announce has stored.
func (d *Desk) Withdraw(ctx context.Context) error {
	if _, err := d.State.Append(ctx, gypsum.KeyedRecord{Key: kindHost + "/" + string(d.Host)}); err != nil {
		return fmt.Errorf("remove address: %w", err)
	}
	return nil
}

// NoteFailures stores how often an item's runs have failed.
func (d *Desk) NoteFailures(ctx context.Context, failures Failures) error {
	record, err := encode(failures, kindFailures, string(failures.Batch), string(failures.Item))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store failures: %w", err)
	}
	return nil
}
