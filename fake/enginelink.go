package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// linkDialTimeout is how long a connection takes to fail over a link that is cut.
const linkDialTimeout = 400 * time.Millisecond

// EngineLink is the path from one host to the engines. While it is cut, events of attempts in
// progress do not arrive, and connections are not established. It implements
// gypsum.EngineTransport.
type EngineLink struct {
	gypsum.EngineTransport

	mu  sync.Mutex
	cut bool
}

// SetCut cuts or restores the link.
func (l *EngineLink) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// isCut reports whether the link is cut.
func (l *EngineLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// connect returns the error of a new connection.
func (l *EngineLink) connect(ctx context.Context) error {
	if !l.isCut() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(linkDialTimeout):
	}
	return fmt.Errorf("link is cut: %w", gypsum.ErrNotSent)
}

// GenerateItem implements gypsum.EngineTransport.
func (l *EngineLink) GenerateItem(ctx context.Context, attempt *gypsum.ItemAttempt, sink func(gypsum.StreamEvent) error) error {
	if err := l.connect(ctx); err != nil {
		return err
	}
	return l.EngineTransport.GenerateItem(ctx, attempt, func(event gypsum.StreamEvent) error {
		if l.isCut() {
			<-ctx.Done()
			return ctx.Err()
		}
		return sink(event)
	})
}

// SendLoadOrder implements gypsum.EngineTransport.
func (l *EngineLink) SendLoadOrder(ctx context.Context, order *gypsum.ReplicaLoadOrder) (gypsum.LoadOrderResponse, error) {
	if err := l.connect(ctx); err != nil {
		return "", err
	}
	return l.EngineTransport.SendLoadOrder(ctx, order)
}

// FetchReport implements gypsum.EngineTransport.
func (l *EngineLink) FetchReport(ctx context.Context, replica *gypsum.Replica) (*gypsum.EngineReport, error) {
	if err := l.connect(ctx); err != nil {
		return nil, err
	}
	return l.EngineTransport.FetchReport(ctx, replica)
}

// AcceptsConnections implements gypsum.Prober.
func (l *EngineLink) AcceptsConnections(ctx context.Context, replica *gypsum.Replica) bool {
	return l.connect(ctx) == nil && l.EngineTransport.AcceptsConnections(ctx, replica)
}
