package client_test

import (
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

// lossy is a transport that loses every second answer after its effect.
type lossy struct {
	calls int
}

// RoundTrip is part of http.RoundTripper.
func (l *lossy) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	l.calls++
	if err == nil && l.calls%2 == 0 {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return nil, errors.New("answer lost")
	}
	return response, err
}

// TestStep checks that a trainer gets each slot's sample exactly once over
// several entry hosts, although every second answer is lost, and keeps what a
// checkpoint held.
func TestStep(t *testing.T) {
	is := is.New(t)
	f := fleet.New(fleet.SmallLayout())
	defer f.Close()
	is.NoErr(f.Start(t.Context()))
	trainer := &client.Trainer{Plan: check.PlanName, Session: 1}
	for _, id := range f.LiveDaemons() {
		server := httptest.NewServer((&entry.Entry{Node: f.Core(id), MaxBody: 1 << 20}).Handler())
		defer server.Close()
		trainer.Entries = append(trainer.Entries, &client.Entry{Address: server.URL, HTTP: &http.Client{Transport: &lossy{}}})
	}
	kept := gypsum.Slot{Step: 0, Group: 3, Index: 2}
	checkpoint := map[gypsum.Slot]*gypsum.Sample{kept: {Slot: kept, Text: "from a checkpoint"}}
	samples, err := trainer.Step(t.Context(), 0, 1, nil, checkpoint)
	is.NoErr(err)
	is.Equal(len(samples), 32)
	is.Equal(samples[kept].Text, "from a checkpoint")
	for slot, sample := range samples {
		is.Equal(sample.Slot, slot)
		if slot != kept {
			is.Equal(sample.Text, fake.ResponseText(sample.Prompt, sample.Seed, sample.Segments))
		}
	}
}

// TestBadPull checks that a pull that can never succeed ends with its refusal.
func TestBadPull(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"status":400,"outcome":"not_run","reason":"bad_request"}`)
	}))
	defer server.Close()
	trainer := &client.Trainer{Plan: "p", Session: 1, Entries: []*client.Entry{{Address: server.URL, HTTP: server.Client()}}}
	_, err := trainer.Step(t.Context(), 0, 1, nil, nil)
	is.True(err != nil)
	is.Equal(gypsum.AsRefusal(err).Reason, gypsum.ReasonBadRequest)
}
