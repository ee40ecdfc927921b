package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum"
)

// TestExplain checks what the command asks of a daemon, and its output against golden files.
func TestExplain(t *testing.T) {
	is := is.New(t)
	var asked gypsum.ExplainRequest
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/explain")
		is.NoErr(json.NewDecoder(r.Body).Decode(&asked))
		if asked.Target == "/bad" {
			http.Error(w, "invalid request", http.StatusBadRequest)
			return
		}
		is.NoErr(json.NewEncoder(w).Encode(&gypsum.Explanation{
			Host: "host-1", Revision: 7, StoreAwayMS: 12, Route: "orders", Kind: gypsum.RouteIdempotent, Account: asked.Account, Priority: 1, TargetMS: 250, TimeoutMS: 1500,
			Services: []gypsum.ServiceExplanation{
				{Service: "desk", Share: 0.75, Verdict: "sent", Replica: "r-2", Candidates: []gypsum.CandidateExplanation{
					{Replica: "r-1", DataCentre: "genova", InFlight: 6, Slots: 6, ExpectedMS: 80, FailureRate: 0.25, Against: []string{"requests of this daemon occupy all its slots", "requests fail there"}},
					{Replica: "r-2", DataCentre: "genova", Via: "host-3", InFlight: 1, Slots: 6, FreeSlots: 5, ExpectedMS: 25},
				}},
				{Service: "desk-new", Share: 0.25, Verdict: "refused with status 503: the service has no replica now", RetryAfterMS: 2000},
			},
		}))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	args := []string{"explain", "--daemon", address, "--host", "a.example", "--path", "/orders/1", "--header", "X-Region: north", "--account", "acme"}
	out, code := runCommand(t, args...)
	is.Equal(code, 0)
	is.Equal(asked, gypsum.ExplainRequest{Method: "GET", HostName: "a.example", Target: "/orders/1", Header: http.Header{"X-Region": {"north"}}, Account: "acme"})
	goldie.New(t).Assert(t, "explain", []byte(out))
	out, code = runCommand(t, append(args, "--json")...)
	is.Equal(code, 0)
	goldie.New(t).Assert(t, "explain_json", []byte(out))
	_, code = runCommand(t, "explain", "--daemon", address, "--host", "a.example", "--path", "/bad")
	is.Equal(code, exitInvalidInput)
	_, code = runCommand(t, "explain", "--daemon", "127.0.0.1:1", "--host", "a.example")
	is.Equal(code, exitUnavailable)
	_, code = runCommand(t, "explain", "--daemon", address, "--host", "a.example", "--header", "none")
	is.Equal(code, exitUsage)
}
