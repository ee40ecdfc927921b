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

// itemIDs returns the ids of the items of a batch.
func itemIDs(prefix string, count int) []string {
	ids := make([]string, 0, count)
	for i := range count {
		ids = append(ids, fmt.Sprintf("%s%04x", prefix, i))
	}
	return ids
}
