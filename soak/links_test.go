package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
)

// linkFault is how a daemon is cut off from the replicas.
type linkFault string

// The faults of the links to replicas. linkUp is none.
const (
	linkUp linkFault = ""
	// linkSilent holds open connections, and new ones are not established.
	linkSilent linkFault = "silent"
	// linkReset closes open connections, and new ones are not established.
	linkReset linkFault = "reset"
	// linkRefuse closes open connections and refuses new ones.
	linkRefuse linkFault = "refuse"
	// linkRefuseNew refuses new connections while open ones work.
	linkRefuseNew linkFault = "refuse-new"
)

// linkFaults are the faults in the order in which random faults choose them.
var linkFaults = []linkFault{linkSilent, linkReset, linkRefuse, linkRefuseNew}

const (
	// listenTimeout is how long a port may stay in use after its listener was closed.
	listenTimeout = 5 * time.Second
	// listenPause is the time between two tries to listen.
	listenPause = 50 * time.Millisecond
)

// replicaLink is the path from one daemon to one replica: a proxy that can stop to accept
// connections.
type replicaLink struct {
	t     *testing.T
	proxy *proxy
	port  int

	mu       sync.Mutex
	listener *net.TCPListener
	// release is set while the kernel drops connections to the listener.
	release func()
	done    chan struct{}
}

// newReplicaLink starts a link to a replica's address that runs until the test ends.
func newReplicaLink(t *testing.T, target string) *replicaLink {
	link := &replicaLink{t: t, proxy: &proxy{target: target, conns: make(map[net.Conn]bool)}, port: freePort(t)}
	link.listen()
	t.Cleanup(func() {
		link.setFault(linkUp)
		link.stopListening()
		link.proxy.setFault(proxyClose)
	})
	return link
}

// address returns the address of the link's end at the daemon.
func (l *replicaLink) address() string { return fmt.Sprintf("127.0.0.1:%d", l.port) }

// listen accepts connections. The caller holds mu, or is the only user.
func (l *replicaLink) listen() {
	listener, err := net.Listen("tcp", l.address())
	// The kernel may still hold connections of the listener before.
	for deadline := time.Now().Add(listenTimeout); err != nil && time.Now().Before(deadline); listener, err = net.Listen("tcp", l.address()) {
		time.Sleep(listenPause)
	}
	if err != nil {
		l.t.Error(err)
		return
	}
	l.listener, l.proxy.listener, l.done = listener.(*net.TCPListener), listener, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		l.proxy.acceptLoop(l.t.Context())
	}(l.done)
}

// stopListening closes the listener, so that new connections are refused.
func (l *replicaLink) stopListening() {
	if l.listener == nil {
		return
	}
	_ = l.listener.Close()
	<-l.done
	l.listener = nil
}

// dropConnections makes the kernel drop new connections: nothing accepts them, and the queue of
// the listener is full.
func (l *replicaLink) dropConnections() {
	_ = l.listener.SetDeadline(time.Now())
	<-l.done
	release, err := check.DropConnections(l.listener)
	if err != nil {
		l.t.Error(err)
		return
	}
	l.release = release
}

// setFault sets the fault of the link.
func (l *replicaLink) setFault(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.release != nil || l.listener == nil {
		l.stopListening()
		if l.release != nil {
			l.release()
			l.release = nil
		}
		l.listen()
	}
	l.proxy.setFault(proxyForward)
	switch fault {
	case linkSilent:
		l.proxy.setFault(proxyHoldAll)
		l.dropConnections()
	case linkReset:
		l.dropConnections()
		l.proxy.setFault(proxyClose)
	case linkRefuse:
		l.stopListening()
		l.proxy.setFault(proxyClose)
	case linkRefuseNew:
		l.stopListening()
	}
}

// linkedStore is the store as one daemon sees it: the registrations name the addresses of the
// daemon's own links.
type linkedStore struct {
	gypsum.KeyedStore
	links map[string]*replicaLink
	// holdsRegistrations makes reads of registrations wait until their callers give up.
	holdsRegistrations atomic.Bool
}

// rewrite replaces the address in a registration.
func (s *linkedStore) rewrite(topic gypsum.Topic, records []gypsum.KeyedRecord) []gypsum.KeyedRecord {
	if topic != "keyed.servers" {
		return records
	}
	rewritten := append([]gypsum.KeyedRecord(nil), records...)
	for i := range rewritten {
		var body map[string]any
		if link := s.links[rewritten[i].Key]; link != nil && json.Unmarshal(rewritten[i].Value, &body) == nil {
			body["addr"] = link.address()
			if content, err := json.Marshal(body); err == nil {
				rewritten[i].Value = content
			}
		}
	}
	return rewritten
}

// Read implements gypsum.KeyedStore.
func (s *linkedStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	page, err := s.KeyedStore.Read(ctx, req)
	if req.Topic == "keyed.servers" && s.holdsRegistrations.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if page != nil {
		copied := *page
		copied.Records = s.rewrite(req.Topic, page.Records)
		page = &copied
	}
	return page, err
}

// LatestRecords implements gypsum.KeyedStore.
func (s *linkedStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	if topic == "keyed.servers" && s.holdsRegistrations.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	page, err := s.KeyedStore.LatestRecords(ctx, topic, partition, after)
	if page != nil {
		copied := *page
		copied.Records = s.rewrite(topic, page.Records)
		page = &copied
	}
	return page, err
}
