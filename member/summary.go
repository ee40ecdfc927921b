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
	// Own is the daemon's data centre, whose summaries are kept for others only.
	Own gypsum.DataCentre
	// SuspectAfter is the silence after which a data centre gets no new work.
	SuspectAfter time.Duration
	// GoneAfter is the silence after which a summary is forgotten.
	GoneAfter time.Duration

	// Renewal is the time between two summaries of one maker. One of another maker
	// replaces a summary that is older than that.
	Renewal time.Duration

	entries map[gypsum.DataCentre]*summaryEntry
	// Failed is when calls to members elsewhere failed last.
	failed map[gypsum.HostID]time.Time
}

// summaryEntry is the newest summary of a data centre.
type summaryEntry struct {
	summary gypsum.DataCentreSummary
	heard   time.Time
}

// NewSummaries returns a store without summaries.
func NewSummaries(own gypsum.DataCentre) *Summaries {
	return &Summaries{Own: own, entries: make(map[gypsum.DataCentre]*summaryEntry), failed: make(map[gypsum.HostID]time.Time)}
}

// Merge takes over newer summaries.
func (s *Summaries) Merge(summaries []gypsum.DataCentreSummary, now time.Time) {
	for _, summary := range summaries {
		if summary.Age > s.GoneAfter {
			continue
		}
		centre := summary.Location.DataCentre
		known, ok := s.entries[centre]
		if !ok {
			known = &summaryEntry{}
			s.entries[centre] = known
		} else if !s.replaces(&summary, digestOfSummary(known, now)) {
			continue
		}
		if summary.Members == nil && summary.MembersHash == known.summary.MembersHash {
			summary.Members = known.summary.Members
		}
		known.summary, known.heard = summary, now.Add(-summary.Age)
	}
}

// replaces tells whether a summary replaces one of the same data centre.
func (s *Summaries) replaces(summary *gypsum.DataCentreSummary, known gypsum.SummaryDigest) bool {
	switch {
	case summary.Delegate != known.Delegate:
		return summary.Age+s.Renewal < known.Age
	case summary.Incarnation != known.Incarnation:
		return summary.Incarnation > known.Incarnation
	}
	return summary.Heartbeat > known.Heartbeat
}

// digestOfSummary returns the digest of a known summary.
func digestOfSummary(known *summaryEntry, now time.Time) gypsum.SummaryDigest {
	return gypsum.SummaryDigest{
		DataCentre: known.summary.Location.DataCentre, Delegate: known.summary.Delegate, Incarnation: known.summary.Incarnation,
		Heartbeat: known.summary.Heartbeat, MembersHash: known.summary.MembersHash, Age: now.Sub(known.heard).Truncate(time.Millisecond),
	}
}

// Failed notes that a call to a member of another data centre failed. It gets
// no new work for a while, in which its own data centre notices too.
func (s *Summaries) Failed(id gypsum.HostID, now time.Time) { s.failed[id] = now }

// Expire forgets summaries that have not advanced for too long, and old failures.
func (s *Summaries) Expire(now time.Time) {
	for centre, known := range s.entries {
		if now.Sub(known.heard) > s.GoneAfter {
			delete(s.entries, centre)
		}
	}
	for id, at := range s.failed {
		if now.Sub(at) > s.SuspectAfter {
			delete(s.failed, id)
		}
	}
}

// Digests returns what the store has of the data centres but one.
func (s *Summaries) Digests(but gypsum.DataCentre, now time.Time) []gypsum.SummaryDigest {
	digests := make([]gypsum.SummaryDigest, 0, len(s.entries))
	for centre, known := range s.entries {
		if centre != but {
			digests = append(digests, digestOfSummary(known, now))
		}
	}
	return digests
}

// News returns the summaries of all data centres but one that are newer than the
// digests, without the members that the asker has.
func (s *Summaries) News(digests []gypsum.SummaryDigest, but gypsum.DataCentre, now time.Time) []gypsum.DataCentreSummary {
	has := make(map[gypsum.DataCentre]gypsum.SummaryDigest, len(digests))
	for _, digest := range digests {
		has[digest.DataCentre] = digest
	}
	var news []gypsum.DataCentreSummary
	for centre, known := range s.entries {
		summary := known.summary
		summary.Age = now.Sub(known.heard).Truncate(time.Millisecond)
		digest, ok := has[centre]
		if centre == but || (ok && !s.replaces(&summary, digest)) {
			continue
		}
		if ok && digest.MembersHash == summary.MembersHash {
			summary.Members = nil
		}
		news = append(news, summary)
	}
	return news
}

// Others returns the summary of each other data centre, by name, without data
// centres that are silent and members that failed.
func (s *Summaries) Others(now time.Time) []gypsum.DataCentreSummary {
	others := make([]gypsum.DataCentreSummary, 0, len(s.entries))
	for centre, known := range s.entries {
		if centre == s.Own || now.Sub(known.heard) > s.SuspectAfter {
			continue
		}
		summary := known.summary
		summary.Members = slices.DeleteFunc(slices.Clone(summary.Members), func(member gypsum.RemoteMember) bool {
			_, failed := s.failed[member.ID]
			return failed
		})
		if len(summary.Members) > 0 {
			others = append(others, summary)
		}
	}
	slices.SortFunc(others, func(a, b gypsum.DataCentreSummary) int {
		return cmp.Compare(a.Location.DataCentre, b.Location.DataCentre)
	})
	return others
}

// RosterOf returns the hash of a list of members.
func RosterOf(members []gypsum.RemoteMember) uint64 {
	parts := make([]string, 0, 3*len(members))
	for _, member := range members {
		parts = append(parts, string(member.ID), member.Address, strconv.FormatBool(member.LogUnreachable))
	}
	return gypsum.Hash64(parts...)
}
