package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/member"
)

// Times of the tables under test.
const (
	suspectAfter = 1500 * time.Millisecond
	goneAfter    = 10 * time.Second
)

var (
	here  = gypsum.Location{DataCentre: "genova", Region: "liguria"}
	there = gypsum.Location{DataCentre: "chioggia", Region: "adriatico"}
	begin = time.Unix(1000, 0)
)

// newTable returns the table of a daemon.
func newTable(id gypsum.HostID) *member.Table {
	table := member.NewTable(gypsum.Member{ID: id, Location: here, Incarnation: 1})
	table.SuspectAfter, table.GoneAfter = suspectAfter, goneAfter
	return table
}

// state returns what a table believes of a member.
func state(table *member.Table, id gypsum.HostID, now time.Time) gypsum.MemberState {
	for _, status := range table.List(now) {
		if status.Member.ID == id {
			return status.State
		}
	}
	return gypsum.StateFailed
}

// TestStates checks what silence, failures, leaving and a return do.
func TestStates(t *testing.T) {
	is := is.New(t)
	a := newTable("a")
	b := gypsum.Member{ID: "b", Location: here, Incarnation: 1, Heartbeat: 1}
	a.Seed([]gypsum.Host{{ID: "b", Kind: gypsum.KindDaemon, Location: here}}, begin)
	is.Equal(state(a, "b", begin), gypsum.StateSuspect) // the list's word alone brings no work
	a.Merge([]gypsum.Member{b}, begin)
	is.Equal(state(a, "b", begin), gypsum.StateAlive)
	is.Equal(state(a, "b", begin.Add(suspectAfter+1)), gypsum.StateSuspect)
	a.Merge([]gypsum.Member{b}, begin.Add(2*time.Second)) // the same beat is no news
	is.Equal(state(a, "b", begin.Add(2*time.Second)), gypsum.StateSuspect)
	b.Heartbeat = 5
	a.Merge([]gypsum.Member{b}, begin.Add(2*time.Second))
	is.Equal(state(a, "b", begin.Add(2*time.Second)), gypsum.StateAlive)
	a.Failed("b")
	is.Equal(state(a, "b", begin.Add(2*time.Second)), gypsum.StateSuspect)
	b.Heartbeat = 7
	a.Merge([]gypsum.Member{b}, begin.Add(2*time.Second))
	is.Equal(state(a, "b", begin.Add(2*time.Second)), gypsum.StateAlive)
	b.Incarnation, b.Heartbeat = 2, 1 // back after a freeze
	a.Merge([]gypsum.Member{b}, begin.Add(3*time.Second))
	is.Equal(state(a, "b", begin.Add(3*time.Second)), gypsum.StateAlive)
	b.Heartbeat, b.Leaving = 2, true
	a.Merge([]gypsum.Member{b}, begin.Add(3*time.Second))
	is.Equal(state(a, "b", begin.Add(3*time.Second)), gypsum.StateLeaving)
}

// TestNoResurrection checks that a member that is gone does not come back to
// life through a peer that still remembers it.
func TestNoResurrection(t *testing.T) {
	is := is.New(t)
	a, b := newTable("a"), newTable("b")
	dead := gypsum.Member{ID: "dead", Location: here, Incarnation: 1, Heartbeat: 9}
	a.Merge([]gypsum.Member{dead}, begin)
	b.Merge([]gypsum.Member{dead}, begin.Add(200*time.Millisecond))
	now := begin.Add(goneAfter + 100*time.Millisecond)
	a.Expire(now)
	b.Expire(now)
	digests := a.Digests(now)
	news, alive := b.News(digests, now)
	a.Merge(news, now)
	a.Heard(alive, now)
	is.True(state(a, "dead", now) != gypsum.StateAlive)
}

// TestSignsOfLife checks that a digest keeps a member alive whose other news is
// known, as of its age, and stands for nothing else.
func TestSignsOfLife(t *testing.T) {
	is := is.New(t)
	a, b := newTable("a"), newTable("b")
	c := gypsum.Member{ID: "c", Location: here, Incarnation: 1, Heartbeat: 4, StatusHeartbeat: 3, Revision: 7}
	a.Merge([]gypsum.Member{c}, begin)
	b.Merge([]gypsum.Member{c}, begin)
	c.Heartbeat = 9
	b.Merge([]gypsum.Member{c}, begin.Add(time.Second))
	now := begin.Add(suspectAfter)
	news, alive := b.News(a.Digests(now), now)
	is.Equal(len(news), 1) // b itself, unknown to a
	is.Equal(alive, []gypsum.MemberDigest{{ID: "c", Incarnation: 1, Heartbeat: 9, StatusHeartbeat: 3, Age: suspectAfter - time.Second}})
	is.Equal(len(a.Heard(alive, now)), 1)
	is.Equal(state(a, "c", begin.Add(time.Second+suspectAfter)), gypsum.StateAlive)
	is.Equal(state(a, "c", begin.Add(time.Second+suspectAfter+1)), gypsum.StateSuspect) // by the age of the news
	is.Equal(len(a.Heard(alive, now)), 0)                                               // the same beat is no news
	c.Heartbeat, c.StatusHeartbeat, c.Leaving = 10, 10, true
	b.Merge([]gypsum.Member{c}, now)
	is.Equal(len(a.Heard(b.Digests(now), now)), 0) // that it leaves cannot be told by a digest
	news, alive = b.News(a.Digests(now), now)
	is.Equal(len(news), 2)
	is.Equal(len(alive), 0)
	a.Merge(news, now)
	is.Equal(state(a, "c", now), gypsum.StateLeaving)
}

// TestOtherMaker checks that a second delegate's summary takes the place of the
// first's only once that has stopped making them.
func TestOtherMaker(t *testing.T) {
	is := is.New(t)
	a := member.NewSummaries("genova")
	a.SuspectAfter, a.GoneAfter, a.Renewal = 2*suspectAfter, goneAfter, time.Second
	first := gypsum.DataCentreSummary{Location: there, Delegate: "c", Incarnation: 1, Heartbeat: 3, Members: []gypsum.RemoteMember{{ID: "c"}}}
	second := gypsum.DataCentreSummary{Location: there, Delegate: "d", Incarnation: 1, Heartbeat: 8, Members: []gypsum.RemoteMember{{ID: "d"}}}
	a.Merge([]gypsum.DataCentreSummary{first}, begin)
	a.Merge([]gypsum.DataCentreSummary{second}, begin.Add(time.Second))
	is.Equal(a.Others(begin.Add(time.Second))[0].Delegate, gypsum.HostID("c"))
	a.Merge([]gypsum.DataCentreSummary{second}, begin.Add(time.Second+time.Millisecond))
	is.Equal(a.Others(begin.Add(time.Second + time.Millisecond))[0].Delegate, gypsum.HostID("d"))
}

// TestNoResurrectionOfSummaries checks the same for data centres.
func TestNoResurrectionOfSummaries(t *testing.T) {
	is := is.New(t)
	a, b := member.NewSummaries("genova"), member.NewSummaries("genova")
	for _, store := range []*member.Summaries{a, b} {
		store.SuspectAfter, store.GoneAfter = 2*suspectAfter, goneAfter
	}
	old := gypsum.DataCentreSummary{Location: there, Delegate: "c", Incarnation: 1, Heartbeat: 3, Members: []gypsum.RemoteMember{{ID: "c"}}}
	a.Merge([]gypsum.DataCentreSummary{old}, begin)
	b.Merge([]gypsum.DataCentreSummary{old}, begin.Add(200*time.Millisecond))
	is.Equal(len(a.Others(begin)), 1)
	now := begin.Add(goneAfter + 100*time.Millisecond)
	a.Expire(now)
	b.Expire(now)
	a.Merge(b.News(a.Digests("", now), "", now), now)
	is.Equal(len(a.Others(now)), 0)
}

// TestRosterIsSentOnce checks that a summary's members travel only when they
// have changed.
func TestRosterIsSentOnce(t *testing.T) {
	is := is.New(t)
	a, b := member.NewSummaries("genova"), member.NewSummaries("genova")
	for _, store := range []*member.Summaries{a, b} {
		store.SuspectAfter, store.GoneAfter = 2*suspectAfter, goneAfter
	}
	members := []gypsum.RemoteMember{{ID: "c", Address: "c"}}
	summary := gypsum.DataCentreSummary{Location: there, Delegate: "c", Incarnation: 1, Heartbeat: 1, Members: members, MembersHash: member.RosterOf(members)}
	b.Merge([]gypsum.DataCentreSummary{summary}, begin)
	a.Merge(b.News(a.Digests("", begin), "", begin), begin)
	is.Equal(a.Others(begin)[0].Members, members)
	summary.Heartbeat = 2
	b.Merge([]gypsum.DataCentreSummary{summary}, begin)
	news := b.News(a.Digests("", begin), "", begin)
	is.Equal(len(news[0].Members), 0)
	a.Merge(news, begin)
	is.Equal(a.Others(begin)[0].Members, members)
}
