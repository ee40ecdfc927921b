// Package check sends calls and pulls as callers and trainers do, keeps what they
// saw, and compares it with what the backend servers ran. It never reads a
// daemon's own account.
package check

import (
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Result is what a caller saw of one call.
type Result struct {
	Kind      string
	Key       gypsum.IdempotencyKey
	EntryHost gypsum.HostID
	Start     time.Time
	Duration  time.Duration
	// Response is the whole answer, empty if there was none.
	Response string
	Refusal  *gypsum.Refusal
}

// Recorder is what all callers and trainers have seen.
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

// addResult keeps a result.
func (r *Recorder) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// ReportViolation keeps a broken promise.
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

// CountResponses returns the number of whole answers of a kind after a moment.
func (r *Recorder) CountResponses(kind string, startedAfter time.Time) int {
	count := 0
	for _, result := range r.Results() {
		if result.Kind == kind && result.Response != "" && result.Start.After(startedAfter) {
			count++
		}
	}
	return count
}

// Delivered returns the number of samples delivered, and of steps whole.
func (r *Recorder) Delivered() (samples, steps int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sampleCount, r.stepCount
}

// MeanStaleness returns the mean staleness of the samples, in versions.
func (r *Recorder) MeanStaleness() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.totalStaleness) / float64(max(1, r.sampleCount))
}

// Staleness returns by how many versions each sample was behind its trainer.
func (r *Recorder) Staleness() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int{}, r.staleness...)
}

// TokenCount returns the tokens of all whole answers and samples.
func (r *Recorder) TokenCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokenCount
}

// addTokens counts the tokens of a whole answer.
func (r *Recorder) addTokens(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokenCount += int64(count)
}

// Violations returns the broken promises so far.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.violations...)
}

// TrainerIdleTime returns the time that trainers waited for samples.
func (r *Recorder) TrainerIdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleTime
}
