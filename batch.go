package gypsum

import (
	"context"
	"slices"
	"time"
)

// BatchID identifies a batch. The client chooses it.
type BatchID string

// ItemID identifies an item within its batch.
type ItemID string

// GroupID identifies a group of items that share a prompt.
type GroupID string

// Scorer is the request that obtains the score of an item, once the item's text is
// complete: its reward call. The score is the signature of the response.
type Scorer struct {
	ID       RequestID `cbor:"1,keyasint"`
	HostName string    `cbor:"2,keyasint"`
	Path     string    `cbor:"3,keyasint"`
	Body     []byte    `cbor:"4,keyasint,omitempty"`
}

// BatchItem is one request of a batch.
type BatchItem struct {
	ID     ItemID            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens is the token count that the client states for the item.
	Tokens int     `cbor:"5,keyasint"`
	Group  GroupID `cbor:"6,keyasint"`
	// ExpectedTokens is the client's estimate of the response length, 0 for none.
	ExpectedTokens int `cbor:"7,keyasint"`
	// Scorer is nil for an item without a score.
	Scorer *Scorer `cbor:"8,keyasint,omitempty"`
}

// Batch is a set of requests that are submitted together and run later.
type Batch struct {
	ID BatchID
	// Account is the client account that the batch belongs to, empty for none. AccountsInForce means
	// that the configuration had accounts when the batch was submitted.
	Account         AccountName
	AccountsInForce bool
	Route           string
	HostName        string
	Service         ServiceName
	Model           EngineModel
	Step            int
	MinVersion      WeightVersion
	GroupCount      int
	Items           []BatchItem
	// SingleVersion requires that one weight version generates the whole text of an item.
	SingleVersion bool
	MaxAttempts   int
	SubmittedAt   time.Time
	// DueAt is the time by which all results are due. From ExpiresAt on, items without a
	// result may be failed.
	DueAt     time.Time
	ExpiresAt time.Time
}

// IsScored reports whether an item of the batch has a scorer.
func (b *Batch) IsScored() bool {
	return slices.ContainsFunc(b.Items, func(item BatchItem) bool { return item.Scorer != nil })
}

// ItemState is the state of an item that has a result.
type ItemState string

// The item states.
const (
	ItemCompleted ItemState = "completed"
	ItemErrored   ItemState = "errored"
)

// BatchResult is the final result of an item.
type BatchResult struct {
	Item     ItemID
	State    ItemState
	Text     string
	Versions []WeightVersion
	// Score is empty for an item without a scorer and for a failed one.
	Score string
}

// StreamEvent is one event of a token stream.
type StreamEvent struct {
	Number  int64
	Data    string
	Version WeightVersion
}

// ItemAttempt is one attempt to run an item on an engine.
type ItemAttempt struct {
	Replica  *Replica
	HostName string
	Item     *BatchItem
	// AfterEvent is the number of the last event already received, 0 for none.
	AfterEvent int64
	// Budget is the time left for the attempt.
	Budget time.Duration
	// Account is the client account of the item's batch, empty for none.
	Account AccountName
	// AccountsInForce means that the deployment has accounts. What a client states about its key
	// and its account in the header of the item is then not passed on.
	AccountsInForce bool
}

// ReplicaLoadOrder is a load order (see LoadOrder) to an engine that is registered as a
// replica.
type ReplicaLoadOrder struct {
	Replica      *Replica
	Model        EngineModel
	Version      WeightVersion
	Holder       HostID
	FencingToken Offset
	// ExpectedSequence is the number of load orders that the engine must have
	// accepted before this one.
	ExpectedSequence int64
}

// LoadOrderResponse is an engine's response to a load order.
type LoadOrderResponse string

// The responses to load orders. LoadOrderConflict means that the engine is loading
// weights or that ExpectedSequence is not the number of load orders that it has accepted,
// LoadOrderFenced that it has accepted a higher fencing token. LoadOrderRejected is any
// other rejection.
const (
	LoadOrderAccepted      LoadOrderResponse = "accepted"
	LoadOrderAlreadyLoaded LoadOrderResponse = "holds"
	LoadOrderConflict      LoadOrderResponse = "conflict"
	LoadOrderFenced        LoadOrderResponse = "fenced"
	LoadOrderRejected      LoadOrderResponse = "refused"
)

// EngineReport is the state that an engine reports. It lags by a few hundred
// milliseconds.
type EngineReport struct {
	Models         map[EngineModel]WeightVersion
	LoadingWeights bool
	// LoadOrderSequence is the number of load orders that the engine has accepted.
	LoadOrderSequence int64
	Waiting           int
	Running           int
}

// EngineTransport sends batch items and load orders to engines, and fetches the engines'
// reports.
type EngineTransport interface {
	// GenerateItem passes each complete event to sink, in order, until sink fails. It
	// returns nil only at a clean end of the stream, ErrNotRun if the engine did not run
	// the item, ErrItemFailed for a failed attempt, ErrTextTooLong for a text that does not
	// end and ErrItemInvalid for an item that no engine can run. After any other error the outcome is unknown.
	GenerateItem(ctx context.Context, attempt *ItemAttempt, sink func(StreamEvent) error) error
	SendLoadOrder(ctx context.Context, order *ReplicaLoadOrder) (LoadOrderResponse, error)
	FetchReport(ctx context.Context, replica *Replica) (*EngineReport, error)
	Prober
}
