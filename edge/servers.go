package edge

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/intake"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/wire"
)

// checkReady returns nil if the daemon can serve, and otherwise the reason why it cannot.
func (d *Daemon) checkReady() error {
	config, _, confirmed := d.registry.ConfirmedConfig()
	switch {
	case d.frontend.Stopping.Load():
		return errStopping
	case config == nil:
		return errNoConfiguration
	case config.Accounts != nil && d.Settings.StrictRevocation && !confirmed:
		return errKeysNotConfirmed
	}
	for _, follower := range d.followers {
		if !follower.Loaded() {
			return fmt.Errorf("topic %s: %w", follower.Topic, errTopicNotLoaded)
		}
	}
	return nil
}

// newServers returns the servers of the process: for clients, for the load balancer's check
// and, if internal ports are configured, for other daemons.
func (d *Daemon) newServers() ([]appServer, error) {
	metricsHandler := expvar.Handler()
	readiness := http.NewServeMux()
	readiness.Handle("/debug/vars", metricsHandler)
	readiness.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	ports := d.newPorts()
	var servers []appServer
	addServer := func(port *intake.Port, address string, handler http.Handler) error {
		server, err := newServer(port, address, handler)
		if err == nil {
			servers = append(servers, server)
		}
		return err
	}
	if err := addServer(ports.clients, d.Settings.ClientAddr, d.drain.Handler(d.frontend.Handler())); err != nil {
		return nil, err
	}
	if err := addServer(ports.readiness, d.Settings.ReadinessAddr, readiness); err != nil {
		return nil, err
	}
	if d.Settings.InternalPorts[0] > 0 {
		internal := http.NewServeMux()
		internal.Handle("/debug/vars", metricsHandler)
		internal.Handle(wire.StoreHandler(d.store.StoreForPeers()))
		internal.Handle(wire.PermitHandler(d.limiter))
		internal.Handle(wire.FeedHandler(d.feed))
		internal.Handle(front.ExplainPath, d.frontend.ExplainHandler(d.Settings.Host))
		for path, handler := range wire.OriginHandler(d.origins) {
			internal.Handle(path, handler)
		}
		for path, handler := range wire.ReplicaHandler(d.reach, d.forwardedMemory) {
			internal.Handle(path, handler)
		}
		if err := addServer(ports.internal, d.internalAddress(), wire.WithoutCompression(internal)); err != nil {
			return nil, err
		}
	}
	return servers, nil
}

// newServer returns an HTTP server for a handler, which listens on an address.
func newServer(port *intake.Port, address string, handler http.Handler) (*khttp.Server, error) {
	listener, err := port.Listen(address)
	if err != nil {
		return nil, err
	}
	server := khttp.NewServer(khttp.Network("tcp"), khttp.Address(address), khttp.Timeout(0), khttp.Listener(listener))
	// Bypasses the kratos router, which would clean paths and redirect.
	server.Handler = handler
	port.Protect(server.Server)
	return server, nil
}

// ports are what bounds the clients of the servers.
type ports struct {
	clients, readiness, internal *intake.Port
}

// newPorts returns the ports, which divide the shares of the process.
func (d *Daemon) newPorts() *ports {
	d.ports = &ports{
		clients: &intake.Port{
			Name: "clients", Shares: d.shares.Part(clientParts, allParts), Limits: d.clientLimits, Refuse: d.frontend.RefuseUnread,
		},
		readiness: &intake.Port{Name: "readiness", Shares: d.shares.Part(readinessParts, allParts)},
		internal: &intake.Port{
			Name: "internal", Shares: d.shares.Part(internalParts, allParts), Bodies: d.internalBodies, BodyCopies: internalBodyCopies,
		},
	}
	for _, port := range d.ports.all() {
		port.Logger = d.Logger
	}
	return d.ports
}

// all returns the ports.
func (p *ports) all() []*intake.Port { return []*intake.Port{p.clients, p.readiness, p.internal} }

// clientLimits returns the limits of the configuration in force.
func (d *Daemon) clientLimits() gypsum.ClientLimits {
	if config := d.registry.Current().Config; config != nil {
		return config.Limits
	}
	return platform.DefaultClientLimits()
}

// internalAddress returns the address under which other daemons reach this one.
func (d *Daemon) internalAddress() string {
	return net.JoinHostPort(d.Settings.IP, strconv.Itoa(d.Settings.InternalPorts[0]))
}

// announceAddress stores the address of this daemon for other daemons. It retries until that
// succeeds or ctx is done.
func (d *Daemon) announceAddress(ctx context.Context) error {
	if d.Settings.InternalPorts[0] == 0 {
		return nil
	}
	for {
		err := d.batches.RecordDaemon(ctx, d.internalAddress(), d.Settings.Location, d.Settings.CPUShare)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		d.Logger.Warn("failed to store daemon address", "error", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// holderOf returns the daemon that holds a service, empty for none.
func (d *Daemon) holderOf(service gypsum.ServiceName) gypsum.HostID {
	holder, _, known := d.batchState.Holder(service)
	if !known || holder.Released {
		return ""
	}
	return holder.Host
}

// peers returns the daemons that have stored their addresses.
func (d *Daemon) peers() []gypsum.Peer {
	records := d.batchState.DaemonRecords()
	peers := make([]gypsum.Peer, 0, len(records))
	for _, record := range records {
		peers = append(peers, gypsum.Peer{Host: record.Host, Address: record.Address, Location: record.Location})
	}
	return peers
}
