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

	entries map[gypsum.HostID]*summaryEntry
	// Failed is when calls to members elsewhere failed last.
	failed map[gypsum.HostID]time.Time
}

// summaryEntry is the newest summary of one maker.
type summaryEntry struct {
	summary gypsum.Summary
	heard   time.Time
}

// NewSummaries returns a store without summaries.
func NewSummaries(own gypsum.DataCentre) *Summaries {
	return &Summaries{Own: own, entries: make(map[gypsum.HostID]*summaryEntry), failed: make(map[gypsum.HostID]time.Time)}
}

// Merge takes over newer summaries.
func (s *Summaries) Merge(summaries []gypsum.Summary, now time.Time) {
	for _, summary := range summaries {
		if summary.Age > s.GoneAfter {
			continue
		}
		known, ok := s.entries[summary.Maker]
		if !ok {
			known = &summaryEntry{}
			s.entries[summary.Maker] = known
		} else if !newerSummary(summary.Incarnation, summary.Beat, &known.summary) {
			continue
		}
		if summary.Members == nil && summary.Roster == known.summary.Roster {
			summary.Members = known.summary.Members
		}
		known.summary, known.heard = summary, now.Add(-summary.Age)
	}
}

// newerSummary tells whether a summary with an incarnation and beat replaces one.
func newerSummary(incarnation gypsum.Incarnation, beat int64, known *gypsum.Summary) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return beat > known.Beat
}

// Failed notes that a call to a member of another data centre failed. It gets
// no new work for a while, in which its own data centre notices too.
func (s *Summaries) Failed(id gypsum.HostID, now time.Time) { s.failed[id] = now }

// Expire forgets summaries that have not advanced for too long, and old failures.
func (s *Summaries) Expire(now time.Time) {
	for maker, known := range s.entries {
		if now.Sub(known.heard) > s.GoneAfter {
			delete(s.entries, maker)
		}
	}
	for id, at := range s.failed {
		if now.Sub(at) > s.SuspectAfter {
			delete(s.failed, id)
		}
	}
}

// Digests returns what the store has.
func (s *Summaries) Digests() []gypsum.SummaryDigest {
	digests := make([]gypsum.SummaryDigest, 0, len(s.entries))
	for maker, known := range s.entries {
		digests = append(digests, gypsum.SummaryDigest{
			Maker: maker, Incarnation: known.summary.Incarnation, Beat: known.summary.Beat, Roster: known.summary.Roster,
		})
	}
	return digests
}

// News returns the summaries that are newer than the digests, without the
// members that the asker has.
func (s *Summaries) News(digests []gypsum.SummaryDigest, now time.Time) []gypsum.Summary {
	has := make(map[gypsum.HostID]gypsum.SummaryDigest, len(digests))
	for _, digest := range digests {
		has[digest.Maker] = digest
	}
	var news []gypsum.Summary
	for maker, known := range s.entries {
		digest, ok := has[maker]
		old := gypsum.Summary{Incarnation: digest.Incarnation, Beat: digest.Beat}
		if ok && !newerSummary(known.summary.Incarnation, known.summary.Beat, &old) {
			continue
		}
		summary := known.summary
		summary.Age = now.Sub(known.heard)
		if ok && digest.Roster == summary.Roster {
			summary.Members = nil
		}
		news = append(news, summary)
	}
	return news
}

// Others returns the freshest summary of each other data centre, by name,
// without data centres that are silent and members that failed.
func (s *Summaries) Others(now time.Time) []gypsum.Summary {
	freshest := make(map[gypsum.DataCentre]*summaryEntry)
	for _, known := range s.entries {
		centre := known.summary.Location.DataCentre
		if centre == s.Own || now.Sub(known.heard) > s.SuspectAfter {
			continue
		}
		if best, ok := freshest[centre]; !ok || known.heard.After(best.heard) {
			freshest[centre] = known
		}
	}
	others := make([]gypsum.Summary, 0, len(freshest))
	for _, known := range freshest {
		summary := known.summary
		summary.Members = slices.DeleteFunc(slices.Clone(summary.Members), func(member gypsum.MemberBrief) bool {
			_, failed := s.failed[member.ID]
			return failed
		})
		if len(summary.Members) > 0 {
			others = append(others, summary)
		}
	}
	slices.SortFunc(others, func(a, b gypsum.Summary) int {
		return cmp.Compare(a.Location.DataCentre, b.Location.DataCentre)
	})
	return others
}

// RosterOf returns the hash of a list of members.
func RosterOf(members []gypsum.MemberBrief) uint64 {
	parts := make([]string, 0, 3*len(members))
	for _, member := range members {
		parts = append(parts, string(member.ID), member.Address, strconv.FormatBool(member.LogDown))
	}
	return gypsum.Hash64(parts...)
}
