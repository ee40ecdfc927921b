package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Summaries holds the newest summary of each data centre. It is owned by the
// control goroutine. Set the exported fields before use.
type Summaries struct {
	// LocalDataCentre is the daemon's own data centre. Its summaries are kept only
	// to pass them on to others.
	LocalDataCentre gypsum.DataCentre
	// SuspectAfter is the time without an update after which a data centre gets no
	// new work.
	SuspectAfter time.Duration
	// FailedAfter is the time without an update after which a summary is removed.
	FailedAfter time.Duration

	// RefreshInterval is the time between two summaries of one delegate. The summary of
	// another delegate replaces the known summary only if the known one is older by more
	// than RefreshInterval.
	RefreshInterval time.Duration

	entries map[gypsum.DataCentre]*summaryEntry
	// callFailedAt is when a call to a member of another data centre last failed.
	callFailedAt map[gypsum.HostID]time.Time
}

// summaryEntry is the newest summary of a data centre and when it was last
// updated, by the local clock.
type summaryEntry struct {
	summary   gypsum.DataCentreSummary
	updatedAt time.Time
}

// NewSummaries returns an empty set of summaries for a daemon of the data centre.
func NewSummaries(localDataCentre gypsum.DataCentre) *Summaries {
	return &Summaries{LocalDataCentre: localDataCentre, entries: make(map[gypsum.DataCentre]*summaryEntry), callFailedAt: make(map[gypsum.HostID]time.Time)}
}

// Merge adds the summaries that are newer than the known ones.
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
		} else if !s.isNewer(&summary, newSummaryDigest(known, now)) {
			continue
		}
		if summary.Members == nil && summary.MembersHash == known.summary.MembersHash {
			summary.Members = known.summary.Members
		}
		known.summary, known.updatedAt = summary, now.Add(-summary.Age)
	}
}

// isNewer reports whether a summary replaces the known one of the same data
// centre.
func (s *Summaries) isNewer(summary *gypsum.DataCentreSummary, known gypsum.SummaryDigest) bool {
	switch {
	case summary.Delegate != known.Delegate:
		return summary.Age+s.RefreshInterval < known.Age
	case summary.Incarnation != known.Incarnation:
		return summary.Incarnation > known.Incarnation
	}
	return summary.Heartbeat > known.Heartbeat
}

func newSummaryDigest(known *summaryEntry, now time.Time) gypsum.SummaryDigest {
	return gypsum.SummaryDigest{
		DataCentre: known.summary.Location.DataCentre, Delegate: known.summary.Delegate, Incarnation: known.summary.Incarnation,
		Heartbeat: known.summary.Heartbeat, MembersHash: known.summary.MembersHash, Age: now.Sub(known.updatedAt).Truncate(time.Millisecond),
	}
}

// RecordCallFailure records that a call to a member of another data centre failed. The
// member gets no new work for SuspectAfter, in which time its own data centre
// detects the failure too.
func (s *Summaries) RecordCallFailure(id gypsum.HostID, now time.Time) { s.callFailedAt[id] = now }

// RemoveExpired removes summaries that have not been updated for FailedAfter, and failures
// older than SuspectAfter.
func (s *Summaries) RemoveExpired(now time.Time) {
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

// Digests returns the digests of all known summaries except that of one data centre.
func (s *Summaries) Digests(except gypsum.DataCentre, now time.Time) []gypsum.SummaryDigest {
	digests := make([]gypsum.SummaryDigest, 0, len(s.entries))
	for dataCentre, known := range s.entries {
		if dataCentre != except {
			digests = append(digests, newSummaryDigest(known, now))
		}
	}
	return digests
}

// Updates returns the summaries that are newer than the digests, except that of one
// data centre. It leaves out the members of a summary if the peer already has them.
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
		if dataCentre == except || (ok && !s.isNewer(&summary, digest)) {
			continue
		}
		if ok && digest.MembersHash == summary.MembersHash {
			summary.Members = nil
		}
		updates = append(updates, summary)
	}
	return updates
}

// ReachableSummaries returns the summaries of the other data centres, sorted by name. It
// leaves out data centres without a recent update and members to which calls have
// failed recently.
func (s *Summaries) ReachableSummaries(now time.Time) []gypsum.DataCentreSummary {
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
		fields = append(fields, string(member.ID), member.Address, strconv.FormatBool(member.LogUnavailable))
	}
	return gypsum.Hash64(fields...)
}
