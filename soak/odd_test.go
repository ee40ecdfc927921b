package soak

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// oddRegistrations are registrations that another writer has left among those of the replicas, by a
// description. LIVE in a value stands for the address of a sound replica.
func oddRegistrations() map[string]gypsum.KeyedRecord {
	// with returns a registration of the plain service in which some fields are replaced.
	with := func(fields string) []byte {
		const sound = `{"service":"desk","addr":"127.0.0.1:1","zone":"genova","slots":4,"state":"ready","seq":1,"version":"v1","born":1700000000000`
		return []byte(sound + "," + fields + "}")
	}
	records := map[string]gypsum.KeyedRecord{
		"deeply nested":           {Value: []byte(strings.Repeat(`{"a":[`, 40_000))},
		"deeply nested field":     {Value: with(`"x":` + strings.Repeat("[", 4000) + strings.Repeat("]", 4000))},
		"deeply nested models":    {Value: with(`"models":` + strings.Repeat("[", 120_000))},
		"slots of 63 bits":        {Value: with(`"slots":9223372036854775807`)},
		"slots of 40 bits":        {Value: with(`"slots":1099511627776`)},
		"slots at a live address": {Value: with(`"addr":"LIVE","slots":9223372036854775807`)},
		"slots beyond any number": {Value: with(`"slots":1e400`)},
		"negative slots":          {Value: with(`"slots":-9223372036854775808`)},
		"count beyond 64 bits":    {Value: with(`"seq":99999999999999999999999999`)},
		"start beyond 64 bits":    {Value: with(`"born":1e300`)},
		"port out of range":       {Value: with(`"addr":"127.0.0.1:99999"`)},
		"no port":                 {Value: with(`"addr":"127.0.0.1"`)},
		"port 0":                  {Value: with(`"addr":"127.0.0.1:0"`)},
		"path in address":         {Value: with(`"addr":"127.0.0.1:1/x?y#"`)},
		"line break in address":   {Value: with(`"addr":"127.0.0.1:1\r\nx: y"`)},
		"model version too large": {Value: with(`"service":"motif","models":[{"name":"crew","version":9223372036854775807}]`)},
		"model version 1e30":      {Value: with(`"service":"motif","models":[{"name":"crew","version":1e30}]`)},
		"empty service":           {Value: with(`"service":""`)},
		"unknown state":           {Value: with(`"state":"\u0000"`)},
		"unreadable":              {Value: []byte{0xff, 0xfe, 0x00, '{'}},
		"null":                    {Value: []byte("null")},
		"line break in key":       {Key: "odd\r\nx: y", Value: with(`"x":1`)},
		"unreadable key":          {Key: "odd\xff\xfe", Value: with(`"x":1`)},
		"empty key":               {Key: "", Value: with(`"x":1`)},
		// The replica itself writes its registration again.
		"replica's key, start too late":  {Key: "desk-1", Value: with(`"born":9007199254740991`)},
		"replica's key, start in a year": {Key: "desk-1", Value: with(fmt.Sprintf(`"born":%d`, time.Now().AddDate(1, 0, 0).UnixMilli()))},
	}
	for name, record := range records {
		if record.Key == "" && name != "empty key" {
			record.Key = "odd-1"
			records[name] = record
		}
	}
	return records
}

// setPlainFault sets the fault of all replicas of the plain service.
func (env *testEnv) setPlainFault(fault mimic.Fault) {
	for _, replica := range env.replicas {
		if replica.service == plainService {
			replica.SetFault(fault)
		}
	}
}

// sendConcurrently sends idempotent requests from several callers at once for some time and returns
// how many were sent and served.
func sendConcurrently(load *workload, name string, duration time.Duration) (sent, served int64) {
	const callers = 24
	var sentCount, servedCount atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n, began := 0, time.Now(); time.Since(began) < duration; n++ {
				sentCount.Add(1)
				if load.tryRequest(load.env.t.Context(), load.env.daemons[(i+n)%len(load.env.daemons)], fmt.Sprintf("%s-%d-%d", name, i, n), false) {
					servedCount.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return sentCount.Load(), servedCount.Load()
}

// An odd entry among the registrations of replicas must not end a daemon, nor keep it from following
// the others, nor hide a sound replica.
func TestOddRegistrations(t *testing.T) {
	for name, record := range oddRegistrations() {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 2)
			load := newWorkload(env)
			for _, replica := range env.replicas {
				if replica.ID == "desk-2" {
					record.Value = bytes.ReplaceAll(record.Value, []byte("LIVE"), []byte(replica.address))
				}
			}
			env.store.AppendDirectly("keyed.servers", record)
			time.Sleep(2 * registrationInterval)
			check := func(moment string) {
				t.Helper()
				sent, served := sendConcurrently(load, strings.ReplaceAll(moment, " ", "-"), 700*time.Millisecond)
				if served*100 < sent*99 {
					t.Errorf("%s: %d of %d requests served", moment, served, sent)
				}
				for _, daemon := range env.daemons {
					if !daemon.isReady() {
						t.Fatalf("%s: %s is not ready; its log ends with:\n%s", moment, daemon.name, env.logTail(daemon))
					}
				}
			}
			check("while it is there")
			// Requests wait while the sound replicas are full.
			env.setPlainFault(mimic.FaultFull)
			sendConcurrently(load, "full", 300*time.Millisecond)
			env.setPlainFault("")
			time.Sleep(time.Second)
			check("after all were full")
			if step := runStep(load, "step", env.daemons[0]); len(step.results) < len(step.items) {
				t.Errorf("batch has %d of %d results", len(step.results), len(step.items))
			}
			env.daemons[1].kill()
			env.startDaemon(env.daemons[1])
			env.waitReady(env.daemons[1])
			check("after a restart")
			// All plain replicas but one leave, which is a new start under a known ID.
			var last *registeredReplica
			for _, replica := range env.replicas {
				switch {
				case replica.service != plainService:
				case string(replica.ID) == "desk-1":
					last = replica
				default:
					env.unregister(replica)
				}
			}
			last.startedAt.Store(time.Now().UnixMilli())
			time.Sleep(2*registrationInterval + 500*time.Millisecond)
			before := len(last.ExecutedRequests())
			check("after others have left")
			if len(last.ExecutedRequests()) == before {
				t.Error("the remaining replica was not used")
			}
			for _, daemon := range env.daemons {
				content, err := os.ReadFile(env.logPath(daemon))
				if err != nil || strings.Contains(string(content), "panic:") || strings.Contains(string(content), "fatal error:") {
					t.Errorf("%s ended (%v)", daemon.name, err)
				}
			}
		})
	}
}
