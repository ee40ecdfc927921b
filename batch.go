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
	// Single means that one version of the weights must generate a whole text.
	Single      bool
	MaxAttempts int
	Submitted   time.Time
	// Due is when all results are wanted, GiveUp when items may be given up.
	Due    time.Time
	GiveUp time.Time
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

// ItemRun is a request to run an item on an engine.
type ItemRun struct {
	Replica  *Replica
	HostName string
	Item     *BatchItem
	// After is the number of the last event that is already there, 0 for none.
	After int64
	// Budget is the time that the engine may take.
	Budget time.Duration
}

// WeightOrder is an order to an engine to hold a version of a model's weights.
type WeightOrder struct {
	Replica *Replica
	Model   EngineModel
	Version WeightVersion
	Holder  HostID
	Fence   Offset
	// Expect is the number of orders that the engine must have accepted before.
	Expect int64
}

// OrderAnswer is an engine's word on an order.
type OrderAnswer string

// The answers to orders.
const (
	OrderAccepted OrderAnswer = "accepted"
	OrderHolds    OrderAnswer = "holds"
	OrderConflict OrderAnswer = "conflict"
	OrderFenced   OrderAnswer = "fenced"
	OrderRefused  OrderAnswer = "refused"
)

// EngineReport is an engine's report on itself. It lags by some hundred milliseconds.
type EngineReport struct {
	Models        map[EngineModel]WeightVersion
	Busy          bool
	OrderSequence int64
	Waiting       int
	Running       int
}

// Engines are the calls to engines that batches need.
type Engines interface {
	// RunItem hands each whole event to sink, in order, until sink fails. It returns nil only at a
	// clean end of the stream, ErrNotExecuted if the engine did not run the item,
	// ErrItemFailed for a failed run and ErrItemInvalid for an item that can never
	// be done. Any other error leaves open whether the item ran.
	RunItem(ctx context.Context, run *ItemRun, sink func(StreamEvent) error) error
	Order(ctx context.Context, order *WeightOrder) (OrderAnswer, error)
	Report(ctx context.Context, replica *Replica) (*EngineReport, error)
	Prober
}
