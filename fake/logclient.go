package fake

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumhook/gypsum"
)

// LogClient is the client of a log in a daemon that can be frozen or disconnected from
// the log. It implements gypsum.Log.
type LogClient struct {
	Log     gypsum.Log
	Network *Network
	Self    gypsum.HostID

	mu           sync.Mutex
	disconnected bool
}

// SetDisconnected disconnects the daemon from the log, or connects it again.
func (c *LogClient) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

// awaitConnected waits while the daemon is frozen. If it is disconnected from the log,
// awaitConnected waits until ctx ends and returns ErrLogUnavailable.
func (c *LogClient) awaitConnected(ctx context.Context) error {
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	if disconnected {
		<-ctx.Done()
		return fmt.Errorf("connect to log: %w", gypsum.ErrLogUnavailable)
	}
	return c.Network.AwaitRunning(ctx, c.Self)
}

// Append implements gypsum.Log.
func (c *LogClient) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if err := c.awaitConnected(ctx); err != nil {
		return 0, err
	}
	offset, err := c.Log.Append(ctx, stream, records)
	if awaitErr := c.Network.AwaitRunning(context.WithoutCancel(ctx), c.Self); awaitErr != nil {
		return 0, awaitErr
	}
	return offset, err
}

// Read implements gypsum.Log.
func (c *LogClient) Read(ctx context.Context, req gypsum.LogRead) (*gypsum.LogPage, error) {
	if err := c.awaitConnected(ctx); err != nil {
		return nil, err
	}
	page, err := c.Log.Read(ctx, req)
	if awaitErr := c.Network.AwaitRunning(context.WithoutCancel(ctx), c.Self); awaitErr != nil {
		return nil, awaitErr
	}
	return page, err
}
