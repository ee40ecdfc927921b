// Package intake bounds what clients make a process hold: connections, heads of requests while they
// arrive, requests at work and their bodies. All servers of a process use it, each with a Port.
//
// When a share is used up, those clients lose their connection first that have not sent a whole head,
// and of these the ones that hold most. A request that there is no room for is refused at once, before
// anything is done with it.
package intake

import (
	"golang.org/x/sys/unix"

	"github.com/gypsumhook/gypsum"
)

// Resources are what the host of a process provides.
type Resources struct {
	// Memory is the memory of the host, 0 for that of the machine.
	Memory gypsum.Bytes
	// Descriptors is the number of descriptors that the process may open, 0 for the limit that the
	// operating system sets.
	Descriptors int
}

// WithDefaults returns the resources with those of the machine in place of what is not set. The limit
// of the operating system bounds the descriptors in any case.
func (r Resources) WithDefaults() Resources {
	var machine unix.Sysinfo_t
	if r.Memory <= 0 && unix.Sysinfo(&machine) == nil {
		r.Memory = gypsum.Bytes(uint64(machine.Totalram) * uint64(machine.Unit))
	}
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil && files.Cur < maxDescriptors && (r.Descriptors <= 0 || r.Descriptors > int(files.Cur)) {
		r.Descriptors = int(files.Cur)
	}
	if r.Descriptors <= 0 {
		r.Descriptors = maxDescriptors
	}
	return r
}

// Shares are the parts of a host's resources that clients may use. What is left of the memory is for
// the state of the process, for the garbage collector and for the buffers of the operating system.
// What is left of the descriptors is for the store, for other daemons and for files.
type Shares struct {
	// Connections is the memory of the accepted connections, Requests that of the heads that
	// arrive and of the requests at work, Payload that of bodies and responses.
	Connections gypsum.Bytes
	Requests    gypsum.Bytes
	Payload     gypsum.Bytes
	// MaxConns and MaxRequests are the numbers of connections and of requests at work. Each request
	// at work may hold a connection to a backend server.
	MaxConns    int
	MaxRequests int
}

// Parts of the resources. Those of the memory add up to 17/32.
const (
	connectionsDivisor = 8
	requestsNumerator  = 3
	requestsDivisor    = 32
	payloadNumerator   = 5
	payloadDivisor     = 16
	// reservedFiles are descriptors for files, which hosts reserve as well.
	reservedFiles = 200
	// reservedFilesDivisor bounds reservedFiles on a host with few descriptors.
	reservedFilesDivisor = 8
	maxConnsDivisor      = 2
	maxRequestsDivisor   = 4
	// minConns and minRequests are the least that a port gets.
	minConns    = 16
	minRequests = 8
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 20
)

// RuntimeMemoryShare is the share of the host's memory that is set as the soft limit of the Go runtime.
// The rest is for network buffers and for memory that the runtime does not count.
const RuntimeMemoryShare = 0.7

// NewShares divides resources.
func NewShares(resources Resources) Shares {
	memory, descriptors := resources.Memory, resources.Descriptors
	descriptors -= min(reservedFiles, descriptors/reservedFilesDivisor)
	return Shares{
		Connections: memory / connectionsDivisor, Requests: memory * requestsNumerator / requestsDivisor,
		Payload:  memory * payloadNumerator / payloadDivisor,
		MaxConns: descriptors / maxConnsDivisor, MaxRequests: descriptors / maxRequestsDivisor,
	}
}

// Part returns the shares of a port that gets numerator/denominator of them.
func (s Shares) Part(numerator, denominator int) Shares {
	part := func(size gypsum.Bytes) gypsum.Bytes {
		return size * gypsum.Bytes(numerator) / gypsum.Bytes(denominator)
	}
	return Shares{
		Connections: part(s.Connections), Requests: part(s.Requests), Payload: part(s.Payload),
		MaxConns: max(minConns, s.MaxConns*numerator/denominator), MaxRequests: max(minRequests, s.MaxRequests*numerator/denominator),
	}
}
