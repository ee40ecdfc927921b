package fake

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// ExecutionCounter counts how often each request was executed by all replicas of a plain
// service, as the database of the service would.
type ExecutionCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewExecutionCounter returns a counter without executions.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{counts: make(map[string]int)} }

// recordExecution counts an execution of the request with a key and returns the number of
// distinct requests executed so far.
func (c *ExecutionCounter) recordExecution(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
	return len(c.counts)
}

// Counts returns how often each request was executed, by idempotency key or request ID.
func (c *ExecutionCounter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.counts))
	for key, count := range c.counts {
		counts[key] = count
	}
	return counts
}

// PlainService is an in-memory replica of a plain service. It implements
// gypsum.PlainService. Set the exported fields before use.
type PlainService struct {
	Executions *ExecutionCounter
	// ServiceTime is the time to process a request.
	ServiceTime time.Duration
	Slots       int
	// PoisonText crashes the replica if a request body contains it. Empty for none.
	PoisonText string
	// SizeParameter is the parameter of a target with a number of bytes by which the response is longer.
	// Empty for none.
	SizeParameter string

	process

	running       int
	leaving       bool
	dropResponses bool
	arrivalTimes  []time.Time
}

// NewPlainService returns a replica that records its executions.
func NewPlainService(executions *ExecutionCounter, serviceTime time.Duration) *PlainService {
	service := &PlainService{Executions: executions, ServiceTime: serviceTime, Slots: 16}
	service.initProcess(func() { service.running = 0 })
	return service
}

// SetLeaving sets whether the replica reports that it is leaving.
func (p *PlainService) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// SetDropResponses sets whether the replica executes requests and loses their responses.
func (p *PlainService) SetDropResponses(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropResponses = drop
}

// ArrivalTimes returns when each request arrived.
func (p *PlainService) ArrivalTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time{}, p.arrivalTimes...)
}

// FetchLoadReport implements gypsum.PlainService.
func (p *PlainService) FetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &gypsum.LoadReport{Incarnation: p.incarnation, Running: p.running, Slots: p.Slots, Leaving: p.leaving}, nil
}

// Do implements gypsum.PlainService. It records the execution under the idempotency key
// of the request, or under its ID.
func (p *PlainService) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return nil, err
	}
	crashed, err := p.startRequest(request)
	if err != nil {
		return nil, err
	}
	defer p.endRequest(crashed)
	key := request.Header.Get("Idempotency-Key")
	if key == "" {
		key = string(request.ID)
	}
	slipNumber := p.Executions.recordExecution(key)
	if err := p.simulateWork(ctx, crashed, p.ServiceTime); err != nil {
		return nil, err
	}
	p.mu.Lock()
	dropped := p.dropResponses
	p.mu.Unlock()
	if dropped {
		return nil, fmt.Errorf("connection lost: %w", gypsum.ErrIncompleteResponse)
	}
	body := fmt.Appendf(nil, `{"slip":%d,"key":%q,"request":%q,"score":%d}`, slipNumber, key, request.Body, slipNumber%10)
	if query, err := url.ParseQuery(request.Query); err == nil && p.SizeParameter != "" {
		size, _ := strconv.Atoi(query.Get(p.SizeParameter))
		body = append(body, bytes.Repeat([]byte(" "), size)...)
	}
	return &gypsum.PlainResponse{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}, nil
}

// startRequest counts a running request. It returns the channel that is closed when the
// replica crashes, and ErrIncompleteResponse if the request itself crashes it.
func (p *PlainService) startRequest(request *gypsum.PlainRequest) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivalTimes = append(p.arrivalTimes, time.Now())
	if p.PoisonText != "" && strings.Contains(string(request.Body), p.PoisonText) {
		p.crashLocked()
		return nil, fmt.Errorf("service crashed: %w", gypsum.ErrIncompleteResponse)
	}
	p.running++
	return p.crashed, nil
}

// endRequest counts the end of a request, unless the replica has crashed since its start.
func (p *PlainService) endRequest(crashed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed == crashed && !p.down {
		p.running--
	}
}
