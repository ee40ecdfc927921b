package relay

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gypsumhook/gypsum"
)

const (
	// maxServedRequests is the number of requests that a host remembers to have been served, by their content.
	maxServedRequests = 4096
	// servedValidity is how long a request that replicas of a software version served is not blamed for the crash
	// of one of them.
	servedValidity = 10 * time.Second
)

// CrashEvidence is what a host knows of a request that a replica ran when it crashed.
type CrashEvidence struct {
	// WasServed means that replicas of the same software version have served the same request, ServedAgo before
	// the crash was noticed.
	WasServed bool
	ServedAgo time.Duration
}

// BlamesRequest reports whether the crash counts against the request. One that crashes the replicas of a version is
// never served by them. A service is not only the software, however: what was served long ago proves nothing.
func (e CrashEvidence) BlamesRequest() bool { return !e.WasServed || e.ServedAgo > servedValidity }

// servedRequests remembers when replicas of a software version last served a request. It is safe for concurrent use.
type servedRequests struct {
	times *lru.Cache[servedRequest, time.Time]
}

func newServedRequests() servedRequests {
	times, err := lru.New[servedRequest, time.Time](maxServedRequests)
	if err != nil {
		panic(err) // the size is a constant
	}
	return servedRequests{times: times}
}

// record takes note that a request was served.
func (s servedRequests) record(request servedRequest, at time.Time) { s.times.Add(request, at) }

// evidence returns what is known of a request that a replica ran when it crashed.
func (s servedRequests) evidence(fingerprint gypsum.Fingerprint, replica *gypsum.Replica, now time.Time) CrashEvidence {
	at, ok := s.times.Get(servedRequest{fingerprint, replica.Service, replica.Software})
	return CrashEvidence{WasServed: ok, ServedAgo: now.Sub(at)}
}
