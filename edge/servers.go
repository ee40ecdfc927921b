package edge

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/gypsumhook/gypsum/proxy"
	"github.com/gypsumhook/gypsum/wire"
)

// ready returns nil if the host can serve.
func (h *Host) ready() error {
	switch {
	case h.front.Stopping.Load():
		return errStopping
	case h.state.Current().Config == nil:
		return errNoConfiguration
	case !h.batches.Follower.Loaded():
		return errNoState
	}
	return nil
}

// servers returns the servers of the process.
func (h *Host) servers() []serverOf {
	metrics := expvar.Handler()
	check := http.NewServeMux()
	check.Handle("/debug/vars", metrics)
	check.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	servers := []serverOf{
		newServer(h.Settings.ClientAddr, h.front.Handler()),
		newServer(h.Settings.ReadinessAddr, check),
	}
	if h.Settings.InternalPorts[0] > 0 {
		inner := http.NewServeMux()
		inner.Handle("/debug/vars", metrics)
		inner.Handle(wire.StoreHandler(h.store.ServeToPeers()))
		servers = append(servers, newServer(h.internalAddress(), inner))
	}
	return servers
}

// newServer returns a server for one handler.
func newServer(address string, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(khttp.Network("tcp"), khttp.Address(address), khttp.Timeout(0))
	// Without the router, which would clean paths and redirect.
	server.Handler = handler
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeader
	return server
}

// internalAddress is where other daemons reach this one.
func (h *Host) internalAddress() string {
	return net.JoinHostPort(h.Settings.IP, strconv.Itoa(h.Settings.InternalPorts[0]))
}

// announce tells other daemons where this one is, until that is stored.
func (h *Host) announce(ctx context.Context) error {
	if h.Settings.InternalPorts[0] == 0 {
		return nil
	}
	for {
		err := h.batches.Announce(ctx, h.internalAddress(), h.Settings.Location, h.Settings.CPUShare)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		h.Logger.Warn("address not stored", "error", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// others returns the other daemons.
func (h *Host) others() []proxy.Peer {
	records := h.book.Daemons()
	peers := make([]proxy.Peer, 0, len(records))
	for _, record := range records {
		peers = append(peers, proxy.Peer{Host: record.Host, Address: record.Address, Location: record.Location})
	}
	return peers
}
