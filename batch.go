package gypsum

import (
	"context"
	"time"
)

// BatchID is the client's name of a batch.
type BatchID string

// ItemID is the name of one item of a batch.
type ItemID string

// GroupID is the name of a group of items that share their prompt.
type GroupID string

// BatchItem is one request of a batch.
type BatchItem struct {
	ID     ItemID            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	Tokens int               `cbor:"5,keyasint"`
	Group  GroupID           `cbor:"6,keyasint"`
	// ExpectedTokens is the client's estimate of the length of the answer, 0 for none.
	ExpectedTokens int `cbor:"7,keyasint"`
}

// Batch is a set of requests that are submitted at once and run later.
type Batch struct {
	ID         BatchID
	Route      string
	HostName   string
	Service    ServiceName
	Model      EngineModel
	Step       int
	MinVersion WeightVersion
	GroupCount int
	Items      []BatchItem
	// SingleVersion means that one version of the weights must generate a whole text.
	SingleVersion bool
	MaxAttempts   int
	SubmittedAt   time.Time
	// DueAt is when all results are wanted, ExpiresAt when items may be given up.
	DueAt     time.Time
	ExpiresAt time.Time
}

// ItemState is the state of an item that has a result.
type ItemState string

// The states of results.
const (
	ItemCompleted ItemState = "completed"
	ItemErrored   ItemState = "errored"
)

// BatchResult is the final answer to an item.
type BatchResult struct {
	Item     ItemID
	State    ItemState
	Text     string
	Versions []WeightVersion
}

// StreamEvent is one event of a stream of tokens.
type StreamEvent struct {
	Number  int64
	Data    string
	Version WeightVersion
}

// ItemAttempt is a request to run an item on an engine.
type ItemAttempt struct {
	Replica  *Replica
	HostName string
	Item     *BatchItem
	// AfterEvent is the number of the last event that is already there, 0 for none.
	AfterEvent int64
	// Budget is the time that the engine may take.
	Budget time.Duration
}

// ReplicaLoadOrder is an order to an engine to hold a version of a model's weights.
type ReplicaLoadOrder struct {
	Replica      *Replica
	Model        EngineModel
	Version      WeightVersion
	Holder       HostID
	FencingToken Offset
	// ExpectedSequence is the number of orders that the engine must have accepted before.
	ExpectedSequence int64
}

// LoadOrderStatus is an engine's word on an order.
type LoadOrderStatus string

// The answers to orders.
const (
	LoadOrderAccepted      LoadOrderStatus = "accepted"
	LoadOrderAlreadyLoaded LoadOrderStatus = "holds"
	LoadOrderConflict      LoadOrderStatus = "conflict"
	LoadOrderFenced        LoadOrderStatus = "fenced"
	LoadOrderRefused       LoadOrderStatus = "refused"
)

// EngineReport is an engine's report on itself. It lags by some hundred milliseconds.
type EngineReport struct {
	Models        map[EngineModel]WeightVersion
	Busy          bool
	OrderSequence int64
	Waiting       int
	Running       int
}

// EngineTransport are the calls to engines that batches need.
type EngineTransport interface {
	// GenerateItem hands each whole event to sink, in order, until sink fails. It returns nil only at a
	// clean end of the stream, ErrNotExecuted if the engine did not run the item,
	// ErrItemFailed for a failed run and ErrItemInvalid for an item that can never
	// be done. Any other error leaves open whether the item ran.
	GenerateItem(ctx context.Context, attempt *ItemAttempt, sink func(StreamEvent) error) error
	SendLoadOrder(ctx context.Context, order *ReplicaLoadOrder) (LoadOrderStatus, error)
	FetchReport(ctx context.Context, replica *Replica) (*EngineReport, error)
	Prober
}
