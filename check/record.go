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
	Kind string
	Key  gypsum.IdempotencyKey
	Via  gypsum.HostID
	At   time.Time
	Took time.Duration
	// Answer is the whole answer, empty if there was none.
	Answer  string
	Refusal *gypsum.Refusal
}

// Record is what all callers and trainers have seen.
type Record struct {
	mu      sync.Mutex
	results []Result
	broken  []string
	samples int
	steps   int
	idle    time.Duration
	stale   int
	ages    []int
	tokens  int64
}

// add keeps a result.
func (r *Record) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// Breach keeps a broken promise.
func (r *Record) Breach(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, values...))
}

// Results returns all results so far.
func (r *Record) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Result{}, r.results...)
}

// Answered returns the number of whole answers of a kind after a moment.
func (r *Record) Answered(kind string, after time.Time) int {
	count := 0
	for _, result := range r.Results() {
		if result.Kind == kind && result.Answer != "" && result.At.After(after) {
			count++
		}
	}
	return count
}

// Samples returns the number of samples delivered, and of steps whole.
func (r *Record) Samples() (samples, steps int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.samples, r.steps
}

// Stale returns the mean staleness of the samples, in versions.
func (r *Record) Stale() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.stale) / float64(max(1, r.samples))
}

// Ages returns by how many versions each sample was behind its trainer.
func (r *Record) Ages() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int{}, r.ages...)
}

// Tokens returns the tokens of all whole answers and samples.
func (r *Record) Tokens() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens
}

// addTokens counts the tokens of a whole answer.
func (r *Record) addTokens(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += int64(count)
}

// Broken returns the broken promises so far.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.broken...)
}

// Idle returns the time that trainers waited for samples.
func (r *Record) Idle() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idle
}
