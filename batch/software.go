package batch

import (
	"context"

	"github.com/gypsumhook/gypsum"
)

// Software is the record of the software versions that the replicas of a service have.
type Software struct {
	Service  gypsum.ServiceName       `cbor:"1,keyasint"`
	Versions []gypsum.SoftwareVersion `cbor:"2,keyasint"`
}

// SettledSoftware is the record by which the Software record of a service at an offset is settled, see
// gypsum.SoftwareRecord. It names the offset, since a daemon that is behind may write it after another
// one has recorded other versions.
type SettledSoftware struct {
	Service gypsum.ServiceName `cbor:"1,keyasint"`
	Record  gypsum.Offset      `cbor:"2,keyasint"`
}

// softwareEntry is the state of the software versions of a service.
type softwareEntry struct {
	versions []gypsum.SoftwareVersion
	offset   gypsum.Offset
	// settledOffset is the offset of the record that was settled last, -1 for none.
	settledOffset gypsum.Offset
}

// softwareEntry returns the entry of a service, which it creates if there is none. The caller holds mu.
func (s *State) softwareEntry(service gypsum.ServiceName) *softwareEntry {
	entry := s.software[service]
	if entry == nil {
		entry = &softwareEntry{offset: -1, settledOffset: -1}
		s.software[service] = entry
	}
	return entry
}

func (s *State) applySoftware(software Software, offset gypsum.Offset) {
	entry := s.softwareEntry(software.Service)
	entry.versions, entry.offset = software.Versions, offset
}

// RecordedSoftware returns the newest record of the software versions of a service.
func (s *State) RecordedSoftware(service gypsum.ServiceName) (record gypsum.SoftwareRecord, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry := s.software[service]
	if entry == nil || entry.offset < 0 {
		return gypsum.SoftwareRecord{}, false
	}
	return gypsum.SoftwareRecord{Versions: entry.versions, Offset: entry.offset, Settled: entry.settledOffset == entry.offset}, true
}

// RecordedSoftware implements gypsum.SoftwareRecords.
func (m *Manager) RecordedSoftware(service gypsum.ServiceName) (record gypsum.SoftwareRecord, ok bool) {
	return m.State.RecordedSoftware(service)
}

// RecordSoftware implements gypsum.SoftwareRecords.
func (m *Manager) RecordSoftware(ctx context.Context, service gypsum.ServiceName, versions []gypsum.SoftwareVersion) error {
	return m.appendAndApply(ctx, Software{Service: service, Versions: versions}, kindSoftware, string(service))
}

// SettleSoftware implements gypsum.SoftwareRecords.
func (m *Manager) SettleSoftware(ctx context.Context, service gypsum.ServiceName, record gypsum.Offset) error {
	return m.appendAndApply(ctx, SettledSoftware{Service: service, Record: record}, kindSettled, string(service))
}

// appendAndApply appends a record to the state topic and waits until the State has applied it.
func (m *Manager) appendAndApply(ctx context.Context, content any, kind string, parts ...string) error {
	offset, err := m.appendRecord(ctx, content, kind, parts...)
	if err != nil {
		return err
	}
	return m.Follower.WaitForOffset(ctx, offset+1)
}
