package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// Timing of the workload, and sizes of its batches. callTimeout is longer than the
// deadline of 3 s that requests state.
const (
	callPause    = 15 * time.Millisecond
	callTimeout  = 4500 * time.Millisecond
	readPause    = 150 * time.Millisecond
	stepPause    = 200 * time.Millisecond
	itemsPerStep = 12
	// rewardPrefix is the path prefix of reward calls, which every second batch has.
	rewardPrefix = "/r/"
	// streamPrefix is the path prefix of resumable streams.
	streamPrefix = "/i/stream/"
	// streamEvents is the number of events of a stream, streamTries how often a client tries.
	streamEvents = 10
	streamTries  = 6
	// maxAttempts is the number of attempts that the routes allow.
	maxAttempts   = 3
	maxItemTokens = 120
)

// workload is the load of callers and a trainer on a test environment, with a record of
// the responses.
type workload struct {
	env        *testEnv
	httpClient *http.Client
	// apiKey is the key of all requests, empty for none.
	apiKey string

	mu sync.Mutex
	// refusedIDs are the non-idempotent requests that were refused as not run.
	refusedIDs       []string
	nonIdempotentIDs []string
	served           int
	calls            int
	batches          []*observedBatch
	version          gypsum.WeightVersion
	// streams and brokenStreams count the streams whose first event arrived, and the tries to
	// take them up again; resumedStreams counts those tries that brought an event.
	streams, brokenStreams, resumedStreams int
}

// streamEvent is an event of a stream, with the software version of its replica.
type streamEvent struct {
	number   int64
	software string
}

// observedBatch is a batch as observed by the trainer that submitted it.
type observedBatch struct {
	id         string
	items      []string
	minVersion gypsum.WeightVersion
	accepted   bool
	// outcomeUnknown is set if it is not known whether the batch was stored: a submission
	// failed other than by a refusal, or ctx ended before a response came.
	outcomeUnknown bool
	scored         bool
	// endedEarly is set if the trainer has ended the batch before all items had results, or
	// may have: only a refusal says that the end did not take effect.
	endedEarly bool
	results    []gypsum.BatchResult
}

// newWorkload returns a workload that is not started yet. Its HTTP client reuses idle
// connections until the server closes them.
func newWorkload(env *testEnv) *workload {
	return &workload{env: env, version: 1, httpClient: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// sendRequest sends a request to a daemon and returns the status and body of the response. The
// status is 0 if there was no complete response.
func (w *workload) sendRequest(ctx context.Context, daemon *daemonProcess, method, target, id string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.address()+target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		w.env.t.Error(err)
		return 0, nil
	}
	req.ContentLength = int64(len(body))
	req.Host = routeHost
	mimic.SetRequestHeaders(req.Header, id, 3*time.Second, 200*time.Millisecond)
	w.setKey(req)
	resp, err := w.httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, content
}

// setKey sets the key of a request, and an account that its client pretends to be of.
func (w *workload) setKey(req *http.Request) {
	if w.apiKey != "" {
		mimic.SetAPIKey(req.Header, w.apiKey, "pretended")
	}
}

func (w *workload) randomDaemon(rng *rand.Rand) *daemonProcess {
	return w.env.daemons[rng.IntN(len(w.env.daemons))]
}

// sendLiveRequests sends idempotent and non-idempotent requests in turn until ctx ends
// and checks that the body of each successful response belongs to its request.
func (w *workload) sendLiveRequests(ctx context.Context, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		target, nonIdempotent := "/i/x?n="+id, n%2 == 1
		if nonIdempotent {
			target = "/n/x?n=" + id
		}
		status, body := w.sendRequest(ctx, w.randomDaemon(rng), http.MethodPost, target, id, []byte(name))
		if status == http.StatusOK && string(body) != mimic.PlainResponseBody(id, target, []byte(name)) {
			w.env.t.Errorf("request %s got an unexpected response body: %q", id, body)
		}
		w.mu.Lock()
		w.calls++
		if nonIdempotent {
			w.nonIdempotentIDs = append(w.nonIdempotentIDs, id)
		}
		switch status {
		case http.StatusOK:
			w.served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if nonIdempotent {
				w.refusedIDs = append(w.refusedIDs, id)
			}
		}
		w.mu.Unlock()
		time.Sleep(callPause)
	}
}

// runStreams requests streams until ctx ends. It takes each up again at another daemon, after the
// last event that arrived, until it is complete.
func (w *workload) runStreams(ctx context.Context, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		var events []streamEvent
		first := ""
		for try := range streamTries {
			id := fmt.Sprintf("%s-%d-%d", name, n, try)
			begun, readCount := len(events), streamEvents
			if rng.IntN(3) == 0 {
				readCount = 1 + rng.IntN(streamEvents) // the client's connection breaks
			}
			events = append(events, w.readStream(ctx, w.randomDaemon(rng), id, first, int64(begun), readCount)...)
			if begun == 0 && len(events) > 0 {
				first = id
				w.countStreams(1, 0, 0)
			}
			if begun > 0 && ctx.Err() == nil {
				w.countStreams(0, 1, min(1, len(events)-begun))
			}
			if len(events) >= streamEvents || ctx.Err() != nil {
				break
			}
			time.Sleep(readPause)
		}
		for _, violation := range streamViolations(first, events) {
			w.env.t.Error(violation)
		}
		time.Sleep(callPause)
	}
}

// countStreams counts streams, tries to take them up again and those that brought an event.
func (w *workload) countStreams(begun, broken, resumed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams, w.brokenStreams, w.resumedStreams = w.streams+begun, w.brokenStreams+broken, w.resumedStreams+resumed
}

// readStream requests a stream, from the event after a number on, and returns the events that
// arrive, at most count. first is the request that brought the first event.
func (w *workload) readStream(ctx context.Context, daemon *daemonProcess, id, first string, after int64, count int) []streamEvent {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.address()+streamPrefix+"x", http.NoBody)
	if err != nil {
		w.env.t.Error(err)
		return nil
	}
	req.Host = routeHost
	mimic.SetRequestHeaders(req.Header, id, 3*time.Second, 0)
	w.setKey(req)
	if after > 0 {
		mimic.SetResumeHeaders(req.Header, first, after)
	}
	resp, err := w.httpClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	var events []streamEvent
	reader := platform.NewEventReader(resp.Body, 0)
	for len(events) < count {
		event, err := reader.Next()
		if err != nil {
			break
		}
		_, software, _ := strings.Cut(event.Data, "@")
		events = append(events, streamEvent{event.Number, software})
	}
	return events
}

// runTrainer submits a batch for one step after another until ctx ends and reads the
// results. It ends some batches early, and publishes a weight version every second step.
func (w *workload) runTrainer(ctx context.Context, name string, rng *rand.Rand) {
	for step := 0; ctx.Err() == nil; step++ {
		observed := &observedBatch{id: fmt.Sprintf("%s-%d", name, step), minVersion: max(1, w.version-1), scored: step%2 == 0}
		w.mu.Lock()
		w.batches = append(w.batches, observed)
		w.mu.Unlock()
		w.submitBatch(ctx, observed, rng)
		if !observed.accepted {
			continue
		}
		endEarly := rng.IntN(4) == 0
		for ctx.Err() == nil && len(observed.results) < len(observed.items) && !(endEarly && len(observed.results) > len(observed.items)/2) {
			w.readResults(ctx, observed, w.randomDaemon(rng))
			time.Sleep(readPause)
		}
		if endEarly {
			status, _ := w.sendRequest(ctx, w.randomDaemon(rng), http.MethodDelete, mimic.BatchTarget(observed.id), observed.id+"-end", nil)
			observed.endedEarly = status != http.StatusServiceUnavailable
		}
		if step%2 == 1 {
			w.version++
			w.env.putRecord("keyed.op", "version/"+model, map[string]any{"model": model, "version": w.version})
		}
		time.Sleep(stepPause)
	}
}

// submitBatch submits a batch with random items. It tries random daemons until one accepts
// the batch, four times at most.
func (w *workload) submitBatch(ctx context.Context, observed *observedBatch, rng *rand.Rand) {
	batch := &gypsum.Batch{Step: 1, Model: model, MinVersion: observed.minVersion, GroupCount: 3}
	for i := range itemsPerStep {
		tokens := 5 + rng.IntN(maxItemTokens-5)
		if i > 1 {
			tokens /= 4
		}
		id := fmt.Sprintf("%s.%d.%d", observed.id, i, tokens+1)
		observed.items = append(observed.items, id)
		item := gypsum.BatchItem{
			ID: gypsum.ItemID(id), Path: "/t/x", Body: []byte(id), Tokens: tokens, Group: gypsum.GroupID(fmt.Sprint(i / 4)), ExpectedTokens: tokens,
		}
		if observed.scored {
			item.Scorer = &gypsum.Scorer{ID: rewardID(item.ID), HostName: routeHost, Path: rewardPrefix + id, Body: []byte("rubric")}
		}
		batch.Items = append(batch.Items, item)
	}
	body, err := mimic.EncodeBatch(batch)
	if err != nil {
		w.env.t.Error(err)
		return
	}
	for range 4 {
		if ctx.Err() != nil {
			observed.outcomeUnknown = true
			return
		}
		status, _ := w.sendRequest(ctx, w.randomDaemon(rng), http.MethodPost, "/t/"+observed.id, observed.id, body)
		switch status {
		case http.StatusAccepted:
			observed.accepted = true
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			observed.outcomeUnknown = true
		}
		time.Sleep(readPause)
	}
}

// readResults reads the next results of a batch from a daemon, checks them and adds them to
// observed.
func (w *workload) readResults(ctx context.Context, observed *observedBatch, daemon *daemonProcess) {
	offset := len(observed.results)
	if offset > 0 {
		offset-- // Read the last result again, to check that it has not changed.
	}
	status, content := w.sendRequest(ctx, daemon, http.MethodGet, mimic.ResultsTarget(observed.id, offset), observed.id+"-read", nil)
	if status == http.StatusNotFound {
		w.env.t.Errorf("batch %s was accepted, but %s does not know it", observed.id, daemon.name)
	}
	if status != http.StatusOK {
		return
	}
	total, results, err := mimic.DecodeResults(content)
	if err != nil {
		w.env.t.Errorf("read results of batch %s: %v", observed.id, err)
		return
	}
	for _, violation := range pageViolations(observed, offset, total, results) {
		w.env.t.Errorf("%s: %s", daemon.name, violation)
	}
	for i := range results {
		if offset+i < len(observed.results) {
			continue
		}
		observed.results = append(observed.results, results[i])
		for _, violation := range w.resultViolations(observed, &results[i]) {
			w.env.t.Error(violation)
		}
	}
}
