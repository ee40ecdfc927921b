package gypsum

import "context"

// StreamResume says where a client takes up a stream again that was broken off.
type StreamResume struct {
	// First is the request that brought the first event, empty if the client does not say.
	First RequestID
	// After is the number of the last event that the client has.
	After int64
}

// StreamOrigin says which service and which version of its software began the response stream
// of a request.
type StreamOrigin struct {
	Request  RequestID       `cbor:"1,keyasint"`
	Service  ServiceName     `cbor:"2,keyasint"`
	Software SoftwareVersion `cbor:"3,keyasint"`
}

// OriginStore holds the origins of streams that one daemon knows.
type OriginStore interface {
	RecordOrigins(ctx context.Context, origins []StreamOrigin) error
	// FindOrigin returns the origin of a stream by the request that brought its first event,
	// nil if it is not known.
	FindOrigin(ctx context.Context, first RequestID) (*StreamOrigin, error)
}

// PeerOrigins returns clients of the origins that other daemons know.
type PeerOrigins interface {
	// OriginsAt returns a client of the origins that the daemon at an address knows.
	OriginsAt(address string) OriginStore
}

// SoftwareRecord is the newest stored record of the software versions that the replicas of a service
// have.
type SoftwareRecord struct {
	// Versions are the versions, in order.
	Versions []SoftwareVersion
	Offset   Offset
	// Settled means that replicas had no other versions for longer than it may take until a client
	// takes up its stream again.
	Settled bool
}

// SoftwareRecords stores the software versions that the replicas of services have.
type SoftwareRecords interface {
	// RecordedSoftware returns the newest record of a service. ok is false if there is none.
	RecordedSoftware(service ServiceName) (record SoftwareRecord, ok bool)
	// RecordSoftware stores the software versions of a service, in order, and returns once
	// RecordedSoftware returns that record or a newer one.
	RecordSoftware(ctx context.Context, service ServiceName, versions []SoftwareVersion) error
	// SettleSoftware stores that the record of a service at an offset is settled. It has no effect on
	// any other record. It returns once RecordedSoftware takes it into account.
	SettleSoftware(ctx context.Context, service ServiceName, record Offset) error
}
