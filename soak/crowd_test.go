package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
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
	crowdHeadBytes = 15 << 10
	crowdBodyBytes = 1 << 20
	crowdValues    = 100_000
)

// crowdPort is a port of a daemon.
type crowdPort func(*daemonProcess) int

func clientPort(d *daemonProcess) int    { return d.frontPort }
func readinessPort(d *daemonProcess) int { return d.readyPort }
func internalPort(d *daemonProcess) int  { return d.innerPort }

// crowdCase is a crowd of clients at a port of a daemon.
type crowdCase struct {
	name   string
	port   crowdPort
	size   int
	behave check.Behaviour
	// prepare runs before the crowd starts, nil for nothing.
	prepare func(load *workload)
	// silent means that the replicas of the plain service do not respond while the crowd is there.
	silent bool
}

// crowdIDLine is the header line with the ID of a crowd's request.
const crowdIDLine = platform.HeaderRequestID + ": crowd"

// requestHead returns the head of a request without its last line.
func requestHead(method, target, fields string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: " + routeHost + "\r\n" + crowdIDLine + "\r\n" + platform.HeaderDeadline + ": 3000\r\n" + fields
}

// wholeRequest returns a request with further header lines. Body is what is sent of a body of a length.
func wholeRequest(method, target string, lines []byte, length int, body []byte) []byte {
	head := requestHead(method, target, fmt.Sprintf("Content-Length: %d\r\n", length))
	return append([]byte(head+string(lines)+"\r\n"), body...)
}

// tinyItems returns a batch of a size in bytes with as many items as fit.
func tinyItems(size int) []byte {
	var content bytes.Buffer
	content.WriteString(`{"model":"` + model + `","items":[`)
	for i := 0; content.Len() < size-40; i++ {
		if i > 0 {
			content.WriteByte(',')
		}
		fmt.Fprintf(&content, `{"id":"%x","path":"/"}`, i)
	}
	content.WriteString("]}")
	return content.Bytes()
}

// crowdBatch is a batch with one item, whose body is large.
const crowdBatch = "crowd-batch"

// submitLargeItem submits crowdBatch.
func submitLargeItem(load *workload) {
	batch := &gypsum.Batch{ID: crowdBatch, Model: model, Items: []gypsum.BatchItem{{ID: "large.1", Path: "/t/x", Body: bytes.Repeat([]byte("x"), 100<<10), Tokens: 10, Group: "g"}}}
	content, err := mimic.EncodeBatch(batch)
	if err != nil {
		load.env.t.Fatal(err)
	}
	if status, _ := load.sendRequest(load.env.t.Context(), load.env.daemons[0], http.MethodPost, "/t/x", crowdBatch, content); status != http.StatusAccepted {
		load.env.t.Fatalf("batch: status %d", status)
	}
}

// submitForever returns a behaviour that submits one batch after the other, each under an ID of its own.
func submitForever(items []byte) check.Behaviour {
	var submitted atomic.Int64
	return check.RequestForever(func() []byte {
		id := fmt.Appendf(nil, crowdIDLine+"-%d", submitted.Add(1))
		return bytes.Replace(wholeRequest(http.MethodPost, "/t/crowd", nil, len(items), items), []byte(crowdIDLine), id, 1)
	})
}

// sendCompressed returns a behaviour that sends a large message that is compressed to a small one.
func sendCompressed(head string) check.Behaviour {
	return func(ctx context.Context, conn net.Conn, member int) error {
		content, err := check.Compressed(60 << 20)
		if err != nil {
			return err
		}
		head := strings.Replace(fmt.Sprintf(head, len(content)), "Connect-", "Content-Encoding: gzip\r\nConnect-", 1)
		return check.SendAndHold(append([]byte(head), content...))(ctx, conn, member)
	}
}

// forwardedRequest returns a request of a daemon that forwards one whose header has a number of lists of
// empty values, and whose body has a length. All but the last missing bytes are sent.
func forwardedRequest(lists, length, missing int) []byte {
	values := append(binary.BigEndian.AppendUint32([]byte{0x9a}, crowdValues), bytes.Repeat([]byte{0x60}, crowdValues)...)
	message := []byte{0xa2, 6, 0xa0 | byte(lists)}
	for i := range lists {
		message = append(append(message, 0x61, 'a'+byte(i)), values...)
	}
	message = binary.BigEndian.AppendUint32(append(message, 7, 0x5a), uint32(length))
	message = append(message, bytes.Repeat([]byte("x"), length)...)
	// A message of a stream begins with flags and its length.
	message = append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	head := fmt.Sprintf("POST /gypsumhook.inner.v1/replica_forward HTTP/1.1\r\nHost: x\r\nContent-Type: application/connect+cbor\r\nConnect-Protocol-Version: 1\r\nContent-Length: %d\r\n\r\n", len(message))
	return append([]byte(head), message[:len(message)-missing]...)
}

// recordOrigins returns a behaviour that sends one message of a daemon after the other with origins of streams
// whose requests have long IDs of their own.
func recordOrigins(head string) check.Behaviour {
	var sent atomic.Int64
	return check.RequestForever(func() []byte {
		message := []byte{0xa1, 1, 0x88}
		for range 8 {
			id := fmt.Appendf(nil, "%0*d", crowdHeadBytes, sent.Add(1))
			message = append(binary.BigEndian.AppendUint16(append(message, 0xa1, 1, 0x79), uint16(len(id))), id...)
		}
		return append(fmt.Appendf(nil, head, len(message)), message...)
	})
}

// crowdCases returns the crowds.
func crowdCases() []crowdCase {
	shortLines, equalLines := check.HeaderLines("a", crowdHeadBytes), bytes.Repeat([]byte("a:\r\n"), crowdHeadBytes/4)
	manyLines := check.HeaderLines("a", 60<<10)
	start := []byte(requestHead(http.MethodGet, "/i/crowd", ""))
	emptyLines := bytes.Repeat([]byte("\r\n"), 2<<10)
	body := bytes.Repeat([]byte("x"), crowdBodyBytes)
	feed := "POST /gypsumhook.inner.v1/feed HTTP/1.1\r\nHost: x\r\nContent-Type: application/cbor\r\nConnect-Protocol-Version: 1\r\nContent-Length: %d\r\n\r\n"
	record := strings.Replace(feed, "/feed ", "/stream_origin_record ", 1)
	parts := check.CBORObjects(1, 100_000)
	metrics := []byte("GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n")
	small := wholeRequest(http.MethodGet, "/i/crowd", nil, 0, nil)
	items := tinyItems(crowdBodyBytes)
	return []crowdCase{
		{name: "heads without end", port: clientPort, size: crowdSize, behave: check.SendForever(start, shortLines)},
		{name: "heads over the limit are held", port: clientPort, size: crowdSize, behave: check.SendAndHold(append(bytes.Clone(start), manyLines...))},
		{name: "heads within the limit are held", port: clientPort, size: crowdSize, behave: check.SendAndHold(append(bytes.Clone(start), shortLines...))},
		{name: "heads come slowly", port: clientPort, size: crowdSize, behave: check.SendSlowly(append(bytes.Clone(start), shortLines...), manyLines, 20*time.Millisecond)},
		{name: "empty lines without end", port: clientPort, size: crowdSize, behave: check.SendForever(emptyLines, emptyLines)},
		{name: "empty lines after a request", port: clientPort, size: crowdSize, behave: check.SendForever(wholeRequest(http.MethodPost, "/i/crowd", nil, 1, []byte("x")), emptyLines)},
		{name: "short lines, no body", port: clientPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/i/crowd", shortLines, 10, nil))},
		{name: "equal lines, no body", port: clientPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/i/crowd", equalLines, 10, nil))},
		{name: "short lines, forwarded", port: clientPort, size: crowdSize, silent: true, behave: check.SendAndHold(wholeRequest(http.MethodGet, "/i/crowd", shortLines, 0, nil))},
		{name: "connections without a byte", port: clientPort, size: 2 * crowdSize, behave: check.SendAndHold(nil)},
		{name: "idle connections", port: clientPort, size: 2 * crowdSize, behave: check.SendAndHold(small)},
		{name: "bodies that never come", port: clientPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/i/crowd", nil, len(body), nil))},
		{name: "bodies that stop", port: clientPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/i/crowd", nil, len(body), body[:len(body)-1]))},
		{name: "bodies that come slowly", port: clientPort, size: crowdSize, behave: check.SendSlowly(wholeRequest(http.MethodPost, "/i/crowd", nil, len(body), body[:len(body)/2]), body, 20*time.Millisecond)},
		{name: "batches of tiny items", port: clientPort, size: 40, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/t/crowd", nil, len(items), items))},
		{name: "different batches of tiny items", port: clientPort, size: 40, behave: func(ctx context.Context, conn net.Conn, member int) error {
			request := wholeRequest(http.MethodPost, "/t/crowd", nil, len(items), items)
			return check.SendAndHold(bytes.Replace(request, []byte(crowdIDLine), fmt.Appendf(nil, crowdIDLine+"-%d", member), 1))(ctx, conn, member)
		}},
		{name: "batches that are accepted", port: clientPort, size: 40, behave: submitForever(tinyItems(crowdBodyBytes / 10))},
		{name: "responses that nobody reads", port: clientPort, size: crowdSize, prepare: submitLargeItem, behave: check.SendForever(wholeRequest(http.MethodGet, mimic.ItemTarget(crowdBatch, "large.1"), nil, 0, nil), wholeRequest(http.MethodGet, mimic.ItemTarget(crowdBatch, "large.1"), nil, 0, nil))},
		{name: "large responses that nobody reads", port: clientPort, size: crowdSize, behave: check.SendAndHold(wholeRequest(http.MethodPost, "/i/crowd", nil, len(body)/3, body[:len(body)/3]))},
		{name: "parameters without end", port: clientPort, size: crowdSize, prepare: submitLargeItem, behave: check.SendForever(nil, wholeRequest(http.MethodGet, mimic.ItemTarget(crowdBatch, "large.1")+strings.Repeat("&a", crowdHeadBytes/2), nil, 0, nil))},
		{name: "bodies of very many chunks", port: clientPort, size: crowdSize, behave: check.SendForever([]byte(requestHead(http.MethodPost, "/i/crowd", "Transfer-Encoding: chunked\r\n\r\n")), bytes.Repeat([]byte("1\r\nx\r\n"), 1000))},
		{name: "requests without end", port: clientPort, size: crowdSize, behave: check.SendForever(small, bytes.Repeat(small, 10))},
		{name: "heads at the readiness check", port: readinessPort, size: crowdSize, behave: check.SendAndHold(append(bytes.Clone(start), manyLines...))},
		{name: "connections at the readiness check", port: readinessPort, size: 2 * crowdSize, behave: check.SendAndHold(nil)},
		{name: "metrics that nobody reads at the readiness check", port: readinessPort, size: crowdSize, behave: check.SendForever(metrics, bytes.Repeat(metrics, 1000))},
		{name: "metrics that nobody reads at the internal port", port: internalPort, size: crowdSize, behave: check.SendForever(metrics, bytes.Repeat(metrics, 1000))},
		{name: "origins of requests with long identifiers", port: internalPort, size: 40, behave: recordOrigins(record)},
		{name: "forwarded requests of many parts", port: internalPort, size: 60, behave: check.SendAndHold(forwardedRequest(4, 1, 0))},
		{name: "forwarded requests that stop", port: internalPort, size: 60, behave: check.SendAndHold(forwardedRequest(0, crowdBodyBytes, 1))},
		{name: "heads at the internal port", port: internalPort, size: crowdSize, behave: check.SendAndHold(append(bytes.Clone(start), manyLines...))},
		{name: "connections at the internal port", port: internalPort, size: 2 * crowdSize, behave: check.SendAndHold(nil)},
		{name: "bodies at the internal port", port: internalPort, size: 60, behave: check.SendAndHold(append(fmt.Appendf(nil, feed, 60<<20), bytes.Repeat([]byte{0x80}, 8<<20)...))},
		{name: "messages of many parts at the internal port", port: internalPort, size: 60, behave: check.SendAndHold(append(fmt.Appendf(nil, record, len(parts)), parts...))},
		{name: "compressed messages at the internal port", port: internalPort, size: 60, behave: sendCompressed(record)},
		{name: "nested parts at the internal port", port: internalPort, size: 60, behave: check.SendAndHold(append(fmt.Appendf(nil, feed, 400<<10), bytes.Repeat([]byte{0x83, 0xa0, 0xa0, 0xa0}, 100<<10)...))},
	}
}

// TestCrowds checks that clients outside the limits, and very many that use all that these allow, do
// not end a daemon: its memory and its descriptors stay within those of its host, callers on new
// connections and on ones that are open are served, and so is a caller afterwards.
func TestCrowds(t *testing.T) {
	for _, tc := range crowdCases() {
		t.Run(tc.name, func(t *testing.T) {
			env := startTestEnv(&testEnv{t: t, memoryMB: crowdMemoryMB, maxFiles: crowdMaxFiles}, 1)
			daemon := env.daemons[0]
			load, kept := newWorkload(env), newWorkload(env)
			if tc.prepare != nil {
				tc.prepare(load)
			}
			if status, _ := kept.sendRequest(t.Context(), daemon, http.MethodPost, "/i/before", "before", []byte("ordinary")); status != http.StatusOK {
				t.Fatalf("status %d before the crowd", status)
			}
			if tc.silent {
				env.setPlainFault(mimic.FaultSilent)
			}
			crowd := check.StartCrowd(t.Context(), fmt.Sprintf("127.0.0.1:%d", tc.port(daemon)), tc.size, tc.behave)
			stop := time.Now().Add(crowdTime)
			descriptors := 0
			for time.Now().Before(stop) {
				if open, err := check.OpenDescriptors(daemon.pid()); err == nil {
					descriptors = max(descriptors, open)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if !tc.silent {
				checkServed(t, load, "during the crowd, on new connections", true)
				checkServed(t, kept, "during the crowd, on an open connection", false)
			}
			if err := daemon.checkReady(); err != nil {
				t.Errorf("not ready during the crowd: %v", err)
			}
			crowd.Stop()
			env.setPlainFault("")
			checkServed(t, load, "after the crowd", true)
			peak, err := check.PeakMemory(daemon.pid())
			t.Logf("peak of %d KiB and %d descriptors", peak>>10, descriptors)
			if err != nil {
				t.Fatalf("%s ended (%v); its log ends with:\n%s", daemon.name, err, env.logTail(daemon))
			}
			if peak > crowdMemoryMB<<20 {
				t.Errorf("peak of %d KiB, the host has %d", peak>>10, crowdMemoryMB<<10)
			}
			if descriptors > crowdMaxFiles {
				t.Errorf("%d descriptors, the host allows %d", descriptors, crowdMaxFiles)
			}
			if content, err := os.ReadFile(env.logPath(daemon)); err != nil || strings.Contains(string(content), "panic") {
				t.Errorf("panic in the log (%v)", err)
			}
		})
	}
}

// checkServed sends ordinary requests until one is served, each on a new connection or all on those
// that are open.
func checkServed(t *testing.T, load *workload, moment string, newConns bool) {
	t.Helper()
	statuses := make(map[int]int)
	for try := range crowdTries {
		if newConns {
			load.httpClient.CloseIdleConnections()
		}
		status, _ := load.sendRequest(t.Context(), load.env.daemons[0], http.MethodPost, "/i/ordinary", fmt.Sprintf("%s-%d", strings.ReplaceAll(moment, " ", "-"), try), []byte("ordinary"))
		if status == http.StatusOK {
			return
		}
		statuses[status]++
		time.Sleep(crowdTryPause)
	}
	t.Errorf("%s: no request served; responses by status: %v", moment, statuses)
}

// TestLargestRequestsInCalm checks that a single request that uses all that the limits allow is served.
func TestLargestRequestsInCalm(t *testing.T) {
	env := startTestEnv(&testEnv{t: t, memoryMB: crowdMemoryMB, maxFiles: crowdMaxFiles}, 1)
	for name, request := range map[string][]byte{
		"short lines": wholeRequest(http.MethodPost, "/i/largest", check.HeaderLines("a", crowdHeadBytes), 1, []byte("x")),
		"equal lines": wholeRequest(http.MethodPost, "/i/largest", bytes.Repeat([]byte("a:\r\n"), crowdHeadBytes/4), 1, []byte("x")),
		"long lines":  wholeRequest(http.MethodPost, "/i/largest", fmt.Appendf(nil, "a: %s\r\n", strings.Repeat("x", crowdHeadBytes)), 1, []byte("x")),
		"large body":  wholeRequest(http.MethodPost, "/i/largest", nil, crowdBodyBytes, bytes.Repeat([]byte("x"), crowdBodyBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			status, err := check.StatusOf(ctx, env.daemons[0].address(), request)
			if err != nil || status != http.StatusOK {
				t.Errorf("status %d (%v)", status, err)
			}
		})
	}
}
