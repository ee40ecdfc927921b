package procs

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum/check"
)

// Settings of the daemon in tests with a crowd of clients, which are also the bounds of its memory
// and of its descriptors.
const (
	crowdMemoryMB  = 96
	crowdMaxFiles  = 400
	crowdTime      = 4 * time.Second
	crowdSize      = 300
	crowdTries     = 40
	crowdTryPause  = 50 * time.Millisecond
	crowdHeadBytes = 60 << 10
	crowdBodyBytes = 7 << 20
	crowdKeptBytes = 12 << 10
	crowdLimits    = "\n[limits]\nmemory = %d\ndescriptors = %d\n"
)

// crowdPort is a port of a daemon.
type crowdPort func(*daemonProcess) string

func callerPort(p *daemonProcess) string   { return p.callerAddress }
func peerPort(p *daemonProcess) string     { return p.peerAddress }
func operatorPort(p *daemonProcess) string { return p.operatorAddress }

// crowdCase is a crowd of clients at a port of a daemon.
type crowdCase struct {
	name   string
	port   crowdPort
	size   int
	behave check.Behaviour
	// silent means that the replicas of the plain service do not respond while the crowd is there.
	silent bool
}

// requestHead returns the head of a request without its last line.
func requestHead(method, target, fields string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + fields
}

// wholeRequest returns a request with further header lines. Body is what is sent of a body of a length.
func wholeRequest(method, target, lines string, length int, body []byte) []byte {
	return append([]byte(requestHead(method, target, fmt.Sprintf("Content-Length: %d\r\n", length))+lines+"\r\n"), body...)
}

// connectLines are the header lines of a call of a procedure.
const connectLines = "Content-Type: application/%s\r\nConnect-Protocol-Version: 1\r\n"

// Types of HTTP/2 frames, the flag of a complete header and an error code (RFC 9113, 6 and 7).
const (
	frameHeaders    = 1
	frameReset      = 3
	frameSettings   = 4
	framePing       = 6
	flagEndStream   = 1
	flagEndHeaders  = 4
	errorCodeCancel = 8
)

// http2Frame returns a frame.
func http2Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	frame = binary.BigEndian.AppendUint32(append(frame, flags), stream)
	return append(frame, payload...)
}

// http2Start is the start of an HTTP/2 connection, with a payload of its settings.
func http2Start(settings []byte) []byte {
	return append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), http2Frame(frameSettings, 0, 0, settings)...)
}

// noWindow is the setting of a connection whose client takes no bytes of responses.
var noWindow = []byte{0, 4, 0, 0, 0, 0}

// http2Requests returns the start of an HTTP/2 connection with requests of fieldCount short header
// fields. Without flagEndStream, their bodies do not come.
func http2Requests(settings []byte, target string, streams, fieldCount int, flags byte) []byte {
	content, block := http2Start(settings), headerBlock(target, fieldCount)
	for i := range streams {
		content = append(content, http2Frame(frameHeaders, flagEndHeaders|flags, uint32(2*i+1), block)...)
	}
	return content
}

// resetForever returns a behaviour that sends HTTP/2 requests of fieldCount short header fields and
// cancels each at once.
func resetForever(target string, fieldCount int) check.Behaviour {
	block, reset := headerBlock(target, fieldCount), binary.BigEndian.AppendUint32(nil, errorCodeCancel)
	return func(ctx context.Context, conn net.Conn, _ int) error {
		if _, err := conn.Write(http2Start(nil)); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		for stream := uint32(1); ctx.Err() == nil; stream += 2 {
			request := append(http2Frame(frameHeaders, flagEndHeaders, stream, block), http2Frame(frameReset, 0, stream, reset)...)
			if _, err := conn.Write(request); err != nil {
				return fmt.Errorf("send: %w", err)
			}
		}
		return ctx.Err()
	}
}

// newKeys returns a behaviour that sends requests that are not idempotent, each under a key of its own. Unless
// it leaves, it reads each response before the next request.
func newKeys(body []byte, leaves bool) check.Behaviour {
	var sent atomic.Int64
	next := func() []byte {
		key := fmt.Sprintf("Idempotency-Key: %0200d\r\n", sent.Add(1))
		return wholeRequest(http.MethodPost, plainTarget, key, len(body), body)
	}
	if !leaves {
		return check.RequestForever(next)
	}
	return func(_ context.Context, conn net.Conn, _ int) error {
		if _, err := conn.Write(next()); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		return nil
	}
}

// sizeParameter makes the response of the plain service longer.
const sizeParameter = "size"

// plainTarget is a target of the plain service.
const plainTarget = "/services/" + string(check.PlainService) + "/x"

// headerBlock returns the header of a request with fieldCount short fields.
func headerBlock(target string, fieldCount int) []byte {
	var block bytes.Buffer
	// The fields are literals without indexing (RFC 7541, 6.2.2).
	field := func(name, value string) {
		block.WriteByte(0)
		block.WriteByte(byte(len(name)))
		block.WriteString(name)
		block.WriteByte(byte(len(value)))
		block.WriteString(value)
	}
	field(":method", http.MethodPost)
	field(":scheme", "http")
	field(":path", target)
	field(":authority", "x")
	for i := range fieldCount {
		field(fmt.Sprintf("a%x", i), "")
	}
	return block.Bytes()
}

// crowdCases returns the crowds.
func crowdCases() []crowdCase {
	shortLines := string(check.HeaderLines("a", crowdHeadBytes))
	start := requestHead(http.MethodGet, "/services/desk/x", "")
	emptyLines := bytes.Repeat([]byte("\r\n"), 2<<10)
	body := bytes.Repeat([]byte("x"), crowdBodyBytes)
	prompts := append([]byte(`{"session":1,"number":1,"prompts":[""`), bytes.Repeat([]byte(`,""`), 2<<20)...)
	pull, put := "/v1/plans/plan/pull", "/gypsumhook.operator.v1.OperatorService/PutService"
	gossip, proto, cbor := "/gypsumhook.inner.v1/gossip", fmt.Sprintf(connectLines, "proto"), fmt.Sprintf(connectLines, "cbor")
	small := wholeRequest(http.MethodGet, "/healthz", "", 0, nil)
	compressed, err := check.Compressed(60 << 20)
	if err != nil {
		panic(err)
	}
	parts := check.CBORObjects(2, 100_000)
	// A plan of 4 MiB with empty prompts.
	emptyPrompts := append([]byte{0x12, 0x80, 0x80, 0x80, 0x02}, bytes.Repeat([]byte{0x22, 0}, 2<<20)...)
	cases := []crowdCase{
		{name: "compressed messages at the peers' port", port: peerPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, gossip, cbor+"Content-Encoding: gzip\r\n", len(compressed), compressed))},
		{name: "compressed messages at the operators' port", port: operatorPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, put, proto+"Content-Encoding: gzip\r\n", len(compressed), compressed))},
		{name: "messages of many parts at the peers' port", port: peerPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, gossip, cbor, len(parts), parts))},
		{name: "messages of many parts at the operators' port", port: operatorPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/gypsumhook.operator.v1.OperatorService/PutPlan", proto, len(emptyPrompts), emptyPrompts))},
		{name: "empty lines without end", port: callerPort, size: crowdSize, behave: check.SendForever(emptyLines, emptyLines)},
		{name: "heads come slowly", port: callerPort, size: crowdSize, behave: check.SendSlowly([]byte(start+shortLines), []byte(shortLines), 20*time.Millisecond)},
		{name: "short lines, no body", port: callerPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/v1/completions", shortLines, 10, nil))},
		{name: "idle connections", port: callerPort, size: 2 * crowdSize, behave: check.SendAndHold(small)},
		{name: "requests without end", port: callerPort, size: crowdSize, behave: check.SendForever(small, bytes.Repeat(small, 10))},
		{name: "bodies that never come", port: callerPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/v1/completions", "", len(body), nil))},
		{name: "bodies that stop", port: callerPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/v1/completions", "", len(body), body[:len(body)-1]))},
		{name: "pulls of many parts", port: callerPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, pull, "", len(prompts)+2, append(prompts, "]}"...)))},
		{name: "large responses that nobody reads", port: callerPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPut, plainTarget, "", len(body), body))},
		{name: "responses far larger than requests", port: callerPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodGet, fmt.Sprintf("%s?%s=%d", plainTarget, sizeParameter, crowdBodyBytes), "", 0, nil))},
		{name: "responses like their requests, which nobody reads", port: callerPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPut, plainTarget, "", crowdBodyBytes/16, body[:crowdBodyBytes/16]))},
		{name: "responses under new keys", port: callerPort, size: crowdSize, behave: newKeys(body[:crowdKeptBytes], false)},
		{name: "bodies under new keys, clients that leave", port: callerPort, size: 40, silent: true, behave: newKeys(body, true)},
		{name: "parameters without end", port: callerPort, size: crowdSize, behave: check.SendForever(nil, wholeRequest(http.MethodGet, plainTarget+"?"+strings.Repeat("a&", crowdHeadBytes/2), "", 0, nil))},
		{name: "streams that are cancelled", port: callerPort, size: 100, behave: resetForever("/v1/completions", 1700)},
		{name: "bodies at the peers' port", port: peerPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, gossip, cbor, 60<<20, bytes.Repeat([]byte{0x80}, crowdBodyBytes)))},
		{name: "bodies at the operators' port", port: operatorPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, put, proto, 1<<30, body))},
	}
	for name, port := range map[string]crowdPort{"callers'": callerPort, "peers'": peerPort, "operators'": operatorPort} {
		cases = append(cases,
			crowdCase{name: "heads without end at the " + name + " port", port: port, size: crowdSize, behave: check.SendForever([]byte(start), []byte(shortLines))},
			crowdCase{name: "heads are held at the " + name + " port", port: port, size: crowdSize, behave: check.SendAndHold([]byte(start + shortLines))},
			crowdCase{name: "connections at the " + name + " port", port: port, size: 2 * crowdSize, behave: check.SendAndHold(nil)},
			crowdCase{name: "pings at the " + name + " port", port: port, size: crowdSize, behave: check.SendForever(http2Start(nil), bytes.Repeat(http2Frame(framePing, 0, 0, make([]byte, 8)), 1000))},
			crowdCase{name: "streams at the " + name + " port", port: port, size: 30, behave: check.SendAndHold(http2Requests(nil, "/v1/completions", 100, 1700, 0))},
			crowdCase{name: "streams without a window at the " + name + " port", port: port, size: 30, behave: check.SendAndHold(http2Requests(noWindow, "/healthz", 200, 1700, flagEndStream))},
		)
	}
	return cases
}

// TestCrowds checks that clients outside the limits, and very many that use all that these allow, do
// not end a daemon: its memory and its descriptors stay within those of its host, callers on new
// connections and on ones that are open are served, and so is a caller afterwards.
func TestCrowds(t *testing.T) {
	for _, tc := range crowdCases() {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.limits = fmt.Sprintf(crowdLimits, crowdMemoryMB<<20, crowdMaxFiles)
			env.startDaemon("genova-1", newLocation("genova", "liguria"))
			env.waitFor("ready", func() bool { return env.isReady("genova-1") })
			env.createServices()
			env.waitFor("configuration in force", func() bool { return env.isInForce(3) })
			daemon, kept := env.daemons["genova-1"], &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
			checkServed(t, daemon, kept, "before the crowd")
			if tc.silent {
				env.freezePlain(true)
			}
			crowd := check.StartCrowd(t.Context(), tc.port(daemon), tc.size, tc.behave)
			descriptors, pid := 0, daemon.cmd.Process.Pid
			for stop := time.Now().Add(crowdTime); time.Now().Before(stop); time.Sleep(crowdTryPause) {
				if open, err := check.OpenDescriptors(pid); err == nil {
					descriptors = max(descriptors, open)
				}
			}
			if !tc.silent {
				checkServed(t, daemon, nil, "during the crowd, on new connections")
				checkServed(t, daemon, kept, "during the crowd, on an open connection")
			}
			if err := env.checkReady("genova-1"); err != nil {
				t.Errorf("not ready during the crowd: %v", err)
			}
			if err := env.checkReadyAt(daemon.operatorAddress); err != nil {
				t.Errorf("not ready at the operators' port during the crowd: %v", err)
			}
			crowd.Stop()
			env.freezePlain(false)
			checkServed(t, daemon, nil, "after the crowd")
			peak, err := check.PeakMemory(pid)
			t.Logf("peak of %d KiB and %d descriptors", peak>>10, descriptors)
			if err != nil {
				t.Fatalf("the daemon ended: %v", err)
			}
			if peak > crowdMemoryMB<<20 {
				t.Errorf("peak of %d KiB, the host has %d", peak>>10, crowdMemoryMB<<10)
			}
			if descriptors > crowdMaxFiles {
				t.Errorf("%d descriptors, the host allows %d", descriptors, crowdMaxFiles)
			}
		})
	}
}

// freezePlain stops the replicas of the plain service, or lets them go on.
func (env *testEnv) freezePlain(frozen bool) {
	for _, replica := range env.plainReplicas {
		if frozen {
			replica.Freeze()
		} else {
			replica.Unfreeze()
		}
	}
}

// checkServed sends ordinary requests until one is served, with a client or, without one, each on a
// new connection.
func checkServed(t *testing.T, daemon *daemonProcess, httpClient *http.Client, moment string) {
	t.Helper()
	if httpClient == nil {
		httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	}
	statuses := make(map[string]int)
	for range crowdTries {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+daemon.callerAddress+plainTarget, strings.NewReader("ordinary"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := httpClient.Do(request)
		if err != nil {
			statuses["failed"]++
		} else {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			statuses[response.Status]++
		}
		cancel()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(crowdTryPause)
	}
	t.Errorf("%s: no request served; responses by status: %v", moment, statuses)
}

// TestLargestRequestsInCalm checks that a single request that uses all that the limits allow is served.
func TestLargestRequestsInCalm(t *testing.T) {
	env := newTestEnv(t)
	env.limits = fmt.Sprintf(crowdLimits, crowdMemoryMB<<20, crowdMaxFiles)
	env.startDaemon("genova-1", newLocation("genova", "liguria"))
	env.waitFor("ready", func() bool { return env.isReady("genova-1") })
	env.createServices()
	env.waitFor("configuration in force", func() bool { return env.isInForce(3) })
	target := plainTarget
	for name, request := range map[string][]byte{
		"short lines": wholeRequest(http.MethodPut, target, string(check.HeaderLines("a", crowdHeadBytes)), 1, []byte("x")),
		"long lines":  wholeRequest(http.MethodPut, target, "a: "+strings.Repeat("x", crowdHeadBytes)+"\r\n", 1, []byte("x")),
		"large body":  wholeRequest(http.MethodPut, target, "", crowdBodyBytes, bytes.Repeat([]byte("x"), crowdBodyBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			status, err := check.StatusOf(ctx, env.daemons["genova-1"].callerAddress, request)
			if err != nil || status != http.StatusOK {
				t.Errorf("status %d (%v)", status, err)
			}
		})
	}
}
