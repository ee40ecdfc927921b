package front_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

const resumableTarget = "/i/resumed/stream/a"

// newMixedServer starts a frontend whose replicas are of the given software versions.
func newMixedServer(t *testing.T, versions ...gypsum.SoftwareVersion) *testServer {
	s := newTestServerOf(t, versions...)
	s.applyConfig()
	return s
}

// streamText returns the events of a stream from one on as a replica of a version writes them.
func streamText(id string, version gypsum.SoftwareVersion, from int) string {
	var text strings.Builder
	for event := from; event <= 10; event++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s:%d@%s\n\n", event, id, event, version)
	}
	return text.String()
}

// TestStreamMixesSoftwareVersions guards against a response that a replica of another software
// version continues: it is completed by one of the same version, or broken off without one.
func TestStreamMixesSoftwareVersions(t *testing.T) {
	for _, fault := range []mimic.Fault{mimic.FaultTruncated, mimic.FaultStall} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newMixedServer(t, "v1", "v2", "v2", "v1")
			s.replicas[0].SetFault(fault)
			s.preferFirstReplica()
			for number := range 5 {
				id := fmt.Sprint("q", number)
				status, _, body := s.sendRequest("POST", resumableTarget, id, "x")
				is.Equal(status, http.StatusOK)
				is.True(body == streamText(id, "v1", 1) || body == streamText(id, "v2", 1))
			}
			s = newMixedServer(t, "v1", "v2")
			s.replicas[0].SetFault(fault)
			s.preferFirstReplica()
			status, _, _ := s.sendRequest("POST", resumableTarget, "q", "x")
			is.Equal(status, 0) // no other replica of the version
		})
	}
}

// TestSlowStreamWithoutOtherReplica guards against a slow stream that is cut although no other
// replica of its software version could continue it.
func TestSlowStreamWithoutOtherReplica(t *testing.T) {
	is := is.New(t)
	s := newMixedServer(t, "v1", "v2")
	s.preferFirstReplica()
	s.replicas[0].PauseAfter, s.replicas[0].Pause = 5, 1200*time.Millisecond
	status, _, body := s.sendRequest("POST", resumableTarget, "q", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, streamText("q", "v1", 1))
}

// interruptStream sends a request and closes its connection after a few events of the response.
// It returns the bytes of these events.
func (s *testServer) interruptStream(id string, events int) string {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	response, err := http.DefaultTransport.RoundTrip(s.newStreamRequest(ctx, id))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	reader := bufio.NewReader(response.Body)
	for range 3 * events {
		line, err := reader.ReadString('\n')
		if err != nil {
			s.t.Fatal(err)
		}
		text.WriteString(line)
	}
	return text.String()
}

// newStreamRequest returns a request for a resumable stream.
func (s *testServer) newStreamRequest(ctx context.Context, id string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+resumableTarget, strings.NewReader("x"))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "a.example"
	mimic.SetRequestHeaders(request.Header, id, 1500*time.Millisecond, 0)
	return request
}

// resumeStream takes up the stream of a request after an event and returns the status, the
// header and the body of the response.
func (s *testServer) resumeStream(id, first string, after int64) (int, http.Header, string) {
	s.t.Helper()
	request := s.newStreamRequest(s.t.Context(), id)
	mimic.SetResumeHeaders(request.Header, first, after)
	return exchange(request)
}

// TestClientResumesAtOtherSoftwareVersion guards against a stream that its client takes up at
// another host and that a replica of another software version continues. The host that began
// it may be gone.
func TestClientResumesAtOtherSoftwareVersion(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("first host killed ", killed), func(t *testing.T) {
			is := is.New(t)
			first := newMixedServer(t, "v1", "v2", "v1", "v2")
			hosts := []*testServer{first.startPeer("host-2"), first.startPeer("host-3"), first.startPeer("host-4")}
			for _, host := range hosts {
				host.moveFar(func(id gypsum.BackendID) bool { return id != "r-2" })
			}
			first.moveFar(func(id gypsum.BackendID) bool { return id != "r-1" })
			for _, replica := range first.replicas {
				replica.ServiceTime = 10 * time.Millisecond
			}
			begun := make([]string, 8)
			for number := range begun {
				begun[number] = first.interruptStream(fmt.Sprint("q", number), 3)
			}
			time.Sleep(100 * time.Millisecond)
			if killed {
				first.stop()
			} else {
				hosts = append(hosts, first)
			}
			for number, text := range begun {
				version := gypsum.SoftwareVersion("v1")
				if strings.Contains(text, "@v2") {
					version = "v2"
				}
				host := hosts[number%len(hosts)]
				status, _, rest := host.resumeStream(fmt.Sprint("again", number), fmt.Sprint("q", number), 3)
				is.Equal(status, http.StatusOK)
				is.Equal(rest, streamText(fmt.Sprint("again", number), version, 4))
			}
		})
	}
}

// settleSoftware stores that the replicas have had one software version for long.
func (s *testServer) settleSoftware(version gypsum.SoftwareVersion) {
	is, ctx := is.New(s.t), s.t.Context()
	is.NoErr(s.origins.Records.RecordSoftware(ctx, "desk", []gypsum.SoftwareVersion{version}))
	record, ok := s.origins.Records.RecordedSoftware("desk")
	is.True(ok)
	is.NoErr(s.origins.Records.SettleSoftware(ctx, "desk", record.Offset))
}

// TestStreamOfUnknownSoftwareVersion checks that a stream is not taken up while it is not known
// which software version began it, and that it is where only one has served for long.
func TestStreamOfUnknownSoftwareVersion(t *testing.T) {
	is := is.New(t)
	s := newMixedServer(t, "v1", "v2")
	status, header, _ := s.resumeStream("q1", "q0", 3)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(s.executionCount("q1"), 0)
	s = newMixedServer(t, "v1", "v1")
	status, _, _ = s.resumeStream("q1", "q0", 3)
	is.Equal(status, http.StatusServiceUnavailable) // another version may have served until now
	s.settleSoftware("v1")
	status, _, body := s.resumeStream("q2", "q0", 3)
	is.Equal(status, http.StatusOK)
	is.Equal(body, streamText("q2", "v1", 4))
}
