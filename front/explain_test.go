package front_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform"
)

// TestExplain checks explanations against golden files, and that none of them sends or counts a
// request.
func TestExplain(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	server := httptest.NewServer(s.frontend.ExplainHandler("host-1"))
	defer server.Close()
	explain := func(request *gypsum.ExplainRequest) (int, []byte) {
		content, err := json.Marshal(request)
		is.NoErr(err)
		outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(content))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(outgoing)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, body
	}
	explanations := make(map[string]json.RawMessage)
	record := func(name, method, path string, header http.Header) {
		status, body := explain(&gypsum.ExplainRequest{Method: method, HostName: "a.example:81", Target: path, Header: header, Account: "acme"})
		is.Equal(status, http.StatusOK)
		explanations[name] = body
	}
	record("no configuration", http.MethodGet, "/i/x", nil)
	s.applyConfig()
	record("sent", http.MethodGet, "/i/x", nil)
	record("shorter deadline", http.MethodGet, "/i/x", http.Header{platform.HeaderDeadline: {"300"}})
	record("no time", http.MethodGet, "/i/x", http.Header{platform.HeaderDeadline: {"0"}})
	record("batch", http.MethodPost, "/t/x", nil)
	record("no route", http.MethodGet, "/none", nil)
	goldie.New(t).AssertJson(t, "explanations", explanations)
	status, _ := explain(&gypsum.ExplainRequest{Method: "no method", HostName: "a.example", Target: "/i/x"})
	is.Equal(status, http.StatusBadRequest)
	is.Equal(s.frontend.Relay.Stats.Requests.Load(), int64(0))
	is.Equal(s.frontend.Stats.UnknownRoute.Load(), int64(0))
	for _, replica := range s.replicas {
		is.Equal(len(replica.ReceivedAt()), 0)
	}
	is.True(strings.Contains(string(explanations["sent"]), `"verdict":"sent"`))
}
