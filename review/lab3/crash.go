package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// anonymousMB returns the anonymous memory of a process in MB, which leaves out its program file.
func anonymousMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// watched is a daemon that the platform restarts when it ends, and ends when it exceeds its memory.
type watched struct {
	*daemon
	overLimit atomic.Int64
	peak      atomic.Int64
}

// watch does for one daemon what the platform does, until stop is closed: it kills the process if it exceeds
// memory_mb, and starts it again after a short delay.
func (l *lab) watch(w *watched, limit int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			used := anonymousMB(w.cmd.Process.Pid)
			w.peak.Store(max(w.peak.Load(), int64(used)))
			if used <= limit {
				continue
			}
			w.overLimit.Add(1)
			l.log("process exceeds memory_mb and is killed", "daemon", w.name, "anonymous_mb", used, "memory_mb", limit)
		}
		_ = w.cmd.Process.Kill()
		_ = w.cmd.Wait()
		time.Sleep(time.Second)
		l.restart(w.daemon)
	}
}

// restart starts a daemon again with its settings.
func (l *lab) restart(d *daemon) {
	before := d.cmd
	output, err := os.OpenFile(l.dir+"/"+d.name+".log", os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("open a log: %v", err)
	}
	defer func() { _ = output.Close() }()
	d.cmd = exec.Command(before.Path, "edge")
	d.cmd.Env, d.cmd.Stdout, d.cmd.Stderr = before.Env, output, output
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		cannot("start a daemon: %v", err)
	}
	l.log("process started", "daemon", d.name)
}

// caseCrash: clients request the bodies of the items of batches that wait for their weights, each once a second:
// one client after the other or, with the disruption, all at the same moment.
func caseCrash(l *lab) bool {
	const (
		pause   = time.Second
		batches = 5
	)
	clients, daemons := 200, 3
	limit := l.memoryMB
	bigBody = strings.Repeat("b", 12000)
	for i := range 3 {
		l.newReplica(fmt.Sprint("m-", i+1), "models", zoneOf(i), "m0")
	}
	l.putConfig(1, []any{route("train", "/train/", "rollout", "models")}, services())
	l.startDaemons(daemons)
	minVersion = 2 // the trainers ask for steps ahead: their version is not named yet
	ids, items := make([]string, batches), make([][]string, batches)
	for b := range batches {
		ids[b], items[b] = fmt.Sprintf("7c41e09b52d6%04x", b), itemIDs(fmt.Sprintf("e5b2907c%04x", b), 150)
		l.submit(ids[b], items[b])
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	var all []*watched
	for _, d := range l.daemons {
		w := &watched{daemon: d}
		all = append(all, w)
		watching.Go(func() { l.watch(w, limit, stop) })
	}
	var got, failed, unconnected atomic.Int64
	var calling sync.WaitGroup
	for _, w := range all {
		for c := range clients {
			calling.Go(func() {
				for {
					// Each client comes once a second: all at the same moment or one after the other.
					offset := time.Duration(c) * pause / time.Duration(clients)
					if l.trouble {
						offset = 0
					}
					next := time.Now().Add(pause / 2).Truncate(pause).Add(pause).Add(offset)
					select {
					case <-stop:
						return
					case <-time.After(time.Until(next)):
					}
					b := int(next.Add(-offset).Unix()) % batches
					item := items[b][c%len(items[b])]
					a := l.call(w.daemon, http.MethodGet, "/items/"+ids[b]+"?id="+item, nil, nil, 3*time.Second)
					switch {
					case a.status == http.StatusOK && string(a.body) == "prompt "+item+bigBody:
						got.Add(1)
					case a.status == 0:
						unconnected.Add(1)
					default:
						failed.Add(1)
					}
				}
			})
		}
	}
	report := func(what string) {
		peaks := make([]int64, 0, len(all))
		for _, w := range all {
			peaks = append(peaks, w.peak.Swap(0))
		}
		l.log(what, "bodies", got.Swap(0), "other_answers", failed.Swap(0), "no_answer", unconnected.Swap(0), "peak_mb", peaks)
	}
	for range 30 {
		time.Sleep(time.Second)
		report("second")
	}
	close(stop)
	calling.Wait()
	watching.Wait()
	often := 0
	for _, w := range all {
		l.log("ends", "daemon", w.name, "over_memory", w.overLimit.Load())
		if w.overLimit.Load() >= 3 {
			often++
		}
	}
	return often >= 2
}
