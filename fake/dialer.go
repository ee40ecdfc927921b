package fake

import (
	"context"

	"github.com/gypsumhook/gypsum"
)

// Dialer returns the clients of in-memory backend servers that one daemon uses. Their
// calls hang while the daemon is frozen. It implements gypsum.Dialer.
type Dialer struct {
	Network *Network
	// Self is the host of the daemon.
	Self gypsum.HostID
	// Engines and PlainServices are the backend servers by the IDs of their hosts.
	Engines       map[string]*Engine
	PlainServices map[string]*PlainService
}

// Engine implements gypsum.Dialer.
func (d *Dialer) Engine(host gypsum.Host) gypsum.Engine {
	return &engineClient{dialer: d, engine: d.Engines[host.ID]}
}

// PlainService implements gypsum.Dialer.
func (d *Dialer) PlainService(host gypsum.Host) gypsum.PlainService {
	return &plainServiceClient{dialer: d, service: d.PlainServices[host.ID]}
}

// engineClient is the client of an engine in a daemon that can be frozen.
type engineClient struct {
	dialer *Dialer
	engine *Engine
}

// Generate implements gypsum.Engine.
func (c *engineClient) Generate(ctx context.Context, generation *gypsum.Generation, sink func(*gypsum.Chunk) error) error {
	if err := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); err != nil {
		return err
	}
	return c.engine.Generate(ctx, generation, func(chunk *gypsum.Chunk) error {
		if err := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); err != nil {
			return err
		}
		return sink(chunk)
	})
}

// FetchLoadReport implements gypsum.Engine.
func (c *engineClient) FetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); err != nil {
		return nil, err
	}
	return c.engine.FetchLoadReport(ctx)
}

// SendLoadOrder implements gypsum.Engine.
func (c *engineClient) SendLoadOrder(ctx context.Context, order gypsum.LoadOrder) error {
	if err := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); err != nil {
		return err
	}
	return c.engine.SendLoadOrder(ctx, order)
}

// plainServiceClient is the client of a plain service in a daemon that can be frozen.
type plainServiceClient struct {
	dialer  *Dialer
	service *PlainService
}

// Do implements gypsum.PlainService.
func (c *plainServiceClient) Do(ctx context.Context, req *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	if err := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); err != nil {
		return nil, err
	}
	resp, err := c.service.Do(ctx, req)
	if awaitErr := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); awaitErr != nil {
		return nil, awaitErr
	}
	return resp, err
}

// FetchLoadReport implements gypsum.PlainService.
func (c *plainServiceClient) FetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := c.dialer.Network.AwaitRunning(ctx, c.dialer.Self); err != nil {
		return nil, err
	}
	return c.service.FetchLoadReport(ctx)
}
