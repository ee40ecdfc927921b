package origin

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// Times of a Recorder.
const (
	// recordInterval is the time between two comparisons of the services with their records.
	recordInterval = 200 * time.Millisecond
	// recordStagger is the delay by which each daemon records after the one before it, so that one
	// does. It is longer than the time in which others read a record.
	recordStagger    = 300 * time.Millisecond
	maxRecordStagger = 3 * time.Second
	// storeTimeout bounds the write of a record.
	storeTimeout = 3 * time.Second
)

// Recorder stores the software versions of the services that resumable streams go to. The records
// outlive the loss of all daemons, and tell those that start afterwards whether a stream may have been
// begun at a replica that has left. Set the exported fields before Run.
type Recorder struct {
	Self     gypsum.HostID
	Registry *state.Registry
	Records  gypsum.SoftwareRecords
	// CatchUp is as that of a Tracker.
	CatchUp   func(ctx context.Context) error
	ListPeers func() []gypsum.Peer
	Logger    *slog.Logger

	// dueSince is when the record of a service was first seen to be missing or outdated.
	dueSince map[gypsum.ServiceName]time.Time
}

// Run records software versions until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	r.dueSince = make(map[gypsum.ServiceName]time.Time)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, service := range resumableServices(r.Registry.Current().Config) {
			r.update(ctx, service)
		}
	}
}

// resumableServices returns the services that resumable streams go to.
func resumableServices(config *gypsum.RoutingConfig) []gypsum.ServiceName {
	if config == nil {
		return nil
	}
	var services []gypsum.ServiceName
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind != gypsum.RouteStreaming || !route.Resumable {
			continue
		}
		for _, weighted := range route.Services {
			if !slices.Contains(services, weighted.Service) {
				services = append(services, weighted.Service)
			}
		}
	}
	return services
}

// Record is what is to be recorded of a service.
type Record int

// What is to be recorded.
const (
	RecordNothing Record = iota
	// RecordVersions is a record of the current versions.
	RecordVersions
	// RecordSettled settles the newest record.
	RecordSettled
)

// NextRecord returns what is to be recorded of a service with the current software versions. recent
// are those of the time in which a stream may have been begun that is still taken up, observed is
// whether that time was observed without a gap. record is the newest record, nil for none.
func NextRecord(current, recent []gypsum.SoftwareVersion, observed bool, record *gypsum.SoftwareRecord) Record {
	switch {
	case len(current) == 0:
		return RecordNothing
	case record == nil || !slices.Equal(record.Versions, current):
		return RecordVersions
	case !record.Settled && observed && len(recent) == 1:
		return RecordSettled
	}
	return RecordNothing
}

// next returns what is to be recorded of a service, its current versions and the newest record.
func (r *Recorder) next(service gypsum.ServiceName) (next Record, versions []gypsum.SoftwareVersion, newest *gypsum.SoftwareRecord) {
	versions = r.Registry.Current().Software[service]
	recent, observed := r.Registry.SoftwareSince(service, time.Now().Add(-maxStreamAge))
	if record, ok := r.Records.RecordedSoftware(service); ok {
		newest = &record
	}
	return NextRecord(versions, recent, observed, newest), versions, newest
}

// update records the software versions of a service if that is due and no other daemon does.
func (r *Recorder) update(ctx context.Context, service gypsum.ServiceName) {
	if next, _, _ := r.next(service); next == RecordNothing {
		delete(r.dueSince, service)
		return
	}
	since, due := r.dueSince[service]
	if !due {
		since = time.Now()
		r.dueSince[service] = since
	}
	if time.Since(since) < r.delay(service) {
		return
	}
	if err := r.record(ctx, service); err != nil && ctx.Err() == nil {
		r.Logger.Warn("failed to record the software versions of a service", "service", service, "error", err)
	}
}

// delay returns how long this daemon lets others record a service.
func (r *Recorder) delay(service gypsum.ServiceName) time.Duration {
	peers := r.ListPeers()
	ranked := gypsum.RendezvousPeers(string(service), peers, len(peers))
	rank := slices.IndexFunc(ranked, func(peer gypsum.Peer) bool { return peer.Host == r.Self })
	if rank < 0 {
		rank = len(ranked)
	}
	return min(time.Duration(rank)*recordStagger, maxRecordStagger)
}

// record records a service by registrations that are read after the call.
func (r *Recorder) record(ctx context.Context, service gypsum.ServiceName) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.CatchUp(ctx); err != nil {
		return fmt.Errorf("catch up: %w", err)
	}
	next, versions, newest := r.next(service)
	switch next {
	case RecordVersions:
		if err := r.Records.RecordSoftware(ctx, service, versions); err != nil {
			return err
		}
	case RecordSettled:
		if err := r.Records.SettleSoftware(ctx, service, newest.Offset); err != nil {
			return err
		}
	case RecordNothing:
		return nil
	}
	r.Logger.Info("software versions recorded", "service", service, "versions", versions, "settled", next == RecordSettled)
	return nil
}
