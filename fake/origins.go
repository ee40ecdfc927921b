package fake

import (
	"context"
	"sync"

	"github.com/gypsumhook/gypsum"
)

// PeerOrigins are the origins of streams that daemons in memory know. It implements
// gypsum.PeerOrigins. The address of a daemon is its name.
type PeerOrigins struct {
	mu     sync.Mutex
	peers  []gypsum.Peer
	stores map[string]gypsum.OriginStore
}

// Add adds a daemon.
func (p *PeerOrigins) Add(name gypsum.HostID, store gypsum.OriginStore) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stores == nil {
		p.stores = make(map[string]gypsum.OriginStore)
	}
	p.peers, p.stores[string(name)] = append(p.peers, gypsum.Peer{Host: name, Address: string(name)}), store
}

// Kill makes a daemon not answer any more. It stays listed.
func (p *PeerOrigins) Kill(name gypsum.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.stores, string(name))
}

// List returns all daemons.
func (p *PeerOrigins) List() []gypsum.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]gypsum.Peer(nil), p.peers...)
}

// OriginsAt implements gypsum.PeerOrigins.
func (p *PeerOrigins) OriginsAt(address string) gypsum.OriginStore {
	return &remoteOrigins{peers: p, address: address}
}

// remoteOrigins are the origins that the daemon at an address knows. It implements
// gypsum.OriginStore. Its calls do not return before ctx ends if no daemon answers.
type remoteOrigins struct {
	peers   *PeerOrigins
	address string
}

// store returns the origins of the daemon at the address, or the error of ctx once that ends.
func (r *remoteOrigins) store(ctx context.Context) (gypsum.OriginStore, error) {
	r.peers.mu.Lock()
	store := r.peers.stores[r.address]
	r.peers.mu.Unlock()
	if store == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return store, nil
}

// RecordOrigins implements gypsum.OriginStore.
func (r *remoteOrigins) RecordOrigins(ctx context.Context, origins []gypsum.StreamOrigin) error {
	store, err := r.store(ctx)
	if err != nil {
		return err
	}
	return store.RecordOrigins(ctx, origins)
}

// FindOrigin implements gypsum.OriginStore.
func (r *remoteOrigins) FindOrigin(ctx context.Context, first gypsum.RequestID) (*gypsum.StreamOrigin, error) {
	store, err := r.store(ctx)
	if err != nil {
		return nil, err
	}
	return store.FindOrigin(ctx, first)
}

// SoftwareRecords are stored software versions in memory. It implements gypsum.SoftwareRecords.
type SoftwareRecords struct {
	mu      sync.Mutex
	next    gypsum.Offset
	records map[gypsum.ServiceName]gypsum.SoftwareRecord
}

// RecordedSoftware implements gypsum.SoftwareRecords.
func (r *SoftwareRecords) RecordedSoftware(service gypsum.ServiceName) (record gypsum.SoftwareRecord, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok = r.records[service]
	return record, ok
}

// RecordSoftware implements gypsum.SoftwareRecords.
func (r *SoftwareRecords) RecordSoftware(_ context.Context, service gypsum.ServiceName, versions []gypsum.SoftwareVersion) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records == nil {
		r.records = make(map[gypsum.ServiceName]gypsum.SoftwareRecord)
	}
	r.next++
	r.records[service] = gypsum.SoftwareRecord{Versions: versions, Offset: r.next}
	return nil
}

// SettleSoftware implements gypsum.SoftwareRecords.
func (r *SoftwareRecords) SettleSoftware(_ context.Context, service gypsum.ServiceName, record gypsum.Offset) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.records[service]; ok && known.Offset == record {
		known.Settled = true
		r.records[service] = known
	}
	return nil
}

// Settle stores settled versions of a service.
func (r *SoftwareRecords) Settle(service gypsum.ServiceName, versions ...gypsum.SoftwareVersion) {
	ctx := context.Background()
	_ = r.RecordSoftware(ctx, service, versions)
	record, _ := r.RecordedSoftware(service)
	_ = r.SettleSoftware(ctx, service, record.Offset)
}
