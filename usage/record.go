package usage

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Kinds of records in the topic, which are the first component of their keys.
const (
	kindCounts = "n"
	kindClosed = "w"
)

// Counts is the record of the requests that a process has counted in a window so far. Counts of a
// process never decrease.
type Counts struct {
	Host        gypsum.HostID                `cbor:"1,keyasint"`
	Incarnation gypsum.Incarnation           `cbor:"2,keyasint"`
	Window      gypsum.UsageWindow           `cbor:"3,keyasint"`
	Counts      map[gypsum.AccountName]int64 `cbor:"4,keyasint"`
}

// Closed is the record that closes a window. The first one of a window in the log is its report.
type Closed struct {
	Window gypsum.UsageWindow           `cbor:"1,keyasint"`
	Counts map[gypsum.AccountName]int64 `cbor:"2,keyasint,omitempty"`
	// Host is the daemon that closed the window.
	Host gypsum.HostID `cbor:"3,keyasint"`
}

// ErrMalformed is returned for a record that cannot be decoded.
var ErrMalformed = errors.New("malformed usage record")

// EncodeCounts returns the record of counts. Its key is the same for all counts of the process
// in the window.
func EncodeCounts(counts *Counts) (gypsum.KeyedRecord, error) {
	return encode(counts, kindCounts, counts.Window, string(counts.Host)+"."+strconv.FormatInt(int64(counts.Incarnation), 36))
}

// EncodeClosed returns the record that closes a window. unique is a part of the key that no other
// record has: the topic retains only the latest record of a key, and the first one counts.
func EncodeClosed(closed *Closed, unique string) (gypsum.KeyedRecord, error) {
	return encode(closed, kindClosed, closed.Window, unique)
}

// encode returns a record.
func encode(content any, kind string, window gypsum.UsageWindow, unique string) (gypsum.KeyedRecord, error) {
	value, err := cbor.Marshal(content)
	if err != nil {
		return gypsum.KeyedRecord{}, fmt.Errorf("encode usage record: %w", err)
	}
	return gypsum.KeyedRecord{Key: kind + "/" + strconv.FormatInt(int64(window), 10) + "/" + unique, Value: value}, nil
}

// Decode decodes a record: exactly one of the results is set, none for a removal or a record of a
// later version. The error is ErrMalformed.
func Decode(record *gypsum.KeyedRecord) (*Counts, *Closed, error) {
	kind, _, _ := strings.Cut(record.Key, "/")
	switch {
	case len(record.Value) == 0:
		return nil, nil, nil
	case kind == kindCounts:
		counts := &Counts{}
		if err := cbor.Unmarshal(record.Value, counts); err != nil {
			return nil, nil, fmt.Errorf("decode counts: %w: %w", ErrMalformed, err)
		}
		for account, count := range counts.Counts {
			if count < 0 {
				return nil, nil, fmt.Errorf("count %d of account %s is negative: %w", count, account, ErrMalformed)
			}
		}
		return counts, nil, nil
	case kind == kindClosed:
		closed := &Closed{}
		if err := cbor.Unmarshal(record.Value, closed); err != nil {
			return nil, nil, fmt.Errorf("decode closed window: %w: %w", ErrMalformed, err)
		}
		return nil, closed, nil
	}
	return nil, nil, nil
}
