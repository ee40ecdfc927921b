package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Summaries is a daemon's knowledge of the other data centres. The control
// goroutine owns it. Set the exported fields before use.
type Summaries struct {
	// LocalDataCentre is the daemon's data centre, whose summaries are kept for others only.
	LocalDataCentre gypsum.DataCentre
	// SuspectAfter is the silence after which a data centre gets no new work.
	SuspectAfter time.Duration
	// FailedAfter is the silence after which a summary is forgotten.
	FailedAfter time.Duration

	// RefreshInterval is the time between two summaries of one maker. One of another maker
	// replaces a summary that is older than that.
	RefreshInterval time.Duration

	entries map[gypsum.DataCentre]*summaryEntry
	// Failed is when calls to members elsewhere failed last.
	callFailedAt map[gypsum.HostID]time.Time
}

// summaryEntry is the newest summary of a data centre.
type summaryEntry struct {
	summary   gypsum.DataCentreSummary
	updatedAt time.Time
}

// NewSummaries returns a store without summaries.
func NewSummaries(localDataCentre gypsum.DataCentre) *Summaries {
	return &Summaries{LocalDataCentre: localDataCentre, entries: make(map[gypsum.DataCentre]*summaryEntry), callFailedAt: make(map[gypsum.HostID]time.Time)}
}

// Merge takes over newer summaries.
func (s *Summaries) Merge(summaries []gypsum.DataCentreSummary, now time.Time) {
	for _, summary := range summaries {
		if summary.Age > s.FailedAfter {
			continue
		}
		dataCentre := summary.Location.DataCentre
		known, ok := s.entries[dataCentre]
		if !ok {
			known = &summaryEntry{}
			s.entries[dataCentre] = known
		} else if !s.replaces(&summary, summaryDigest(known, now)) {
			continue
		}
		if summary.Members == nil && summary.MembersHash == known.summary.MembersHash {
			summary.Members = known.summary.Members
		}
		known.summary, known.updatedAt = summary, now.Add(-summary.Age)
	}
}

// replaces tells whether a summary replaces one of the same data centre.
func (s *Summaries) replaces(summary *gypsum.DataCentreSummary, known gypsum.SummaryDigest) bool {
	switch {
	case summary.Delegate != known.Delegate:
		return summary.Age+s.RefreshInterval < known.Age
	case summary.Incarnation != known.Incarnation:
		return summary.Incarnation > known.Incarnation
	}
	return summary.Heartbeat > known.Heartbeat
}

// summaryDigest returns the digest of a known summary.
func summaryDigest(known *summaryEntry, now time.Time) gypsum.SummaryDigest {
	return gypsum.SummaryDigest{
		DataCentre: known.summary.Location.DataCentre, Delegate: known.summary.Delegate, Incarnation: known.summary.Incarnation,
		Heartbeat: known.summary.Heartbeat, MembersHash: known.summary.MembersHash, Age: now.Sub(known.updatedAt).Truncate(time.Millisecond),
	}
}

// RecordCallFailure notes that a call to a member of another data centre failed. It gets
// no new work for a while, in which its own data centre notices too.
func (s *Summaries) RecordCallFailure(id gypsum.HostID, now time.Time) { s.callFailedAt[id] = now }

// Expire forgets summaries that have not advanced for too long, and old failures.
func (s *Summaries) Expire(now time.Time) {
	for dataCentre, known := range s.entries {
		if now.Sub(known.updatedAt) > s.FailedAfter {
			delete(s.entries, dataCentre)
		}
	}
	for id, at := range s.callFailedAt {
		if now.Sub(at) > s.SuspectAfter {
			delete(s.callFailedAt, id)
		}
	}
}

// Digests returns what the store has of the data centres but one.
func (s *Summaries) Digests(except gypsum.DataCentre, now time.Time) []gypsum.SummaryDigest {
	digests := make([]gypsum.SummaryDigest, 0, len(s.entries))
	for dataCentre, known := range s.entries {
		if dataCentre != except {
			digests = append(digests, summaryDigest(known, now))
		}
	}
	return digests
}

// Updates returns the summaries of all data centres but one that are newer than the
// digests, without the members that the asker has.
func (s *Summaries) Updates(digests []gypsum.SummaryDigest, except gypsum.DataCentre, now time.Time) []gypsum.DataCentreSummary {
	peerDigests := make(map[gypsum.DataCentre]gypsum.SummaryDigest, len(digests))
	for _, digest := range digests {
		peerDigests[digest.DataCentre] = digest
	}
	var updates []gypsum.DataCentreSummary
	for dataCentre, known := range s.entries {
		summary := known.summary
		summary.Age = now.Sub(known.updatedAt).Truncate(time.Millisecond)
		digest, ok := peerDigests[dataCentre]
		if dataCentre == except || (ok && !s.replaces(&summary, digest)) {
			continue
		}
		if ok && digest.MembersHash == summary.MembersHash {
			summary.Members = nil
		}
		updates = append(updates, summary)
	}
	return updates
}

// Reachable returns the summary of each other data centre, by name, without data
// centres that are silent and members that failed.
func (s *Summaries) Reachable(now time.Time) []gypsum.DataCentreSummary {
	reachable := make([]gypsum.DataCentreSummary, 0, len(s.entries))
	for dataCentre, known := range s.entries {
		if dataCentre == s.LocalDataCentre || now.Sub(known.updatedAt) > s.SuspectAfter {
			continue
		}
		summary := known.summary
		summary.Members = slices.DeleteFunc(slices.Clone(summary.Members), func(member gypsum.RemoteMember) bool {
			_, failed := s.callFailedAt[member.ID]
			return failed
		})
		if len(summary.Members) > 0 {
			reachable = append(reachable, summary)
		}
	}
	slices.SortFunc(reachable, func(a, b gypsum.DataCentreSummary) int {
		return cmp.Compare(a.Location.DataCentre, b.Location.DataCentre)
	})
	return reachable
}

// MembersHash returns the hash of a list of members.
func MembersHash(members []gypsum.RemoteMember) uint64 {
	fields := make([]string, 0, 3*len(members))
	for _, member := range members {
		fields = append(fields, string(member.ID), member.Address, strconv.FormatBool(member.LogUnreachable))
	}
	return gypsum.Hash64(fields...)
}
