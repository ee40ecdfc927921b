package main

import (
	"fmt"
	"net/http"
	"time"
)

// submit submits a batch until it is accepted.
func (l *lab) submit(id string, items []string) {
	for try := range 5 {
		d := l.daemons[try%len(l.daemons)]
		a := l.call(d, http.MethodPost, "/train/"+id, map[string]string{"Attempt-Id": id, "Content-Type": "application/json"}, batch(items), 5*time.Second)
		l.log("submission answered", "id", id, "daemon", d.name, "status", a.status, "error", a.err)
		if a.status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	cannot("batch %s is not accepted", id)
}

// read reads a batch from the start at a daemon, and returns the answer.
func (l *lab) read(d *daemon, id string) answer {
	return l.call(d, http.MethodGet, "/lots/"+id+"?after=0", map[string]string{"Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
}

// isWhole reports whether an answer has all results of a batch, whole.
func isWhole(a answer, items []string) bool {
	p := decodePage(a)
	if p == nil || p.Total != len(items) || len(p.Results) != len(items) {
		return false
	}
	for _, result := range p.Results {
		if result.State != "completed" || result.Text != itemText(result.ID) {
			return false
		}
	}
	return true
}

// awaitWhole reads a batch until all results are there.
func (l *lab) awaitWhole(d *daemon, id string, items []string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		a := l.read(d, id)
		l.log("read", "id", id, "daemon", d.name, "status", a.status, "bytes", len(a.body), "error", a.err)
		if isWhole(a, items) {
			return true
		}
	}
	return false
}

// itemIDs returns the ids of the items of a batch.
func itemIDs(prefix string, count int) []string {
	ids := make([]string, 0, count)
	for i := range count {
		ids = append(ids, fmt.Sprintf("%s%04x", prefix, i))
	}
	return ids
}

// caseOpen: a batch is accepted and done, and its client does not end it. Another client reads it
// later, while it is still open.
func caseOpen(l *lab) bool {
	l.statusS, retentionS = 30, 20
	for i := range 3 {
		l.newReplica(fmt.Sprint("m-", i+1), "models", zoneOf(i), "m0")
	}
	l.putConfig(1, []any{route("train", "/train/", "rollout", "models")}, services())
	l.startDaemons(3)
	id, items := "7c41e09b52d6a3f8", itemIDs("e5b2907c14da", 8)
	l.submit(id, items)
	accepted := time.Now()
	if !l.awaitWhole(l.daemons[0], id, items, 20*time.Second) {
		cannot("the batch is not done in time")
	}
	until := time.Duration(l.statusS)*time.Second - time.Since(accepted) - 5*time.Second
	if l.trouble {
		until = time.Duration(l.statusS)*time.Second + 25*time.Second - time.Since(accepted)
	}
	l.log("the batch stays open, nobody reads it", "for_s", until.Seconds())
	time.Sleep(until)
	gone := 0
	for _, d := range l.daemons {
		a := l.read(d, id)
		l.log("read while open", "daemon", d.name, "after_s", int(time.Since(accepted).Seconds()), "status", a.status, "bytes", len(a.body), "error", a.err)
		if a.status == http.StatusNotFound || a.status == http.StatusGone || !isWhole(a, items) {
			gone++
			l.log("BROKEN: an open batch cannot be read", "daemon", d.name, "status", a.status)
		}
	}
	return gone == len(l.daemons)
}
