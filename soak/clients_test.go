package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// Times of clients.
const (
	callPause    = 15 * time.Millisecond
	callTimeout  = 4500 * time.Millisecond
	readPause    = 150 * time.Millisecond
	stepPause    = 200 * time.Millisecond
	itemsPerStep = 12
	longestItem  = 120
)

// clients are the callers and trainers of a world, and what they saw.
type clients struct {
	world *world
	http  *http.Client

	mu      sync.Mutex
	refused []string
	once    []string
	served  int
	calls   int
	batches []*batchSeen
	version gypsum.WeightVersion
}

// batchSeen is what a trainer saw of a batch.
type batchSeen struct {
	id       string
	items    []string
	least    gypsum.WeightVersion
	accepted bool
	unsure   bool
	ended    bool
	results  []gypsum.BatchResult
}

// newClients returns the clients of a world. They keep connections until the other
// side closes them.
func newClients(w *world) *clients {
	return &clients{world: w, version: 1, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// call sends a request to a daemon. A status of 0 is a connection without an answer.
func (c *clients) call(ctx context.Context, host *hostProcess, method, target, id string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host.address()+target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		c.world.t.Error(err)
		return 0, nil
	}
	request.ContentLength = int64(len(body))
	request.Host = hostName
	mimic.SetRequestHeaders(request.Header, id, 3*time.Second, 200*time.Millisecond)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// host returns a daemon at random.
func (c *clients) host(random *rand.Rand) *hostProcess {
	return c.world.hosts[random.IntN(len(c.world.hosts))]
}

// live sends live requests until ctx ends and checks each answer.
func (c *clients) live(ctx context.Context, name string, random *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		target, once := "/i/x?n="+id, number%2 == 1
		if once {
			target = "/n/x?n=" + id
		}
		status, body := c.call(ctx, c.host(random), http.MethodPost, target, id, []byte(name))
		if status == http.StatusOK && string(body) != mimic.PlainBody(id, target, []byte(name)) {
			c.world.t.Errorf("request %s got another answer: %q", id, body)
		}
		c.mu.Lock()
		c.calls++
		if once {
			c.once = append(c.once, id)
		}
		switch status {
		case http.StatusOK:
			c.served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if once {
				c.refused = append(c.refused, id)
			}
		}
		c.mu.Unlock()
		time.Sleep(callPause)
	}
}

// train asks for one step after the other until ctx ends.
func (c *clients) train(ctx context.Context, name string, random *rand.Rand) {
	for step := 0; ctx.Err() == nil; step++ {
		seen := &batchSeen{id: fmt.Sprintf("%s-%d", name, step), least: max(1, c.version-1)}
		c.mu.Lock()
		c.batches = append(c.batches, seen)
		c.mu.Unlock()
		c.submit(ctx, seen, random)
		if !seen.accepted {
			continue
		}
		early := random.IntN(4) == 0
		for ctx.Err() == nil && len(seen.results) < len(seen.items) && !(early && len(seen.results) > len(seen.items)/2) {
			c.read(ctx, seen, c.host(random))
			time.Sleep(readPause)
		}
		if early {
			if status, _ := c.call(ctx, c.host(random), http.MethodDelete, mimic.BatchTarget(seen.id), seen.id+"-end", nil); status == http.StatusOK {
				seen.ended = true
			}
		}
		if step%2 == 1 {
			c.version++
			c.world.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": c.version})
		}
		time.Sleep(stepPause)
	}
}

// submit submits a batch, at several daemons if need be.
func (c *clients) submit(ctx context.Context, seen *batchSeen, random *rand.Rand) {
	batch := &gypsum.Batch{Step: 1, Model: model, MinVersion: seen.least, GroupCount: 3}
	for i := range itemsPerStep {
		length := 5 + random.IntN(longestItem-5)
		if i > 1 {
			length /= 4
		}
		id := fmt.Sprintf("%s.%d.%d", seen.id, i, length+1)
		seen.items = append(seen.items, id)
		batch.Items = append(batch.Items, gypsum.BatchItem{
			ID: gypsum.ItemID(id), Path: "/t/x", Body: []byte(id), Tokens: length, Group: gypsum.GroupID(fmt.Sprint(i / 4)), ExpectedTokens: length,
		})
	}
	body, err := mimic.EncodeBatch(batch)
	if err != nil {
		c.world.t.Error(err)
		return
	}
	for range 4 {
		if ctx.Err() != nil {
			seen.unsure = true
			return
		}
		status, _ := c.call(ctx, c.host(random), http.MethodPost, "/t/"+seen.id, seen.id, body)
		switch status {
		case http.StatusAccepted:
			seen.accepted = true
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			seen.unsure = true
		}
		time.Sleep(readPause)
	}
}

// read reads the next results of a batch and checks them.
func (c *clients) read(ctx context.Context, seen *batchSeen, host *hostProcess) {
	from := len(seen.results)
	if from > 0 {
		from-- // the last one must come again
	}
	status, content := c.call(ctx, host, http.MethodGet, mimic.ResultsTarget(seen.id, from), seen.id+"-read", nil)
	if status == http.StatusNotFound {
		c.world.t.Errorf("batch %s was accepted, and %s says that there is none", seen.id, host.name)
	}
	if status != http.StatusOK {
		return
	}
	total, results, err := mimic.DecodeResults(content)
	if err != nil || total != len(seen.items) {
		c.world.t.Errorf("batch %s: total %d, error %v", seen.id, total, err)
		return
	}
	for i, got := range results {
		if position := from + i; position < len(seen.results) {
			if known := seen.results[position]; known.Item != got.Item || known.Text != got.Text || known.State != got.State {
				c.world.t.Errorf("batch %s: position %d was %s, and is %s at %s", seen.id, position, known.Item, got.Item, host.name)
			}
			continue
		}
		seen.results = append(seen.results, got)
		c.check(seen, &got)
	}
}

// check checks a result by itself.
func (c *clients) check(seen *batchSeen, got *gypsum.BatchResult) {
	if got.State == gypsum.ItemCompleted && got.Text != c.world.engines.WholeText(got.Item) {
		c.world.t.Errorf("item %s has another text: %q", got.Item, got.Text)
	}
	if got.State != gypsum.ItemCompleted && !seen.ended {
		c.world.t.Errorf("item %s is %s without a reason", got.Item, got.State)
	}
	made := c.world.engines.Versions(got.Item)
	for _, version := range got.Versions {
		if version < seen.least || !made[version] {
			c.world.t.Errorf("item %s names version %d; least is %d, made by %v", got.Item, version, seen.least, made)
		}
	}
	if got.State == gypsum.ItemCompleted && len(got.Versions) == 0 {
		c.world.t.Errorf("item %s names no version", got.Item)
	}
}
