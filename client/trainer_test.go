package client_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/entry"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/fleet"
)

// lossyTransport is an HTTP transport that loses every second response, after the request
// has taken effect.
type lossyTransport struct {
	requests int
}

// RoundTrip implements http.RoundTripper.
func (l *lossyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	l.requests++
	if err == nil && l.requests%2 == 0 {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return nil, errors.New("response lost")
	}
	return response, err
}

// TestPullStep checks that a trainer gets the sample of each slot exactly once through
// several entry hosts, although every second response is lost, and that it keeps a sample
// from a checkpoint.
func TestPullStep(t *testing.T) {
	is := is.New(t)
	f := fleet.New(fleet.SmallLayout())
	defer f.Close()
	is.NoErr(f.Start(t.Context()))
	trainer := &client.Trainer{Plan: check.PlanName, Session: 1}
	for _, id := range f.LiveDaemons() {
		server := httptest.NewServer((&entry.Server{Core: f.Core(id), MaxBody: 1 << 20}).Handler())
		defer server.Close()
		trainer.Clients = append(trainer.Clients, &client.Client{BaseURL: server.URL, HTTPClient: &http.Client{Transport: &lossyTransport{}}})
	}
	checkpointed := gypsum.Slot{Step: 0, Group: 3, Index: 2}
	checkpoint := map[gypsum.Slot]*gypsum.Sample{checkpointed: {Slot: checkpointed, Text: "from a checkpoint"}}
	samples, err := trainer.PullStep(t.Context(), 0, 1, nil, checkpoint)
	is.NoErr(err)
	is.Equal(len(samples), 32)
	is.Equal(samples[checkpointed].Text, "from a checkpoint")
	for slot, sample := range samples {
		is.Equal(sample.Slot, slot)
		if slot != checkpointed {
			is.Equal(sample.Text, fake.ResponseText(sample.Prompt, sample.Seed, sample.Segments))
		}
	}
}

// TestPullRefusedForGood checks that PullStep does not retry a pull that can never succeed
// and returns its refusal.
func TestPullRefusedForGood(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"status":400,"outcome":"not_run","reason":"bad_request"}`)
	}))
	defer server.Close()
	trainer := &client.Trainer{Plan: "p", Session: 1, Clients: []*client.Client{{BaseURL: server.URL, HTTPClient: server.Client()}}}
	_, err := trainer.PullStep(t.Context(), 0, 1, nil, nil)
	is.True(err != nil)
	is.Equal(gypsum.AsRefusal(err).Reason, gypsum.ReasonBadRequest)
}

// cancelAfterResponse is an HTTP transport that calls cancel once it has received a whole
// response.
type cancelAfterResponse struct{ cancel context.CancelFunc }

// RoundTrip implements http.RoundTripper.
func (c *cancelAfterResponse) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(content))
	c.cancel()
	return response, err
}

// TestIncompleteStep checks that PullStep returns an error if its context ends before the
// step is complete, although every pull succeeded.
func TestIncompleteStep(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var pull client.PullRequest
		is.NoErr(json.NewDecoder(r.Body).Decode(&pull))
		response, err := json.Marshal(gypsum.PullResponse{Session: pull.Session, Number: pull.Number, Missing: 4})
		is.NoErr(err)
		_, _ = w.Write(response)
	}))
	defer server.Close()
	httpClient := &http.Client{Transport: &cancelAfterResponse{cancel: cancel}}
	trainer := &client.Trainer{Plan: "p", Session: 1, Clients: []*client.Client{{BaseURL: server.URL, HTTPClient: httpClient}}}
	_, err := trainer.PullStep(ctx, 0, 1, nil, nil)
	is.True(errors.Is(err, context.Canceled))
}
