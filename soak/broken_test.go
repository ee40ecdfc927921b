package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// TestBrokenResponses guards against broken responses that reach clients, and against daemons that end because of them:
// the replicas of a service send responses that are none, or parts of one.
func TestBrokenResponses(t *testing.T) {
	const named = mimic.IDLine + mimic.SignatureLine
	const eventStream = "Content-Type: text/event-stream\r\n"
	is := is.New(t)
	env := newTestEnv(t, 1)
	config := env.newConfiguration(2)
	config["limits"] = map[string]any{"max_body_bytes": 32 << 20}
	env.putRecord("keyed.op", "config", config)
	for _, replica := range env.replicas {
		if replica.service == plainService {
			env.unregister(replica)
		}
	}
	number := 0
	// respond makes a server that answers with bytes the only replica of the service.
	respond := func(server *fake.RawServer) {
		server.IDHeader = platform.HeaderRequestID
		stop, err := server.Start()
		is.NoErr(err)
		t.Cleanup(stop)
		env.store.AppendDirectly("keyed.servers", gypsum.KeyedRecord{Key: fmt.Sprint("raw-", number)})
		number++
		env.putRecord("keyed.servers", fmt.Sprint("raw-", number), map[string]any{
			"service": plainService, "addr": server.Address(), "zone": "genova", "slots": engineSlots, "state": "ready", "seq": 1, "version": "v1", "born": time.Now().UnixMilli(),
		})
		time.Sleep(600 * time.Millisecond) // until the daemon has read it
	}
	// send returns what a client gets, status 0 if the response is not complete.
	send := func(target string, size int) (status int, body string) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*callTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+env.daemons[0].address()+target, bytes.NewReader(make([]byte, size)))
		is.NoErr(err)
		request.Host = routeHost
		mimic.SetRequestHeaders(request.Header, fmt.Sprint("broken-", number), callTimeout, 0)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return 0, ""
		}
		return response.StatusCode, string(content)
	}
	targets := []string{"/i/broken", "/n/broken", streamPrefix + "broken"}
	check := func(name string, size int, server *fake.RawServer) {
		t.Run(name, func(t *testing.T) {
			respond(server)
			for _, target := range targets {
				status, body := send(target, size)
				if status != 0 && status != http.StatusBadGateway && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
					t.Errorf("%s: status %d, %.80q", target, status, body)
				}
				if strings.Contains(body, "broken part") {
					t.Errorf("%s: %.80q", target, body)
				}
			}
			if server.Requests() == 0 {
				t.Error("no request reached the replica")
			}
			if err := env.daemons[0].checkReady(); err != nil {
				t.Errorf("the daemon is not ready: %v; its log ends with:\n%s", err, env.logTail(env.daemons[0]))
			}
		})
	}
	const part = "id: 1\ndata: broken part\n\n"
	check("reset during an upload", 16<<20, &fake.RawServer{Response: "HTTP/1.1 200 OK\r\n" + named + "\r\n" + part, UnreadBody: true, End: fake.RawReset})
	check("events and a reset during an upload", 16<<20, &fake.RawServer{Response: "HTTP/1.1 200 OK\r\n" + named + eventStream + "\r\n" + part, UnreadBody: true, End: fake.RawReset})
	for _, fault := range []string{"status", "field name", "framing", "size"} {
		for kind, head := range fake.InvalidHeads[fault] {
			check(fault+"/"+kind, 10, &fake.RawServer{Response: fake.CompleteResponse(head+named+eventStream, part)})
		}
	}
	for _, kind := range []string{"length", "chunks", "end of connection", "HTTP/1.0"} {
		cuts := fake.EveryCut(fake.CutHeads(fake.SoundHeads[kind], named+eventStream), 17)
		check("cut head/"+kind, 10, &fake.RawServer{Responses: cuts})
	}
	respond(&fake.RawServer{Response: fake.CompleteResponse("HTTP/1.1 200 OK\r\n"+named+eventStream, "id: 1\ndata: whole\n\n")})
	for _, target := range targets {
		status, body := send(target, 10)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "id: 1\ndata: whole\n\n")
	}
}
