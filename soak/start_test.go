package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum/check"
)

// shutdownGrace is the time after SIGTERM within which a daemon must exit, as the settings state it.
const shutdownGrace = 8 * time.Second

// startBeforeSettings starts a daemon's process and returns once it waits for its settings. The
// returned function writes them.
func startBeforeSettings(env *testEnv, daemon *daemonProcess) (writeSettings func()) {
	write, err := check.StartBeforeRead(env.settingsPath(daemon), env.settings(daemon), func() error {
		env.startProcess(daemon)
		return nil
	})
	if err != nil {
		env.t.Fatal(err)
	}
	return func() {
		if err := write(); err != nil {
			env.t.Error(err)
		}
	}
}

// exitsWithin reports whether a daemon's process exits with status 0 within a time. Otherwise the
// process is killed.
func (d *daemonProcess) exitsWithin(limit time.Duration) bool {
	d.mu.Lock()
	cmd := d.cmd
	d.cmd = nil
	d.mu.Unlock()
	kill := time.AfterFunc(limit, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	return cmd.Wait() == nil
}

// A daemon that gets SIGTERM before its servers run must exit like any other. It would otherwise
// take requests until SIGKILL cuts them off.
func TestTermDuringStart(t *testing.T) {
	env := newTestEnv(t, 1)
	// run runs a case that sends SIGTERM at some moment of the daemon's start.
	run := func(name string, signal func(t *testing.T, daemon *daemonProcess, writeSettings func())) {
		t.Run(name, func(t *testing.T) {
			daemon := env.addDaemon()
			t.Parallel()
			signal(t, daemon, startBeforeSettings(env, daemon))
			if !daemon.exitsWithin(shutdownGrace) {
				t.Errorf("%s runs on after SIGTERM; its log ends with:\n%s", daemon.name, env.logTail(daemon))
			}
		})
	}
	run("settings not read", func(_ *testing.T, daemon *daemonProcess, writeSettings func()) {
		daemon.signal(syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
		writeSettings()
	})
	const series, interval = 24, 300 * time.Microsecond
	for i := range series {
		delay := time.Duration(i) * interval
		run("after "+delay.String(), func(_ *testing.T, daemon *daemonProcess, writeSettings func()) {
			writeSettings()
			time.Sleep(delay)
			daemon.signal(syscall.SIGTERM)
		})
	}
	run("twice", func(_ *testing.T, daemon *daemonProcess, writeSettings func()) {
		var signals sync.WaitGroup
		signals.Go(func() {
			for range 40 {
				daemon.signal(syscall.SIGTERM)
				time.Sleep(interval)
			}
		})
		writeSettings()
		signals.Wait()
	})
}

// A daemon that gets SIGHUP while it starts must not end.
func TestHangupDuringStart(t *testing.T) {
	env := newTestEnv(t, 1)
	daemon := env.addDaemon()
	writeSettings := startBeforeSettings(env, daemon)
	daemon.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	writeSettings()
	env.waitReady(daemon)
}

// A daemon that does not know the replicas yet must not be ready: it would refuse all requests.
func TestNotReadyWithoutRegistrations(t *testing.T) {
	env := newTestEnv(t, 1)
	daemon := env.addDaemon()
	daemon.store.holdsRegistrations.Store(true)
	env.startDaemon(daemon)
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
		if daemon.isReady() {
			t.Fatal("ready before it has read the registrations")
		}
	}
	daemon.store.holdsRegistrations.Store(false)
	env.waitReady(daemon)
	if !newWorkload(env).tryRequest(t.Context(), daemon, "first", false) {
		t.Error("the first request was not served")
	}
}
