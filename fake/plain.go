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

// Ledger counts the runs of requests over all replicas of a plain service, as
// the service's own database would.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// run counts a run and returns the number of all runs.
func (l *Ledger) run(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[name]++
	return len(l.runs)
}

// Runs returns how often each request ran.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runs))
	for name, count := range l.runs {
		runs[name] = count
	}
	return runs
}

// Plain is a replica of a plain service in memory. Set the exported fields
// before use.
type Plain struct {
	Ledger *Ledger
	// Time is the time of a request.
	Time  time.Duration
	Slots int
	// Poison is a part of a body that crashes the replica.
	Poison string

	process

	running     int
	leaving     bool
	loseAnswers bool
	newWork     []time.Time
}

// NewPlain returns a replica that writes to the ledger.
func NewPlain(ledger *Ledger, took time.Duration) *Plain {
	plain := &Plain{Ledger: ledger, Time: took, Slots: 16}
	plain.begin(func() { plain.running = 0 })
	return plain
}

// SetLeaving makes the replica say that it is leaving.
func (p *Plain) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// LoseAnswers makes the replica run requests and lose their answers.
func (p *Plain) LoseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = lose
}

// NewWork returns when requests began.
func (p *Plain) NewWork() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time{}, p.newWork...)
}

// FetchLoad returns the replica's report.
func (p *Plain) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &gypsum.LoadReport{Incarnation: p.incarnation, Running: p.running, Slots: p.Slots, Leaving: p.leaving}, nil
}

// Do runs a request and writes it to the ledger under its idempotency key, or
// its id.
func (p *Plain) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	crashed, err := p.enter(request)
	if err != nil {
		return nil, err
	}
	defer p.leave(crashed)
	name := request.Header.Get("Idempotency-Key")
	if name == "" {
		name = string(request.ID)
	}
	number := p.Ledger.run(name)
	if err := p.wait(ctx, crashed, p.Time); err != nil {
		return nil, err
	}
	p.mu.Lock()
	lost := p.loseAnswers
	p.mu.Unlock()
	if lost {
		return nil, fmt.Errorf("connection lost: %w", gypsum.ErrIncompleteResponse)
	}
	return &gypsum.PlainResponse{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
		Body: fmt.Appendf(nil, `{"slip":%d,"key":%q,"request":%q,"score":%d}`, number, name, request.Body, number%10),
	}, nil
}

// enter begins a request.
func (p *Plain) enter(request *gypsum.PlainRequest) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newWork = append(p.newWork, time.Now())
	if p.Poison != "" && strings.Contains(string(request.Body), p.Poison) {
		p.crash()
		return nil, fmt.Errorf("service died: %w", gypsum.ErrIncompleteResponse)
	}
	p.running++
	return p.crashed, nil
}

// leave ends a request.
func (p *Plain) leave(crashed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed == crashed && !p.down {
		p.running--
	}
}
