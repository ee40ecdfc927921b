// Package batch stores durable batches in the platform's store: the records that
// describe them, the state that all daemons build by applying these records, and the
// operations to accept, read and end a batch.
package batch

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Kinds of records in the state topic, which are the first component of their keys.
const (
	kindHeader     = "b"
	kindResult     = "r"
	kindEnd        = "e"
	kindClaim      = "c"
	kindHeartbeat  = "h"
	kindCheckpoint = "p"
	kindFailures   = "f"
	kindDaemon     = "n"
	kindCrash      = "x"
	kindRateLimit  = "l"
	kindSoftware   = "s"
	kindSettled    = "t"
)

// Header is the record of an accepted batch. The times are Unix times in milliseconds.
type Header struct {
	ID            gypsum.BatchID       `cbor:"1,keyasint"`
	Route         string               `cbor:"2,keyasint"`
	HostName      string               `cbor:"3,keyasint"`
	Service       gypsum.ServiceName   `cbor:"4,keyasint"`
	Model         gypsum.EngineModel   `cbor:"5,keyasint"`
	MinVersion    gypsum.WeightVersion `cbor:"6,keyasint"`
	ItemCount     int                  `cbor:"7,keyasint"`
	SingleVersion bool                 `cbor:"8,keyasint,omitempty"`
	MaxAttempts   int                  `cbor:"9,keyasint"`
	SubmittedMS   int64                `cbor:"10,keyasint"`
	DueMS         int64                `cbor:"11,keyasint"`
	ExpiresMS     int64                `cbor:"12,keyasint"`
	Bodies        ValueRef             `cbor:"13,keyasint"`
	// Origin is the daemon that accepted the batch.
	Origin gypsum.HostID `cbor:"14,keyasint"`
	Step   int           `cbor:"15,keyasint"`
	// Scored means that an item of the batch has a scorer.
	Scored bool `cbor:"16,keyasint,omitempty"`
	// Account is the client account that the batch belongs to, empty for none. Daemons of older
	// versions leave it out.
	Account gypsum.AccountName `cbor:"17,keyasint,omitempty"`
}

// ValueRef refers to a value that is stored in one of the batch's own topics as Count
// records from Offset on. Size is its size in bytes.
type ValueRef struct {
	Offset gypsum.Offset `cbor:"1,keyasint"`
	Key    string        `cbor:"2,keyasint"`
	Count  int           `cbor:"3,keyasint"`
	Size   int           `cbor:"4,keyasint"`
}

// Result is the record of an item's result.
type Result struct {
	Batch    gypsum.BatchID         `cbor:"1,keyasint"`
	Item     gypsum.ItemID          `cbor:"2,keyasint"`
	State    gypsum.ItemState       `cbor:"3,keyasint"`
	Versions []gypsum.WeightVersion `cbor:"4,keyasint,omitempty"`
	Text     ValueRef               `cbor:"5,keyasint"`
	Score    string                 `cbor:"6,keyasint,omitempty"`
}

// Checkpoint is the record of the events that an attempt of an item has produced so far.
type Checkpoint struct {
	Batch     gypsum.BatchID         `cbor:"1,keyasint"`
	Item      gypsum.ItemID          `cbor:"2,keyasint"`
	LastEvent int64                  `cbor:"3,keyasint"`
	Versions  []gypsum.WeightVersion `cbor:"4,keyasint,omitempty"`
	Text      ValueRef               `cbor:"5,keyasint"`
	// Complete means that the text is complete and only its score is missing.
	Complete bool `cbor:"6,keyasint,omitempty"`
	// Software is the version of the engines' software that generated the events. Daemons of
	// older versions leave it out.
	Software *gypsum.SoftwareVersion `cbor:"7,keyasint,omitempty"`
}

// End is the record of the end of a batch.
type End struct {
	Batch gypsum.BatchID `cbor:"1,keyasint"`
}

// Failures is the record of the failed attempts of an item.
type Failures struct {
	Batch  gypsum.BatchID `cbor:"1,keyasint"`
	Item   gypsum.ItemID  `cbor:"2,keyasint"`
	Failed int            `cbor:"3,keyasint"`
	// Crashed is the number of engines that crashed while they ran the item.
	Crashed int `cbor:"4,keyasint"`
	// RewardCallsFailed is the number of the item's reward calls that were answered with
	// a server error.
	RewardCallsFailed int `cbor:"5,keyasint,omitempty"`
}

// Claim is the record by which a daemon claims or releases a service.
type Claim struct {
	Service     gypsum.ServiceName `cbor:"1,keyasint"`
	Host        gypsum.HostID      `cbor:"2,keyasint"`
	Incarnation gypsum.Incarnation `cbor:"3,keyasint"`
	// Term is one more than the term of the claim that this one supersedes. The first
	// record of the highest term wins, so that older ones may be removed.
	Term int64 `cbor:"4,keyasint"`
	// Released means that the daemon releases the service.
	Released bool `cbor:"5,keyasint,omitempty"`
	// MakesRewardCalls means that the daemon obtains the scores of items. Daemons of older
	// versions, which do not, leave it out.
	MakesRewardCalls bool `cbor:"6,keyasint,omitempty"`
	// NamesAccounts means that the daemon passes the account of a batch on with its items. Daemons
	// of older versions, which do not, leave it out.
	NamesAccounts bool `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is the record by which a holder shows that it is alive.
type Heartbeat struct {
	Host        gypsum.HostID      `cbor:"1,keyasint"`
	Incarnation gypsum.Incarnation `cbor:"2,keyasint"`
	Sequence    int64              `cbor:"3,keyasint"`
}

// DaemonRecord is the record by which a daemon announces its address.
type DaemonRecord struct {
	Host     gypsum.HostID   `cbor:"1,keyasint"`
	Address  string          `cbor:"2,keyasint"`
	Location gypsum.Location `cbor:"3,keyasint"`
	// CPUShare is the share of a CPU core that the host has.
	CPUShare float64 `cbor:"4,keyasint"`
	// SharesReads means that the daemon serves the records that it reads to others. Daemons of older
	// builds leave it out.
	SharesReads bool `cbor:"8,keyasint,omitempty"`
}

// Crash is the record of a replica that crashed while it ran a request.
type Crash struct {
	Fingerprint gypsum.Fingerprint `cbor:"1,keyasint"`
	Replica     gypsum.BackendID   `cbor:"2,keyasint"`
	AtMS        int64              `cbor:"3,keyasint"`
	// Incarnation is the start of the replica that crashed. Daemons of older builds leave it out.
	Incarnation gypsum.Incarnation `cbor:"4,keyasint,omitempty"`
	// Software is the software version of the replica. Daemons of older builds leave it out.
	Software gypsum.SoftwareVersion `cbor:"5,keyasint,omitempty"`
}

var errMalformedRecord = errors.New("malformed batch record")

// encodeRecord returns a record whose key consists of the kind and the parts.
func encodeRecord(content any, kind string, parts ...string) (gypsum.KeyedRecord, error) {
	value, err := cbor.Marshal(content)
	if err != nil {
		return gypsum.KeyedRecord{}, fmt.Errorf("encode record: %w", err)
	}
	return gypsum.KeyedRecord{Key: kind + "/" + strings.Join(parts, "/"), Value: value}, nil
}

// appendRecord appends a record to the state topic and returns its offset.
func (m *Manager) appendRecord(ctx context.Context, content any, kind string, parts ...string) (gypsum.Offset, error) {
	record, err := encodeRecord(content, kind, parts...)
	if err != nil {
		return 0, fmt.Errorf("store record: %w: %w", gypsum.ErrStoreRefused, err)
	}
	offset, err := m.StateWriter.Append(ctx, record)
	if err != nil {
		return 0, fmt.Errorf("store record %s: %w", record.Key, err)
	}
	return offset, nil
}

// decodeValue decodes the value of a record.
func decodeValue[T any](value []byte) (T, error) {
	var content T
	if err := cbor.Unmarshal(value, &content); err != nil {
		return content, fmt.Errorf("decode record value: %w: %w", errMalformedRecord, err)
	}
	return content, nil
}

// recordKind returns the kind in a record's key.
func recordKind(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// SubmittedAt returns when the batch was submitted.
func (h *Header) SubmittedAt() time.Time { return time.UnixMilli(h.SubmittedMS) }

// DueAt returns when all results are due.
func (h *Header) DueAt() time.Time { return time.UnixMilli(h.DueMS) }

// ExpiresAt returns when items without a result may be failed.
func (h *Header) ExpiresAt() time.Time { return time.UnixMilli(h.ExpiresMS) }
