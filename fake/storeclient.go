package fake

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumhook/gypsum"
)

// StoreClient is the client of a store that one host uses. While it is disconnected,
// calls get no response.
type StoreClient struct {
	gypsum.KeyedStore
	mu           sync.Mutex
	disconnected bool
	appendsHang  bool
	readsHang    bool
}

// SetReadsHang sets whether reads get no response, while appends are served.
func (c *StoreClient) SetReadsHang(hang bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsHang = hang
}

// SetAppendsHang sets whether appends get no response, while reads are served.
func (c *StoreClient) SetAppendsHang(hang bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendsHang = hang
}

// SetDisconnected disconnects the client from the store, or connects it again.
func (c *StoreClient) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

// awaitConnected returns nil if the client is connected. Otherwise it waits until ctx
// ends and returns ErrStoreUnknown.
func (c *StoreClient) awaitConnected(ctx context.Context) error {
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	if !disconnected {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("connect to store: %w: %w", gypsum.ErrStoreUnknown, ctx.Err())
}

// Append implements gypsum.KeyedStore.
func (c *StoreClient) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	if err := c.awaitConnected(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	hang := c.appendsHang
	c.mu.Unlock()
	if hang {
		<-ctx.Done()
		return 0, fmt.Errorf("append to store: %w: %w", gypsum.ErrStoreUnknown, ctx.Err())
	}
	return c.KeyedStore.Append(ctx, req)
}

// Read implements gypsum.KeyedStore.
func (c *StoreClient) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	if err := c.awaitConnected(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	hang := c.readsHang
	c.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, fmt.Errorf("read from store: %w: %w", gypsum.ErrStoreUnknown, ctx.Err())
	}
	return c.KeyedStore.Read(ctx, req)
}

// LatestRecords implements gypsum.KeyedStore.
func (c *StoreClient) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	if err := c.awaitConnected(ctx); err != nil {
		return nil, err
	}
	return c.KeyedStore.LatestRecords(ctx, topic, partition, after)
}
