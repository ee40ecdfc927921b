package adapt_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/fake"
)

// startRaw starts a server that answers with the same bytes to each request.
func startRaw(t *testing.T, server *fake.RawServer) *fake.RawServer {
	t.Helper()
	cleanup, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return server
}

// uploadCalls returns a call for each kind of request that uploads a body to the server at an address, by
// name. They return what came of the body.
func uploadCalls(t *testing.T, size int) map[string]func(address string) (string, error) {
	dialer, cleanup := adapt.NewDialer()
	t.Cleanup(cleanup)
	body := strings.Repeat("x", size)
	plain := func(isOnce bool) func(address string) (string, error) {
		return func(address string) (string, error) {
			response, err := dialer.PlainService(gypsum.Host{Address: address}).Do(t.Context(), &gypsum.PlainRequest{ID: "r", Method: "PUT", Path: "/", Body: []byte(body), NonIdempotent: isOnce})
			if err != nil {
				return "", err
			}
			return string(response.Body), nil
		}
	}
	return map[string]func(address string) (string, error){
		"plain": plain(false), "plain, once": plain(true),
		"append": func(address string) (string, error) {
			client, cleanup := adapt.NewClient()
			defer cleanup()
			_, err := adapt.NewLog(client, "http://"+address).Append(t.Context(), "s", [][]byte{[]byte(body)})
			return "", err
		},
	}
}

// uploadBytes is more than the buffers of a connection hold, so that an upload waits for its reader.
const uploadBytes = 16 << 20

// TestResetDuringUpload guards against parts of responses that look complete: a server responds without a
// length and resets the connection while the request is still being written.
func TestResetDuringUpload(t *testing.T) {
	const tries = 10
	for name, call := range uploadCalls(t, uploadBytes) {
		t.Run(name, func(t *testing.T) {
			server := startRaw(t, &fake.RawServer{Response: "HTTP/1.1 200 OK\r\n\r\n{\"offset\":3}", UnreadBody: true, End: fake.RawReset})
			complete := 0
			for range tries {
				if _, err := call(server.Address()); err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d parts were taken for complete responses", complete, tries)
			}
		})
	}
}

// TestEarlyResponse checks that a response with a length that comes while the request is still being
// written is passed on, although the connection is reset behind it, and that one without a length ends with
// the orderly end of the connection.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	early := startRaw(t, &fake.RawServer{Response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", UnreadBody: true, End: fake.RawReset})
	content, err := uploadCalls(t, uploadBytes)["plain"](early.Address())
	is.NoErr(err)
	is.Equal(content, "whole")
	for name, call := range uploadCalls(t, 100) {
		server := startRaw(t, &fake.RawServer{Response: "HTTP/1.1 200 OK\r\n\r\n{\"offset\":3}"})
		if _, err := call(server.Address()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestInvalidHead guards against responses whose head is invalid (RFC 9112, RFC 9110): none is taken for the
// response to a request.
func TestInvalidHead(t *testing.T) {
	dialer, cleanup := adapt.NewDialer()
	t.Cleanup(cleanup)
	calls := uploadCalls(t, 100)
	calls["load report"] = func(address string) (string, error) {
		_, err := dialer.PlainService(gypsum.Host{Address: address}).FetchLoadReport(t.Context())
		return "", err
	}
	calls["load order"] = func(address string) (string, error) {
		return "", dialer.Engine(gypsum.Host{Address: address}).SendLoadOrder(t.Context(), gypsum.LoadOrder{})
	}
	for fault, heads := range fake.InvalidHeads {
		for kind, head := range heads {
			for name, call := range calls {
				t.Run(fault+"/"+kind+"/"+name, func(t *testing.T) {
					server := startRaw(t, &fake.RawServer{Response: fake.CompleteResponse(head, `{"offset":3}`)})
					if _, err := call(server.Address()); err == nil {
						t.Error("an invalid response was accepted")
					}
				})
			}
		}
	}
}

// TestCutHead guards against a response whose head stops in the middle, at any byte, and that is taken for one with a
// short body, by any reader.
func TestCutHead(t *testing.T) {
	const cutStep = 7
	dialer, cleanup := adapt.NewDialer()
	t.Cleanup(cleanup)
	client, cleanup := adapt.NewClient()
	t.Cleanup(cleanup)
	calls := uploadCalls(t, 100)
	calls["load report"] = func(address string) (string, error) {
		_, err := dialer.PlainService(gypsum.Host{Address: address}).FetchLoadReport(t.Context())
		return "", err
	}
	calls["load order"] = func(address string) (string, error) {
		return "", dialer.Engine(gypsum.Host{Address: address}).SendLoadOrder(t.Context(), gypsum.LoadOrder{})
	}
	calls["generation"] = func(address string) (string, error) {
		return "", dialer.Engine(gypsum.Host{Address: address}).Generate(t.Context(), &gypsum.Generation{ID: "g", MaxTokens: 1}, func(*gypsum.Chunk) error { return nil })
	}
	calls["read"] = func(address string) (string, error) {
		_, err := adapt.NewLog(client, "http://"+address).Read(t.Context(), gypsum.LogRead{Stream: "s"})
		return "", err
	}
	calls["hosts"] = func(address string) (string, error) {
		_, err := adapt.NewHostList(client, "http://"+address).Hosts(t.Context())
		return "", err
	}
	calls["weights"] = func(address string) (string, error) {
		_, err := adapt.NewWeightStore(client, "http://"+address).LatestVersion(t.Context(), "m")
		return "", err
	}
	for kind, head := range fake.SoundHeads {
		for name, call := range calls {
			t.Run(kind+"/"+name, func(t *testing.T) {
				cuts := fake.EveryCut(fake.CutHeads(head, "X-Request-Id: r\r\n"), cutStep)
				server := startRaw(t, &fake.RawServer{Responses: cuts})
				for _, cut := range cuts {
					if _, err := call(server.Address()); err == nil {
						t.Errorf("the head %q was taken for a response", cut)
					}
				}
			})
		}
	}
}

// TestUnusualHead checks that valid responses with an unusual head are passed on.
func TestUnusualHead(t *testing.T) {
	for name, head := range fake.UnusualHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startRaw(t, &fake.RawServer{Response: fake.CompleteResponse(head, "whole")})
			content, err := uploadCalls(t, 100)["plain"](server.Address())
			is.NoErr(err)
			is.Equal(content, "whole")
		})
	}
}

// TestSecondCopy guards against a response to one request that another request gets: a server sends a second copy
// of each response, which arrives at about the time at which the next request has the connection.
func TestSecondCopy(t *testing.T) {
	const requests = 1000
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{id}"
	for _, delay := range []time.Duration{0, 20 * time.Microsecond, 100 * time.Microsecond} {
		t.Run(delay.String(), func(t *testing.T) {
			server := startRaw(t, &fake.RawServer{Response: response, IDHeader: adapt.RequestIDHeader, Copy: response, CopyDelay: delay, End: fake.RawKeep})
			dialer, cleanup := adapt.NewDialer()
			defer cleanup()
			service, wrong := dialer.PlainService(gypsum.Host{Address: server.Address()}), 0
			for i := range requests {
				id := fmt.Sprintf("%08d", i)
				response, err := service.Do(t.Context(), &gypsum.PlainRequest{ID: gypsum.RequestID(id), Method: "GET", Path: "/"})
				if err == nil && string(response.Body) != id {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d requests got the response to another one", wrong, requests)
			}
		})
	}
}

// TestRedirects guards against calls that are answered by another server, or by another call, since a server redirects
// them.
func TestRedirects(t *testing.T) {
	other := startRaw(t, &fake.RawServer{Response: fake.CompleteResponse("HTTP/1.1 200 OK\r\n", `{"offset":3}`)})
	dialer, cleanup := adapt.NewDialer()
	defer cleanup()
	calls := map[string]func(address string) error{
		"append": func(address string) error {
			client, cleanup := adapt.NewClient()
			defer cleanup()
			_, err := adapt.NewLog(client, "http://"+address).Append(t.Context(), "s", [][]byte{[]byte("x")})
			return err
		},
		"load order": func(address string) error {
			return dialer.Engine(gypsum.Host{Address: address}).SendLoadOrder(t.Context(), gypsum.LoadOrder{})
		},
		"load report": func(address string) error {
			_, err := dialer.Engine(gypsum.Host{Address: address}).FetchLoadReport(t.Context())
			return err
		},
		"completion": func(address string) error {
			return dialer.Engine(gypsum.Host{Address: address}).Generate(t.Context(), &gypsum.Generation{ID: "r", MaxTokens: 1}, func(*gypsum.Chunk) error { return nil })
		},
	}
	for _, status := range []string{"301 Moved Permanently", "302 Found", "303 See Other", "307 Temporary Redirect", "308 Permanent Redirect"} {
		for name, call := range calls {
			t.Run(status+"/"+name, func(t *testing.T) {
				is := is.New(t)
				server := startRaw(t, &fake.RawServer{Response: fake.CompleteResponse("HTTP/1.1 "+status+"\r\nLocation: http://"+other.Address()+"/x\r\nContent-Length: 0\r\n", "")})
				before := other.Requests()
				is.True(call(server.Address()) != nil)
				is.Equal(other.Requests(), before)
			})
		}
	}
}

// TestNoise guards against bytes with status 200 that are no response of the system that was called: nothing is
// appended, no log is empty, no host gone and no engine started again because of them.
func TestNoise(t *testing.T) {
	dialer, cleanup := adapt.NewDialer()
	t.Cleanup(cleanup)
	client, cleanup := adapt.NewClient()
	t.Cleanup(cleanup)
	for name, row := range map[string]struct {
		call         func(address string) error
		noise, sound []string
	}{
		"append": {func(address string) error {
			_, err := adapt.NewLog(client, "http://"+address).Append(t.Context(), "s", [][]byte{[]byte("x")})
			return err
		}, []string{`{"offset":null}`, `{"offset":-1}`}, []string{`{"offset":0}`}},
		"read": {func(address string) error {
			_, err := adapt.NewLog(client, "http://"+address).Read(t.Context(), gypsum.LogRead{Stream: "s", Max: 1})
			return err
		}, []string{`{"records":[]}`, `{"first":3,"next":1}`, `{"first":-1,"next":1}`}, []string{`{"records":null,"first":0,"next":0}`}},
		"hosts": {func(address string) error {
			_, err := adapt.NewHostList(client, "http://"+address).Hosts(t.Context())
			return err
		}, nil, []string{`[]`}},
		"latest version": {func(address string) error {
			_, err := adapt.NewWeightStore(client, "http://"+address).LatestVersion(t.Context(), "m")
			return err
		}, []string{`{"version":null}`}, []string{`{"version":0}`, `{"version":7}`}},
		"load report": {func(address string) error {
			_, err := dialer.PlainService(gypsum.Host{Address: address}).FetchLoadReport(t.Context())
			return err
		}, []string{`{"running":1}`}, []string{`{"incarnation":1}`}},
	} {
		check := func(kind, body string, isSound bool) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				server := startRaw(t, &fake.RawServer{Response: fake.CompleteResponse("HTTP/1.1 200 OK\r\n", body)})
				if err := row.call(server.Address()); (err == nil) != isSound {
					t.Errorf("%s: sound %t, error %v", body, isSound, err)
				}
			})
		}
		for i, body := range append(row.noise, "{}", "null", "", "OK", `{"error":"x"}`, `{"offset":`) {
			check(fmt.Sprint("noise ", i), body, false)
		}
		for i, body := range row.sound {
			check(fmt.Sprint("sound ", i), body, true)
		}
	}
}
