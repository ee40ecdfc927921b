package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/usage"
)

// dutyTiming is the timing of the windows in TestDuties.
var dutyTiming = usage.Timing{Window: 5 * time.Second, Lateness: 10 * time.Second}

// TestDuties guards against windows that no daemon reports while daemons are killed, suspended,
// stopped, or all lost, and against reports that differ.
func TestDuties(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	api := &mimic.DutyAPI{ChecksFencing: true, CallsPerSecond: 50}
	env := startTestEnv(&testEnv{t: t, dutySettings: fmt.Sprintf("[cloud_api]\naddr = %q\nduties = [\"usage_report\", \"autoscale\"]\n", startServer(t, api.Handler()))}, 3)
	began := time.Now()
	holder := func() *daemonProcess {
		t.Helper()
		accepted := api.Accepted()
		if len(accepted) == 0 {
			t.Fatal("no report was accepted")
		}
		for _, daemon := range env.daemons {
			if daemon.name == string(accepted[len(accepted)-1].Authority.Holder) {
				return daemon
			}
		}
		t.Fatal("unknown holder")
		return nil
	}
	time.Sleep(9 * time.Second)
	killed := holder()
	killed.kill()
	time.Sleep(8 * time.Second)
	is.True(holder() != killed)
	env.startDaemon(killed)
	frozen := holder()
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	frozen.signal(syscall.SIGCONT)
	is.True(holder() != frozen)
	for _, daemon := range env.daemons {
		daemon.kill()
	}
	time.Sleep(time.Second)
	for _, daemon := range env.daemons {
		env.startDaemon(daemon)
	}
	time.Sleep(8 * time.Second)
	stopped := holder()
	stopped.signal(syscall.SIGTERM)
	time.Sleep(13 * time.Second)

	is.Equal(len(api.Violations()), 0)
	reports := api.Reports()
	for window := dutyTiming.WindowAt(began); dutyTiming.End(window).Add(dutyTiming.Lateness).Before(time.Now()); window++ {
		if _, ok := reports[window]; !ok {
			t.Errorf("window that began %s after the start was not reported", dutyTiming.End(window).Add(-dutyTiming.Window).Sub(began))
		}
	}
	token, late := gypsum.Offset(-1), 0
	for _, call := range api.Accepted() {
		if call.Authority.FencingToken < token {
			t.Errorf("token %d was used after %d", call.Authority.FencingToken, token)
		}
		token = call.Authority.FencingToken
		if !call.Repeated && call.At.Sub(dutyTiming.End(call.Report.Window)) > dutyTiming.Lateness {
			late++
		}
	}
	is.Equal(late, 0)
}
