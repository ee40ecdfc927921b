package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is the answer to a client's request. The status is 0 if there is none.
type answer struct {
	status int
	stamp  string
	body   []byte
}

// send sends a request of a client on a new channel to a daemon.
func (d *deployment) send(ctx context.Context, to *daemon, method, target, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+target, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host, request.Close = host, true
	if id != "" {
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "4000")
	} else if method == http.MethodGet {
		request.Header.Set("Wait-Ms", "1000")
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.record.add("client: %s %s at %s: no answer: %v", method, target, to.name, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		d.record.add("client: %s %s at %s: answer %d broke off: %v", method, target, to.name, response.StatusCode, err)
		return answer{}
	}
	shown := strings.TrimSpace(string(content[:min(len(content), 160)]))
	d.record.add("client: %s %s id %q at %s: answer %d, stamp %q, %d bytes: %s", method, target, id, to.name, response.StatusCode,
		response.Header.Get("Server-Stamp"), len(content), shown)
	return answer{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: content}
}

// lot is a batch submission of a trainer.
type lot struct {
	id    string
	items []string
}

// submit submits a batch submission until it is accepted, at one daemon after the other.
func (d *deployment) submit(ctx context.Context, prefix string, submitted lot) bool {
	items := make([]any, 0, len(submitted.items))
	for i, item := range submitted.items {
		items = append(items, map[string]any{
			"id": item, "path": fmt.Sprintf("%s%d", prefix, i), "headers": map[string]string{"Model": model, "Token-Counts": "20,8"}, "body": []byte("prompt of " + item),
			"token_count": 28, "group": fmt.Sprintf("g%d", i/4),
		})
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": model, "min_version": 1, "group_count": len(items) / 4, "items": items})
	if err != nil {
		panic(err)
	}
	for try := range 6 {
		if d.send(ctx, d.daemons[try%len(d.daemons)], http.MethodPost, prefix+"lot", submitted.id, body).status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// page is the answer to a read of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads the results of a batch submission from the start at a daemon. ok is false if the answer is no
// page of results.
func (d *deployment) read(ctx context.Context, to *daemon, submitted lot) (results page, status int, ok bool) {
	got := d.send(ctx, to, http.MethodGet, "/lots/"+submitted.id+"?after=0", "", nil)
	if got.status != http.StatusOK || json.Unmarshal(got.body, &results) != nil || results.Total != len(submitted.items) {
		return page{}, got.status, false
	}
	return results, got.status, true
}

// readAll reads until all items are listed as completed. It reports false if that takes longer than a limit.
func (d *deployment) readAll(ctx context.Context, submitted lot, limit time.Duration) bool {
	for deadline, try := time.Now().Add(limit), 0; time.Now().Before(deadline); try++ {
		results, _, ok := d.read(ctx, d.daemons[try%len(d.daemons)], submitted)
		if ok && len(results.Results) == len(submitted.items) {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
