package entry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/entry"
	"github.com/gypsumhook/gypsum/fleet"
)

// startServer starts a fleet and serves the HTTP API of one of its daemons.
func startServer(t *testing.T) (*fleet.Fleet, *entry.Server, *httptest.Server) {
	t.Helper()
	f := fleet.New(fleet.SmallLayout())
	t.Cleanup(f.Close)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	entryServer := &entry.Server{Core: f.Core(f.LiveDaemons()[0]), MaxBody: 1 << 10}
	server := httptest.NewUnstartedServer(entryServer.Handler())
	server.Config.MaxHeaderBytes = 4 << 10
	server.Start()
	t.Cleanup(server.Close)
	return f, entryServer, server
}

// badRequest is a test case of TestBadInput.
type badRequest struct {
	name   string
	method string
	path   string
	header map[string]string
	body   string
}

// badRequests returns the test cases. Their names appear in the golden file.
func badRequests() []badRequest {
	completion := `{"model":"crew-match","prompt":"p"}`
	return []badRequest{
		{"broken JSON", "POST", "/v1/completions", nil, `{"model":`},
		{"no prompt", "POST", "/v1/completions", nil, `{"model":"crew-match"}`},
		{"max_tokens below 1", "POST", "/v1/completions", nil, `{"model":"crew-match","prompt":"p","max_tokens":-1}`},
		{"unknown model", "POST", "/v1/completions", nil, `{"model":"nobody","prompt":"p"}`},
		{"plain service as a model", "POST", "/v1/completions", nil, `{"model":"roster","prompt":"p"}`},
		{"body too large", "POST", "/v1/completions", nil, `{"prompt":"` + strings.Repeat("x", 2<<10) + `"}`},
		{"timeout is no number", "POST", "/v1/completions", map[string]string{client.TimeoutHeader: "soon"}, completion},
		{"timeout past", "POST", "/v1/completions", map[string]string{client.TimeoutHeader: "0"}, completion},
		{"deadline is no time", "POST", "/v1/completions", map[string]string{client.DeadlineHeader: "noon"}, completion},
		{"deadline past", "POST", "/v1/completions", map[string]string{client.DeadlineHeader: "2020-01-01T00:00:00Z"}, completion},
		{"unknown recovery", "POST", "/v1/completions", map[string]string{client.RecoveryHeader: "always"}, completion},
		{"unknown service", "GET", "/services/nobody/x", nil, ""},
		{"model as a plain service", "GET", "/services/crew-match/x", nil, ""},
		{"order without key", "POST", "/services/roster/orders", nil, "crew"},
		{"key too long", "POST", "/services/roster/orders", map[string]string{client.IdempotencyKeyHeader: strings.Repeat("k", 300)}, "crew"},
		{"key from the past", "POST", "/services/roster/orders", map[string]string{client.IdempotencyKeyHeader: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}, "crew"},
		{"unknown plan", "POST", "/v1/plans/nobody/pull", nil, `{"session":1,"number":1}`},
		{"pull without session", "POST", "/v1/plans/season/pull", nil, `{"number":1}`},
		{"pull is no JSON", "POST", "/v1/plans/season/pull", nil, `pull`},
		{"unknown path", "GET", "/v2", nil, ""},
	}
}

// TestBadInput checks the problem documents of bad requests against a golden file, that
// each is counted, and that none of them runs.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	f, entryServer, server := startServer(t)
	var got bytes.Buffer
	for _, row := range badRequests() {
		request, err := http.NewRequest(row.method, server.URL+row.path, strings.NewReader(row.body))
		is.NoErr(err)
		for name, value := range row.header {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
		fmt.Fprintf(&got, "%s: %d\n%s\n", row.name, response.StatusCode, body)
	}
	goldie.New(t).Assert(t, "bad_input", got.Bytes())
	total := int64(0)
	for _, count := range entryServer.ClientErrors() {
		total += count
	}
	is.Equal(total, int64(len(badRequests())))
	is.Equal(len(f.Executions.Counts()), 0) // no request has run
}

// TestHeaderTooLarge checks that a request header over the limit gets status 431.
func TestHeaderTooLarge(t *testing.T) {
	is := is.New(t)
	_, _, server := startServer(t)
	request, err := http.NewRequest(http.MethodGet, server.URL+"/readyz", nil)
	is.NoErr(err)
	request.Header.Set("X-Long", strings.Repeat("x", 16<<10))
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// TestHalfClosed checks that a request whose connection is half-closed in the middle of
// the body gets an error response and does not run.
func TestHalfClosed(t *testing.T) {
	is := is.New(t)
	f, _, server := startServer(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /services/roster/orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.Equal(len(f.Executions.Counts()), 0)
}

// TestCompletion checks a completion with and without streaming.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	_, _, server := startServer(t)
	response, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"crew-match","prompt":"p","max_tokens":8}`))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var completion entry.CompletionResponse
	is.NoErr(json.NewDecoder(response.Body).Decode(&completion))
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(completion.Usage.CompletionTokens, completion.Choices[0].Tokens)
	is.Equal(completion.Segments[0].Version, gypsum.WeightVersion(1))
	stream, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"crew-match","prompt":"p","max_tokens":8,"stream":true}`))
	is.NoErr(err)
	defer func() { _ = stream.Body.Close() }()
	content, err := io.ReadAll(stream.Body)
	is.NoErr(err)
	is.Equal(stream.Header.Get("Content-Type"), "text/event-stream")
	is.True(strings.HasSuffix(string(content), "data: [DONE]\n\n"))
}

// TestPlainResponseUnchanged checks that the response of a plain service reaches the
// caller with its body and headers, and with the name of the backend server.
func TestPlainResponseUnchanged(t *testing.T) {
	is := is.New(t)
	_, _, server := startServer(t)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/services/roster/orders?x=1", strings.NewReader("crew"))
	is.NoErr(err)
	request.Header.Set(client.IdempotencyKeyHeader, "slip-1")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(content), `{"slip":1,"key":"slip-1","request":"crew","score":1}`)
	is.Equal(response.Header.Get("Content-Type"), "application/json")
	is.True(response.Header.Get(client.BackendHeader) != "")
}
