package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const model = "daka510000"

// addReplicas adds the replicas of a small deployment.
func (d *deployment) addReplicas(engines, plain int, events int) {
	for i := range engines {
		d.replicas = append(d.replicas, &replica{
			id: fmt.Sprintf("i-engine%d", i+1), service: "matcher", model: model, slots: 16, work: 20 * time.Millisecond,
			events: func(string) int { return events },
			started: func(r *replica, id string, _ http.Header, target string) {
				d.note("%s runs item %s (%s)", r.id, id, target)
			},
		})
	}
	for i := range plain {
		d.replicas = append(d.replicas, &replica{id: fmt.Sprintf("i-roster%d", i+1), service: "roster", slots: 6, work: 25 * time.Millisecond})
	}
}

// holder returns the machine whose daemon runs the items of a service: it wrote the newest claim.
func (d *deployment) holder(service string) *machine {
	var found *machine
	for _, key := range d.store.newestKeys("keyed.state") {
		if rest, ok := strings.CutPrefix(key, "c/"+service+"/"); ok {
			for _, m := range d.machines {
				if strings.HasPrefix(rest, m.name+".") {
					found = m
				}
			}
		}
	}
	return found
}

// submit submits a batch submission to a machine and notes the answer.
func (d *deployment) submit(m *machine, prefix, id string, body []byte) *answer {
	a := d.call(m, http.MethodPost, prefix+id, map[string]string{"Attempt-Id": id, "Content-Type": "application/json", "Deadline-Ms": "2000"}, body, 2*time.Second)
	d.note("client: POST %s%s to %s: %s", prefix, id, m.name, a)
	return a
}

// batchItems returns the items of a batch submission, in groups of four.
func batchItems(prefix, name string, groups int) []item {
	var items []item
	for i := range groups * 4 {
		items = append(items, item{
			id: fmt.Sprintf("%s%02d", name, i), path: fmt.Sprintf("%s3/%02d", prefix, i), body: []byte("prompt"), group: fmt.Sprintf("%sg%d", name, i/4),
		})
	}
	return items
}

// readAll reads the results of a batch submission until all are listed or time is up, at machines in
// turn.
func (d *deployment) readAll(id string, total int, machines []*machine, limit time.Duration) []result {
	var all []result
	for i, until := 0, time.Now().Add(limit); len(all) < total && time.Now().Before(until); i++ {
		m := machines[i%len(machines)]
		_, list, a := d.results(m, id, len(all))
		if len(list) > 0 || a.status != http.StatusOK {
			d.note("client: GET /lots/%s?after=%d at %s: %s, %d results", id, len(all), m.name, a, len(list))
		}
		for _, r := range list {
			d.note("client: position %d of %s: item %s is %s, %d bytes of text", len(all), id, r.ID, r.State, len(r.Text))
			all = append(all, r)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return all
}

// playRoute plays a new route on which a batch submission arrives while one open channel of the
// machine that runs the items, the one with its read of the operator's records, has gone silent.
func playRoute(d *deployment, trouble bool) {
	const events = 12
	d.addReplicas(4, 2, events)
	first, second := route("berth", "/berth/", "rollout", "matcher"), route("rank", "/rank/", "rollout", "matcher")
	lookup := route("lookup", "/lookup/", "idempotent", "roster")
	d.manifest(3, model, lookup, first)
	d.start(4)
	accepting, other := d.machines[1], d.machines[2]
	if a := d.submit(d.machines[0], "/berth/", "7c41e09b52d6a3f8", submission(0, 3, model, 1, batchItems("/berth/", "aa", 3))); a.status != http.StatusAccepted {
		fail("first batch submission: %s", a)
	}
	if list := d.readAll("7c41e09b52d6a3f8", 12, []*machine{accepting, other}, 15*time.Second); len(list) != 12 {
		fail("first batch submission: %d results", len(list))
	}
	d.call(accepting, http.MethodDelete, "/lots/7c41e09b52d6a3f8", nil, nil, 3*time.Second)
	holder := d.holder("matcher")
	if holder == nil {
		fail("no machine runs the items")
	}
	if holder == accepting {
		accepting = d.machines[0]
	}
	d.note("%s runs the items of the service", holder.name)
	time.Sleep(2 * time.Second)
	if trouble {
		silenced, open := holder.link.silence(func(request string) bool {
			return strings.Contains(request, "/log-read?") && strings.Contains(request, "topic=keyed.op")
		})
		d.note("disruption: %d of the %d open channels of %s to the store goes silent", silenced, open, holder.name)
		if silenced != 1 {
			fail("%d channels with a read of the operator's records", silenced)
		}
	}
	d.manifest(7, model, lookup, first, second)
	time.Sleep(200 * time.Millisecond)
	const id = "1be2a3f87c41e09b"
	submitted := time.Now()
	if a := d.submit(accepting, "/rank/", id, submission(0, 3, model, 1, batchItems("/rank/", "bb", 3))); a.status != http.StatusAccepted {
		fail("second batch submission: %s", a)
	}
	list := d.readAll(id, 12, []*machine{accepting, other}, 20*time.Second)
	errored := 0
	for _, r := range list {
		switch {
		case r.State == "errored":
			errored++
		case r.Text != fullText(r.ID, events):
			d.end(true, "MIXED: item %s is completed with another text", r.ID)
		}
	}
	if len(list) != 12 && errored == 0 {
		fail("%d results of 12", len(list))
	}
	d.end(errored > 0, "MIXED: %d of %d items are listed as errored %.1f s after their submission; no replica answered 422 or 500, retention_s is 40, the batch submission and its route have not ended",
		errored, len(list), time.Since(submitted).Seconds())
}
