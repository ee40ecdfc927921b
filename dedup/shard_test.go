package dedup

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestRetryWithoutMemoryForKeys checks that a retry of a request in progress gets its response although there is no
// memory for further keys, and that another request is refused as not run.
func TestRetryWithoutMemoryForKeys(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine(time.Hour, time.Hour)
	m.Memory = &Memory{Limit: keyBytes} // none fits into half of it
	call := &gypsum.Call{Service: "roster", IdempotencyKey: "key", Fingerprint: 7}
	pending := &pendingRequest{fingerprint: 7, done: make(chan struct{})}
	pending.setResult(textResponse(3), &gypsum.End{}, nil)
	s := &Shard{StateMachine: m, pendingRequests: map[gypsum.IdempotencyKey]*pendingRequest{call.ScopedKey(): pending}}
	var response *gypsum.PlainResponse
	sink := func(event *gypsum.Event) error {
		if event.Response != nil {
			response = event.Response
		}
		return nil
	}
	is.NoErr(s.Run(t.Context(), call, sink))
	is.Equal(response, pending.response)
	other := *call
	other.IdempotencyKey = "other"
	refusal := gypsum.AsRefusal(s.Run(t.Context(), &other, sink))
	is.Equal(refusal.Outcome, gypsum.OutcomeNotRun)
	is.Equal(refusal.Status, http.StatusServiceUnavailable)
	is.Equal(len(s.pendingRequests), 1)
}
