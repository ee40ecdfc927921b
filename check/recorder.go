// Package check sends calls and pulls as callers and trainers do, records the results,
// and compares them with what the backend servers executed. It relies on nothing that a
// daemon reports about itself.
package check

import (
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Result is the result of one call as its caller observed it.
type Result struct {
	// Kind is "order", "get" or "completion".
	Kind string
	// Key is the idempotency key of an order, empty for other calls.
	Key       gypsum.IdempotencyKey
	EntryHost gypsum.HostID
	Start     time.Time
	Duration  time.Duration
	// Response is the complete response, empty if there was none.
	Response string
	Refusal  *gypsum.Refusal
}

// Recorder collects the results of all callers and trainers and the violations of the
// service's guarantees. Its methods are safe for concurrent use.
type Recorder struct {
	mu             sync.Mutex
	results        []Result
	violations     []string
	sampleCount    int
	stepCount      int
	idleTime       time.Duration
	totalStaleness int
	staleness      []int
	tokenCount     int64
}

func (r *Recorder) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// ReportViolation records that a guarantee was violated.
func (r *Recorder) ReportViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, values...))
}

// Results returns all results so far.
func (r *Recorder) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Result{}, r.results...)
}

// CountResponses returns the number of calls of a kind that started after a time and got
// a complete response.
func (r *Recorder) CountResponses(kind string, startedAfter time.Time) int {
	count := 0
	for _, result := range r.Results() {
		if result.Kind == kind && result.Response != "" && result.Start.After(startedAfter) {
			count++
		}
	}
	return count
}

// DeliveredCounts returns the numbers of samples delivered and of steps completed.
func (r *Recorder) DeliveredCounts() (samples, steps int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sampleCount, r.stepCount
}

// MeanStaleness returns the mean staleness of the samples in versions, 0 if there are none.
func (r *Recorder) MeanStaleness() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.totalStaleness) / float64(max(1, r.sampleCount))
}

// StalenessValues returns the staleness of each sample: by how many versions its oldest tokens
// are behind the trainer, at least 0.
func (r *Recorder) StalenessValues() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int{}, r.staleness...)
}

// TokenCount returns the number of tokens of all complete responses and samples.
func (r *Recorder) TokenCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokenCount
}

// addTokens adds the tokens of a complete response.
func (r *Recorder) addTokens(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokenCount += int64(count)
}

// Violations returns the violations recorded so far.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.violations...)
}

// TrainerIdleTime returns the total time that trainers waited for the samples of the steps
// completed.
func (r *Recorder) TrainerIdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleTime
}
