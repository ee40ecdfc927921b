package soak

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
)

// olderThanStreams is an age of replicas from which they count as older than any stream that a
// client may take up again. It is also how long daemons observe the replicas until all streams are
// known to be of one software version.
const olderThanStreams = 35 * time.Second

// begunStream is a stream of which a client has read some events.
type begunStream struct {
	id     string
	events []streamEvent
}

// beginStreams begins streams at hosts in turn and breaks them off after three events.
func beginStreams(load *workload, name string, count int, hosts ...*daemonProcess) []begunStream {
	var streams []begunStream
	for i := range count {
		id := fmt.Sprint(name, i)
		events := load.readStream(load.env.t.Context(), hosts[i%len(hosts)], id, "", 0, 3)
		if len(events) == 3 {
			streams = append(streams, begunStream{id, events})
		}
	}
	return streams
}

// takeUp takes a stream up again at a host, checks the joined events, and reports whether an event
// arrived.
func (s *begunStream) takeUp(load *workload, host *daemonProcess) bool {
	rest := load.readStream(load.env.t.Context(), host, s.id+"-again-"+host.name, s.id, int64(len(s.events)), streamEvents)
	for _, violation := range streamViolations(s.id, append(s.events[:len(s.events):len(s.events)], rest...)) {
		load.env.t.Errorf("%s: %s", host.name, violation)
	}
	return len(rest) > 0
}

// takeUpAll takes up all streams at a host and returns how many of them went on.
func takeUpAll(load *workload, streams []begunStream, host *daemonProcess) (resumed int) {
	for i := range streams {
		if streams[i].takeUp(load, host) {
			resumed++
		}
	}
	return resumed
}

// plainReplicas returns the replicas of the plain service of a software version.
func (env *testEnv) plainReplicas(version gypsum.SoftwareVersion) []*registeredReplica {
	var replicas []*registeredReplica
	for _, replica := range env.replicas {
		if replica.service == plainService && replica.Software == version {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// restartAll kills all daemons at once and starts them again.
func (env *testEnv) restartAll() {
	for _, daemon := range env.daemons {
		daemon.kill()
	}
	for _, daemon := range env.daemons {
		env.startDaemon(daemon)
	}
	for _, daemon := range env.daemons {
		env.waitReady(daemon)
	}
}

// setAge makes all replicas register as started some time ago.
func (env *testEnv) setAge(age time.Duration) {
	for _, replica := range env.replicas {
		replica.startedAt.Store(time.Now().Add(-age).UnixMilli())
	}
	time.Sleep(3 * registrationInterval)
}

// Streams that were begun at replicas of a software version which has just left, and are taken up
// after the loss of all daemons, must not go on at replicas of another version.
func TestStreamsTakenUpAfterLossOfAll(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3)
	env.setAge(olderThanStreams)
	load := newWorkload(env)
	streams := beginStreams(load, "s", 24, env.daemons...)
	leaving := env.plainReplicas("v1")
	for _, replica := range leaving {
		env.unregister(replica)
	}
	time.Sleep(time.Second)
	env.restartAll()
	for _, daemon := range env.daemons {
		t.Logf("%s: %d of %d streams taken up", daemon.name, takeUpAll(load, streams, daemon), len(streams))
	}
}

// Streams of a service whose replicas have had one software version for long go on after the loss of all
// daemons.
func TestStreamsGoOnAfterLossOfAll(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3)
	for _, replica := range env.plainReplicas("v2") {
		env.unregister(replica)
	}
	load := newWorkload(env)
	time.Sleep(olderThanStreams)
	streams := beginStreams(load, "s", 8, env.daemons...)
	env.restartAll()
	for _, daemon := range env.daemons {
		if resumed := takeUpAll(load, streams, daemon); resumed < len(streams) {
			t.Errorf("%s: %d of %d streams taken up", daemon.name, resumed, len(streams))
		}
	}
}

// Streams that were begun at replicas of a new software version must not go on at replicas of the
// older one at a daemon that is out of step and does not know the new ones yet.
func TestStreamsTakenUpAtHostOutOfStep(t *testing.T) {
	faults := []struct {
		name         string
		begin, clear func(daemon *daemonProcess)
	}{
		{
			"frozen", func(daemon *daemonProcess) { daemon.signal(syscall.SIGSTOP) },
			func(daemon *daemonProcess) { daemon.signal(syscall.SIGCONT) },
		},
		{
			"no registrations", func(daemon *daemonProcess) { daemon.store.holdsRegistrations.Store(true) },
			func(*daemonProcess) {},
		},
		{
			"no store", func(daemon *daemonProcess) { daemon.storeProxy.setFault(proxyHoldAll) },
			func(*daemonProcess) {},
		},
	}
	for _, fault := range faults {
		t.Run(strings.ReplaceAll(fault.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 3)
			for _, replica := range env.plainReplicas("v2") {
				env.unregister(replica)
			}
			env.setAge(olderThanStreams)
			load := newWorkload(env)
			time.Sleep(olderThanStreams)
			late, others := env.daemons[0], env.daemons[1:]
			settled := beginStreams(load, "old", 8, others...)
			if resumed := takeUpAll(load, settled, late); resumed < len(settled) {
				t.Errorf("%d of %d streams taken up while all replicas are of one version", resumed, len(settled))
			}
			fault.begin(late)
			for _, replica := range env.plainReplicas("v2") {
				replica.unregistered.Store(false)
			}
			time.Sleep(2 * registrationInterval)
			for _, replica := range env.plainReplicas("v1") {
				replica.down.Store(true)
			}
			streams := beginStreams(load, "new", 24, others...)
			for _, replica := range env.plainReplicas("v1") {
				replica.down.Store(false)
			}
			for _, stream := range streams {
				if stream.events[0].software != "v2" {
					t.Fatalf("stream %s was begun at software %s", stream.id, stream.events[0].software)
				}
			}
			time.AfterFunc(100*time.Millisecond, func() { fault.clear(late) })
			t.Logf("%d of %d streams taken up at %s", takeUpAll(load, streams, late), len(streams), late.name)
			t.Logf("%d of %d streams taken up at %s", takeUpAll(load, streams, others[0]), len(streams), others[0].name)
		})
	}
}
