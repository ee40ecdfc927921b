package fake

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// ExecutionCounter counts the runs of requests over all replicas of a plain service, as
// the service's own database would.
type ExecutionCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewExecutionCounter returns an empty ledger.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{counts: make(map[string]int)} }

// record counts a run and returns the number of all runs.
func (c *ExecutionCounter) record(request string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[request]++
	return len(c.counts)
}

// Counts returns how often each request ran.
func (c *ExecutionCounter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.counts))
	for request, count := range c.counts {
		counts[request] = count
	}
	return counts
}

// PlainService is a replica of a plain service in memory. Set the exported fields
// before use.
type PlainService struct {
	Executions *ExecutionCounter
	// ServiceTime is the time of a request.
	ServiceTime time.Duration
	Slots       int
	// PoisonText is a part of a body that crashes the replica.
	PoisonText string

	process

	running       int
	leaving       bool
	dropResponses bool
	startTimes    []time.Time
}

// NewPlainService returns a replica that writes to the ledger.
func NewPlainService(executions *ExecutionCounter, serviceTime time.Duration) *PlainService {
	service := &PlainService{Executions: executions, ServiceTime: serviceTime, Slots: 16}
	service.start(func() { service.running = 0 })
	return service
}

// SetLeaving makes the replica say that it is leaving.
func (p *PlainService) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// SetDropResponses makes the replica run requests and lose their answers.
func (p *PlainService) SetDropResponses(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropResponses = drop
}

// StartTimes returns when requests began.
func (p *PlainService) StartTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time{}, p.startTimes...)
}

// FetchLoad returns the replica's report.
func (p *PlainService) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &gypsum.LoadReport{Incarnation: p.incarnation, Running: p.running, Slots: p.Slots, Leaving: p.leaving}, nil
}

// Do runs a request and writes it to the ledger under its idempotency key, or
// its id.
func (p *PlainService) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return nil, err
	}
	crashed, err := p.startRequest(request)
	if err != nil {
		return nil, err
	}
	defer p.endRequest(crashed)
	name := request.Header.Get("Idempotency-Key")
	if name == "" {
		name = string(request.ID)
	}
	slipNumber := p.Executions.record(name)
	if err := p.simulateWork(ctx, crashed, p.ServiceTime); err != nil {
		return nil, err
	}
	p.mu.Lock()
	dropped := p.dropResponses
	p.mu.Unlock()
	if dropped {
		return nil, fmt.Errorf("connection lost: %w", gypsum.ErrIncompleteResponse)
	}
	return &gypsum.PlainResponse{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
		Body: fmt.Appendf(nil, `{"slip":%d,"key":%q,"request":%q,"score":%d}`, slipNumber, name, request.Body, slipNumber%10),
	}, nil
}

// startRequest begins a request.
func (p *PlainService) startRequest(request *gypsum.PlainRequest) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startTimes = append(p.startTimes, time.Now())
	if p.PoisonText != "" && strings.Contains(string(request.Body), p.PoisonText) {
		p.crash()
		return nil, fmt.Errorf("service died: %w", gypsum.ErrIncompleteResponse)
	}
	p.running++
	return p.crashed, nil
}

// endRequest ends a request.
func (p *PlainService) endRequest(crashed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed == crashed && !p.down {
		p.running--
	}
}
