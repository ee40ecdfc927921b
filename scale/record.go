package scale

import (
	"fmt"
	"log/slog"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// Kinds of records in the topic, which are the first component of their keys.
const (
	kindOrder   = "o"
	kindInitial = "i"
)

// OrderState is what is known of an order.
type OrderState int

// The states of orders.
const (
	// OrderSent means that the order was or will be sent. It is sent until its outcome is known.
	OrderSent OrderState = iota
	OrderAccepted
	OrderRejected
)

// Order is the record of the last order for a service in a data centre.
type Order struct {
	Service     gypsum.ServiceName `cbor:"1,keyasint"`
	DataCentre  gypsum.DataCentre  `cbor:"2,keyasint"`
	Replicas    int                `cbor:"3,keyasint"`
	Reclaimable bool               `cbor:"4,keyasint,omitempty"`
	State       OrderState         `cbor:"5,keyasint,omitempty"`
	// Previous is the number that was ordered before, which a rejection leaves in force.
	Previous int `cbor:"6,keyasint,omitempty"`
	// AtMS is when the order got its state, in Unix milliseconds.
	AtMS int64 `cbor:"7,keyasint"`
	// Rejections is the number of orders that were rejected in a row, with this one.
	Rejections int `cbor:"8,keyasint,omitempty"`
}

// Initial is the record of the replicas of a service before the first order.
type Initial struct {
	Service gypsum.ServiceName `cbor:"1,keyasint"`
	// OnDemand are the replicas that are not reclaimable, Reclaimable the others.
	OnDemand    map[gypsum.DataCentre]int `cbor:"2,keyasint"`
	Reclaimable map[gypsum.DataCentre]int `cbor:"3,keyasint,omitempty"`
}

// ErrMalformed is returned for a record that cannot be decoded.
var ErrMalformed = errors.New("malformed capacity record")

// orderKey identifies the orders that replace each other.
type orderKey struct {
	service     gypsum.ServiceName
	dataCentre  gypsum.DataCentre
	reclaimable bool
}

// Book is the content of the topic, built by applying its records in order.
type Book struct {
	Logger *slog.Logger

	orders  map[orderKey]Order
	initial map[gypsum.ServiceName]Initial
}

// NewBook returns an empty book.
func NewBook(logger *slog.Logger) *Book {
	return &Book{Logger: logger, orders: make(map[orderKey]Order), initial: make(map[gypsum.ServiceName]Initial)}
}

// Apply applies records in the order of their offsets.
func (b *Book) Apply(update store.Update) {
	if update.Complete {
		clear(b.orders)
		clear(b.initial)
	}
	for i := range update.Records {
		if err := b.applyRecord(&update.Records[i]); err != nil {
			b.Logger.Warn("skipped malformed capacity record", "key", update.Records[i].Key, "offset", update.Records[i].Offset, "error", err)
		}
	}
}

// applyRecord applies one record. Records of later versions are skipped.
func (b *Book) applyRecord(record *gypsum.KeyedRecord) error {
	kind, _, _ := strings.Cut(record.Key, "/")
	switch {
	case len(record.Value) == 0:
	case kind == kindOrder:
		var order Order
		if err := cbor.Unmarshal(record.Value, &order); err != nil {
			return fmt.Errorf("decode order: %w: %w", ErrMalformed, err)
		}
		b.orders[order.key()] = order
	case kind == kindInitial:
		var initial Initial
		if err := cbor.Unmarshal(record.Value, &initial); err != nil {
			return fmt.Errorf("decode initial replicas: %w: %w", ErrMalformed, err)
		}
		if _, ok := b.initial[initial.Service]; !ok {
			b.initial[initial.Service] = initial
		}
	}
	return nil
}

// key returns the key of an order.
func (o *Order) key() orderKey { return orderKey{o.Service, o.DataCentre, o.Reclaimable} }

// capacityOrder returns the order as it is sent.
func (o *Order) capacityOrder() gypsum.CapacityOrder {
	return gypsum.CapacityOrder{Service: o.Service, DataCentre: o.DataCentre, Replicas: o.Replicas, Reclaimable: o.Reclaimable}
}

// EncodeOrder returns the record of an order.
func EncodeOrder(order *Order) (gypsum.KeyedRecord, error) {
	kind := "on_demand"
	if order.Reclaimable {
		kind = "reclaimable"
	}
	return encode(order, kindOrder, string(order.Service), string(order.DataCentre), kind)
}

// EncodeInitial returns the record of the replicas before the first order.
func EncodeInitial(initial *Initial) (gypsum.KeyedRecord, error) {
	return encode(initial, kindInitial, string(initial.Service))
}

// encode returns a record.
func encode(content any, parts ...string) (gypsum.KeyedRecord, error) {
	value, err := cbor.Marshal(content)
	if err != nil {
		return gypsum.KeyedRecord{}, fmt.Errorf("encode capacity record: %w", err)
	}
	return gypsum.KeyedRecord{Key: strings.Join(parts, "/"), Value: value}, nil
}
