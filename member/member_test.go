package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/member"
)

// Time limits of the tables under test.
const (
	suspectAfter = 1500 * time.Millisecond
	failedAfter  = 10 * time.Second
)

var (
	localLocation  = gypsum.Location{DataCentre: "genova", Region: "liguria"}
	remoteLocation = gypsum.Location{DataCentre: "chioggia", Region: "adriatico"}
	startTime      = time.Unix(1000, 0)
)

// newTable returns the member table of a daemon.
func newTable(id gypsum.HostID) *member.Table {
	table := member.NewTable(gypsum.Member{ID: id, Location: localLocation, Incarnation: 1})
	table.SuspectAfter, table.FailedAfter = suspectAfter, failedAfter
	return table
}

// stateOf returns the state of a member in a table.
func stateOf(table *member.Table, id gypsum.HostID, now time.Time) gypsum.MemberState {
	for _, status := range table.Statuses(now) {
		if status.Member.ID == id {
			return status.State
		}
	}
	return gypsum.MemberFailed
}

// TestMemberStates checks the states of a member after a missing heartbeat, a failed
// call, leaving and a restart.
func TestMemberStates(t *testing.T) {
	is := is.New(t)
	a := newTable("a")
	b := gypsum.Member{ID: "b", Location: localLocation, Incarnation: 1, Heartbeat: 1}
	a.AddListedHosts([]gypsum.Host{{ID: "b", Kind: gypsum.HostKindDaemon, Location: localLocation}}, startTime)
	is.Equal(stateOf(a, "b", startTime), gypsum.MemberSuspect) // a member known only from the host list gets no work
	a.Merge([]gypsum.Member{b}, startTime)
	is.Equal(stateOf(a, "b", startTime), gypsum.MemberAlive)
	is.Equal(stateOf(a, "b", startTime.Add(suspectAfter+1)), gypsum.MemberSuspect)
	a.Merge([]gypsum.Member{b}, startTime.Add(2*time.Second)) // a repeated heartbeat is no update
	is.Equal(stateOf(a, "b", startTime.Add(2*time.Second)), gypsum.MemberSuspect)
	b.Heartbeat = 5
	a.Merge([]gypsum.Member{b}, startTime.Add(2*time.Second))
	is.Equal(stateOf(a, "b", startTime.Add(2*time.Second)), gypsum.MemberAlive)
	a.RecordCallFailure("b")
	is.Equal(stateOf(a, "b", startTime.Add(2*time.Second)), gypsum.MemberSuspect)
	b.Heartbeat = 7
	a.Merge([]gypsum.Member{b}, startTime.Add(2*time.Second))
	is.Equal(stateOf(a, "b", startTime.Add(2*time.Second)), gypsum.MemberAlive)
	b.Incarnation, b.Heartbeat = 2, 1 // back after a freeze
	a.Merge([]gypsum.Member{b}, startTime.Add(3*time.Second))
	is.Equal(stateOf(a, "b", startTime.Add(3*time.Second)), gypsum.MemberAlive)
	b.Heartbeat, b.Leaving = 2, true
	a.Merge([]gypsum.Member{b}, startTime.Add(3*time.Second))
	is.Equal(stateOf(a, "b", startTime.Add(3*time.Second)), gypsum.MemberLeaving)
}

// TestFailedMemberStaysFailed checks that a failed member is not added again by a peer
// that has not removed it yet.
func TestFailedMemberStaysFailed(t *testing.T) {
	is := is.New(t)
	a, b := newTable("a"), newTable("b")
	failed := gypsum.Member{ID: "dead", Location: localLocation, Incarnation: 1, Heartbeat: 9}
	a.Merge([]gypsum.Member{failed}, startTime)
	b.Merge([]gypsum.Member{failed}, startTime.Add(200*time.Millisecond))
	now := startTime.Add(failedAfter + 100*time.Millisecond)
	a.RemoveExpired(now)
	b.RemoveExpired(now)
	digests := a.Digests(now)
	updates, heartbeats := b.Updates(digests, now)
	a.Merge(updates, now)
	a.MergeHeartbeats(heartbeats, now)
	is.True(stateOf(a, "dead", now) != gypsum.MemberAlive)
}

// TestMergeHeartbeats checks that a digest updates the heartbeat of a member whose status
// is otherwise known, as of the digest's age, and conveys nothing else.
func TestMergeHeartbeats(t *testing.T) {
	is := is.New(t)
	a, b := newTable("a"), newTable("b")
	c := gypsum.Member{ID: "c", Location: localLocation, Incarnation: 1, Heartbeat: 4, StatusHeartbeat: 3, Revision: 7}
	a.Merge([]gypsum.Member{c}, startTime)
	b.Merge([]gypsum.Member{c}, startTime)
	c.Heartbeat = 9
	b.Merge([]gypsum.Member{c}, startTime.Add(time.Second))
	now := startTime.Add(suspectAfter)
	updates, heartbeats := b.Updates(a.Digests(now), now)
	is.Equal(len(updates), 1) // b itself, unknown to a
	is.Equal(heartbeats, []gypsum.MemberDigest{{ID: "c", Incarnation: 1, Heartbeat: 9, StatusHeartbeat: 3, Age: suspectAfter - time.Second}})
	is.Equal(len(a.MergeHeartbeats(heartbeats, now)), 1)
	is.Equal(stateOf(a, "c", startTime.Add(time.Second+suspectAfter)), gypsum.MemberAlive)
	is.Equal(stateOf(a, "c", startTime.Add(time.Second+suspectAfter+1)), gypsum.MemberSuspect) // by the age of the digest
	is.Equal(len(a.MergeHeartbeats(heartbeats, now)), 0)                                       // a repeated heartbeat is no update
	c.Heartbeat, c.StatusHeartbeat, c.Leaving = 10, 10, true
	b.Merge([]gypsum.Member{c}, now)
	is.Equal(len(a.MergeHeartbeats(b.Digests(now), now)), 0) // a digest cannot convey that the member leaves
	updates, heartbeats = b.Updates(a.Digests(now), now)
	is.Equal(len(updates), 2)
	is.Equal(len(heartbeats), 0)
	a.Merge(updates, now)
	is.Equal(stateOf(a, "c", now), gypsum.MemberLeaving)
}

// TestSummaryDelegateChange checks that the summary of a second delegate replaces that of
// the first only after the first delegate has stopped making summaries.
func TestSummaryDelegateChange(t *testing.T) {
	is := is.New(t)
	a := member.NewSummaries("genova")
	a.SuspectAfter, a.FailedAfter, a.RefreshInterval = 2*suspectAfter, failedAfter, time.Second
	first := gypsum.DataCentreSummary{Location: remoteLocation, Delegate: "c", Incarnation: 1, Heartbeat: 3, Members: []gypsum.RemoteMember{{ID: "c"}}}
	second := gypsum.DataCentreSummary{Location: remoteLocation, Delegate: "d", Incarnation: 1, Heartbeat: 8, Members: []gypsum.RemoteMember{{ID: "d"}}}
	a.Merge([]gypsum.DataCentreSummary{first}, startTime)
	a.Merge([]gypsum.DataCentreSummary{second}, startTime.Add(time.Second))
	is.Equal(a.ReachableSummaries(startTime.Add(time.Second))[0].Delegate, gypsum.HostID("c"))
	a.Merge([]gypsum.DataCentreSummary{second}, startTime.Add(time.Second+time.Millisecond))
	is.Equal(a.ReachableSummaries(startTime.Add(time.Second + time.Millisecond))[0].Delegate, gypsum.HostID("d"))
}

// TestExpiredSummaryIsNotReadded checks that an expired summary is not added again by a
// peer that has not removed it yet.
func TestExpiredSummaryIsNotReadded(t *testing.T) {
	is := is.New(t)
	a, b := member.NewSummaries("genova"), member.NewSummaries("genova")
	for _, summaries := range []*member.Summaries{a, b} {
		summaries.SuspectAfter, summaries.FailedAfter = 2*suspectAfter, failedAfter
	}
	expired := gypsum.DataCentreSummary{Location: remoteLocation, Delegate: "c", Incarnation: 1, Heartbeat: 3, Members: []gypsum.RemoteMember{{ID: "c"}}}
	a.Merge([]gypsum.DataCentreSummary{expired}, startTime)
	b.Merge([]gypsum.DataCentreSummary{expired}, startTime.Add(200*time.Millisecond))
	is.Equal(len(a.ReachableSummaries(startTime)), 1)
	now := startTime.Add(failedAfter + 100*time.Millisecond)
	a.RemoveExpired(now)
	b.RemoveExpired(now)
	a.Merge(b.Updates(a.Digests("", now), "", now), now)
	is.Equal(len(a.ReachableSummaries(now)), 0)
}

// TestMembersSentOnlyWhenChanged checks that a summary's members are sent only if they
// have changed.
func TestMembersSentOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	a, b := member.NewSummaries("genova"), member.NewSummaries("genova")
	for _, summaries := range []*member.Summaries{a, b} {
		summaries.SuspectAfter, summaries.FailedAfter = 2*suspectAfter, failedAfter
	}
	members := []gypsum.RemoteMember{{ID: "c", Address: "c"}}
	summary := gypsum.DataCentreSummary{Location: remoteLocation, Delegate: "c", Incarnation: 1, Heartbeat: 1, Members: members, MembersHash: member.MembersHash(members)}
	b.Merge([]gypsum.DataCentreSummary{summary}, startTime)
	a.Merge(b.Updates(a.Digests("", startTime), "", startTime), startTime)
	is.Equal(a.ReachableSummaries(startTime)[0].Members, members)
	summary.Heartbeat = 2
	b.Merge([]gypsum.DataCentreSummary{summary}, startTime)
	updates := b.Updates(a.Digests("", startTime), "", startTime)
	is.Equal(len(updates[0].Members), 0)
	a.Merge(updates, startTime)
	is.Equal(a.ReachableSummaries(startTime)[0].Members, members)
}

// TestRestartAfterFailedCall checks that a member that restarts soon after a call to it failed
// gets work again with the first status of its new start, although its heartbeats begin anew.
func TestRestartAfterFailedCall(t *testing.T) {
	is := is.New(t)
	a := newTable("a")
	b := gypsum.Member{ID: "b", Location: localLocation, Incarnation: 1, Heartbeat: 100}
	a.Merge([]gypsum.Member{b}, startTime)
	a.RecordCallFailure("b")
	b.Heartbeat = 101
	a.Merge([]gypsum.Member{b}, startTime.Add(time.Second))
	is.Equal(stateOf(a, "b", startTime.Add(time.Second)), gypsum.MemberSuspect) // may have been sent before the failure
	b.Incarnation, b.Heartbeat = 2, 1
	a.Merge([]gypsum.Member{b}, startTime.Add(2*time.Second))
	is.Equal(stateOf(a, "b", startTime.Add(2*time.Second)), gypsum.MemberAlive)
}
