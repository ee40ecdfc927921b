package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// newRawServer starts a frontend with a replica for each server, of which the first one is preferred.
func newRawServer(t *testing.T, servers ...*fake.RawServer) *testServer {
	s := startHost(t, "host-1", fake.NewKeyedStore(), &fake.PeerOrigins{}, &hostList{})
	s.applyConfig()
	for i, server := range servers {
		server.IDHeader = platform.HeaderRequestID
		cleanup, err := server.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		id := gypsum.BackendID(fmt.Sprint("r-", i+1))
		replica := &gypsum.Replica{ID: id, Service: "desk", Address: server.Address(), State: gypsum.ReplicaReady, Slots: 4}
		if i > 0 {
			replica.Location = gypsum.Location{DataCentre: "far", Region: "far"}
		}
		s.registry.ApplyReplica(replica)
	}
	return s
}

// readPart sends a request for a stream and returns the status, and as much of the body as arrives. The error
// is that of the body, nil if it is complete.
func (s *testServer) readPart(id string) (status int, body string, err error) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	response, err := http.DefaultTransport.RoundTrip(s.newStreamRequest(ctx, id))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// Responses of replicas to a request for a stream.
const (
	rawHead   = "HTTP/1.1 200 OK\r\n" + mimic.IDLine + mimic.SignatureLine + "Content-Type: text/event-stream\r\n"
	rawEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// TestCutHead guards against a response of a replica whose head stops in the middle, and that clients get as one with a
// short body: on each kind of route, directly and through another host.
func TestCutHead(t *testing.T) {
	const cutStep = 23
	for name, connect := range map[string]func(*testing.T, *testServer, string) *testServer{
		"directly": func(_ *testing.T, s *testServer, _ string) *testServer { return s },
		"through another host": func(t *testing.T, s *testServer, address string) *testServer {
			s.replicas, s.addresses = []*mimic.Replica{{ID: "r-1"}}, []string{address}
			s.startPeer("host-2")
			s.addresses = []string{refusedAddress(t)}
			s.registerReplicas()
			s.awaitDetour()
			return s
		},
	} {
		for kind, head := range fake.SoundHeads {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				cuts := fake.EveryCut(fake.CutHeads(head, mimic.IDLine+mimic.SignatureLine+"Content-Type: text/event-stream\r\n"), cutStep)
				server := &fake.RawServer{Responses: cuts}
				s := connect(t, newRawServer(t, server), server.Address())
				for i := range cuts {
					for _, target := range []string{"/i/", "/n/", "/i/stream/", "/i/resumed/stream/"} {
						status, header, body := s.sendRequest("POST", fmt.Sprint(target, i), fmt.Sprint("q", i), "x")
						if status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" {
							continue // the replica fails too often
						}
						if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
							t.Errorf("%s: status %d, %q", target, status, body)
						}
					}
				}
				if server.Requests() < 4 {
					t.Errorf("%d requests reached the replica", server.Requests())
				}
			})
		}
	}
}

// TestStatusThatPromises guards against a replica's own status that clients read as the promise that a request has not run,
// although it may have and must not run more than once.
func TestStatusThatPromises(t *testing.T) {
	for _, status := range []string{"408 Timeout", "429 Too Many", "503 Unavailable"} {
		response := fake.CompleteResponse("HTTP/1.1 "+status+"\r\nContent-Length: 6\r\nRetry-After: 1\r\n"+mimic.IDLine+mimic.SignatureLine, "failed")
		for target, isPassedOn := range map[string]bool{"/n/x": false, "/i/stream/x": false, "/i/x": true, "/i/resumed/stream/x": true} {
			t.Run(status+target, func(t *testing.T) {
				is := is.New(t)
				s := newRawServer(t, &fake.RawServer{Response: response})
				got, header, body := s.sendRequest("POST", target, "q", "x")
				if isPassedOn {
					// It may run again in any case.
					is.Equal(fmt.Sprint(got), status[:3])
					is.Equal(body, "failed")
					return
				}
				is.Equal(got, http.StatusBadGateway)
				is.Equal(header.Get(mimic.HeaderSignature), "")
				is.Equal(header.Get("Retry-After"), "")
				is.True(body != "failed")
			})
		}
	}
}

// TestContinuedStream guards against parts of another response in a stream that broke off: whatever the next replica
// answers, the client gets the events of its stream, and a stream that can't go on ends visibly broken.
func TestContinuedStream(t *testing.T) {
	error500 := "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n"
	named := mimic.IDLine + mimic.SignatureLine
	for name, second := range map[string]string{
		"error":                   fake.CompleteResponse(error500+named, "internal error"),
		"error as events":         fake.CompleteResponse("HTTP/1.1 500 Error\r\nContent-Type: text/event-stream\r\n"+named, "id: 3\ndata: internal error\n\n"),
		"unsigned error":          fake.CompleteResponse(error500+mimic.IDLine, "internal error"),
		"not run":                 fake.CompleteResponse("HTTP/1.1 503 Busy\r\n"+mimic.NotExecutedLine+named, "id: 3\ndata: busy\n\n"),
		"not found":               fake.CompleteResponse("HTTP/1.1 404 Not Found\r\n"+named, "not found"),
		"no events":               fake.CompleteResponse("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"+named, "internal error"),
		"no content":              fake.CompleteResponse("HTTP/1.1 204 No Content\r\nContent-Type: text/event-stream\r\n"+named, ""),
		"accepted":                fake.CompleteResponse("HTTP/1.1 202 Accepted\r\nContent-Type: text/event-stream\r\n"+named, "id: 3\ndata: c\n\n"),
		"status 000":              fake.CompleteResponse("HTTP/1.1 000 Trouble\r\nContent-Type: text/event-stream\r\n"+named, "id: 3\ndata: c\n\n"),
		"head in the body":        fake.CompleteResponse(rawHead, error500+"\r\ninternal error"),
		"head as lines":           fake.CompleteResponse(rawHead, "HTTP/1.1 500 Error\n\nid: 3\ndata: c\n\n"),
		"text":                    fake.CompleteResponse(rawHead, "internal error\n\n"),
		"text before an event":    fake.CompleteResponse(rawHead, "internal error\nid: 3\ndata: c\n\n"),
		"event without a number":  fake.CompleteResponse(rawHead, "data: internal error\n\n"),
		"error, then other event": fake.CompleteResponse(rawHead, "event: error\ndata: internal error\n\nid: 3\ndata: c\n\n"),
		"from the start":          fake.CompleteResponse(rawHead, rawEvents),
		"gap":                     fake.CompleteResponse(rawHead, "id: 4\ndata: d\n\n"),
		"other request":           fake.CompleteResponse(strings.ReplaceAll(rawHead, "{id}", "another"), "id: 3\ndata: c\n\n"),
		"no response":             "internal error",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, &fake.RawServer{Response: rawHead + "\r\n" + rawEvents, End: fake.RawReset}, &fake.RawServer{Response: second})
			status, body, err := s.readPart("q")
			is.Equal(status, http.StatusOK)
			is.Equal(body, rawEvents)
			is.True(err != nil) // the stream is visibly broken
		})
	}
	for kind, head := range fake.SoundHeads {
		t.Run("cut head/"+kind, func(t *testing.T) {
			for _, cut := range fake.EveryCut(fake.CutHeads(head, named+"Content-Type: text/event-stream\r\n"), 13) {
				is := is.New(t)
				s := newRawServer(t, &fake.RawServer{Response: rawHead + "\r\n" + rawEvents, End: fake.RawReset}, &fake.RawServer{Response: cut})
				status, body, err := s.readPart("q")
				is.Equal(status, http.StatusOK)
				is.Equal(body, rawEvents)
				is.True(err != nil) // the stream is visibly broken
			}
		})
	}
	for name, rest := range map[string]string{
		"rest": "id: 3\ndata: c\n\n", "comment first": ": resumed\n\nid: 3\ndata: c\n\n", "event without a number later": "id: 3\ndata: c\n\ndata: d\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, &fake.RawServer{Response: rawHead + "\r\n" + rawEvents, End: fake.RawReset}, &fake.RawServer{Response: fake.CompleteResponse(rawHead, rest)})
			status, body, err := s.readPart("q")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, rawEvents+rest)
		})
	}
}
