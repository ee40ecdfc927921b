// Package member tracks the other daemons: each daemon of the local data centre
// individually, those of other data centres through the summaries that their
// delegates make. All of it is soft state, rebuilt from gossip after a restart.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Table holds the members of a daemon's own data centre. It is owned by the control
// goroutine. Set the exported fields before use.
type Table struct {
	Self gypsum.Member
	// SuspectAfter is the time without a heartbeat after which a member gets no new
	// work.
	SuspectAfter time.Duration
	// FailedAfter is the time without a heartbeat after which a member counts as
	// failed and is removed.
	FailedAfter time.Duration

	entries map[gypsum.HostID]*memberEntry
}

// memberEntry is the known status of one other member.
type memberEntry struct {
	member gypsum.Member
	// updatedAt is when the member's status last advanced, by the local clock.
	updatedAt time.Time
	// confirmed is false for a member that is known only from the platform's host list:
	// no status of it has arrived yet.
	confirmed bool
	// callFailed means that a call to the member failed. incarnationAtFailure and
	// heartbeatAtFailure are the newest ones known at that time.
	callFailed           bool
	incarnationAtFailure gypsum.Incarnation
	heartbeatAtFailure   int64
}

// Status is a member and its state as determined by this daemon.
type Status struct {
	Member gypsum.Member
	State  gypsum.MemberState
	// SinceUpdate is the time since the member's status last advanced.
	SinceUpdate time.Duration
}

// NewTable returns a table that contains only its own daemon.
func NewTable(self gypsum.Member) *Table {
	return &Table{Self: self, entries: make(map[gypsum.HostID]*memberEntry)}
}

// AddListedHosts adds the daemons of the platform's host list. They get no work before their
// first status arrives.
func (t *Table) AddListedHosts(hosts []gypsum.Host, now time.Time) {
	for _, host := range hosts {
		id := gypsum.HostID(host.ID)
		if host.Kind != gypsum.HostKindDaemon || id == t.Self.ID || host.Location.DataCentre != t.Self.Location.DataCentre {
			continue
		}
		if known, ok := t.entries[id]; ok {
			known.member.Leaving = known.member.Leaving || host.Leaving
			continue
		}
		t.entries[id] = &memberEntry{
			member:    gypsum.Member{ID: id, Address: host.Address, Location: host.Location, Leaving: host.Leaving},
			updatedAt: now,
		}
	}
}

// update replaces the status by a newer one. From the second heartbeat after a failed
// call on, or after a restart, the failure no longer counts.
func (e *memberEntry) update(member gypsum.Member, updatedAt time.Time) {
	e.member, e.updatedAt, e.confirmed = member, updatedAt, true
	if member.Incarnation > e.incarnationAtFailure || member.Heartbeat > e.heartbeatAtFailure+1 {
		e.callFailed = false
	}
}

// isNewer reports whether a status with the given incarnation and heartbeat is newer
// than the known one.
func isNewer(incarnation gypsum.Incarnation, heartbeat int64, known *gypsum.Member) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return heartbeat > known.Heartbeat
}

// Merge adds the statuses that are newer than the known ones and returns them.
func (t *Table) Merge(members []gypsum.Member, now time.Time) (merged []gypsum.Member) {
	for _, member := range members {
		if member.ID == t.Self.ID || member.Location.DataCentre != t.Self.Location.DataCentre {
			continue
		}
		known, ok := t.entries[member.ID]
		if ok && !isNewer(member.Incarnation, member.Heartbeat, &known.member) {
			continue
		}
		if member.Age > t.FailedAfter {
			// The status is so old that the member was removed here already or is about to be.
			continue
		}
		if !ok {
			known = &memberEntry{}
			t.entries[member.ID] = known
		}
		known.update(member, now.Add(-member.Age))
		merged = append(merged, member)
	}
	return merged
}

// MergeHeartbeats applies the heartbeats of members whose status is otherwise known, and
// returns the updated members. It ignores a digest that differs in more than the
// heartbeat, since only the full status contains the other changes.
func (t *Table) MergeHeartbeats(digests []gypsum.MemberDigest, now time.Time) (merged []gypsum.Member) {
	for i := range digests {
		digest := &digests[i]
		known, ok := t.entries[digest.ID]
		if !ok || !known.confirmed || !hasSameStatus(digest, &known.member) || digest.Heartbeat <= known.member.Heartbeat || digest.Age > t.FailedAfter {
			continue
		}
		member := known.member
		member.Heartbeat = digest.Heartbeat
		known.update(member, now.Add(-digest.Age))
		merged = append(merged, member)
	}
	return merged
}

// hasSameStatus reports whether a digest describes the known status of a member,
// disregarding the heartbeat.
func hasSameStatus(digest *gypsum.MemberDigest, known *gypsum.Member) bool {
	return digest.Incarnation == known.Incarnation && digest.StatusHeartbeat == known.StatusHeartbeat
}

// RecordCallFailure records that a call to a member failed. The member gets no new work
// until its heartbeat has advanced beyond the next one.
func (t *Table) RecordCallFailure(id gypsum.HostID) {
	if known, ok := t.entries[id]; ok {
		known.callFailed = true
		known.incarnationAtFailure, known.heartbeatAtFailure = known.member.Incarnation, known.member.Heartbeat
	}
}

// RemoveExpired removes members that have not been updated for FailedAfter.
func (t *Table) RemoveExpired(now time.Time) {
	for id, known := range t.entries {
		if now.Sub(known.updatedAt) > t.FailedAfter {
			delete(t.entries, id)
		}
	}
}

// IsUnconfirmed reports whether no status of the member has arrived yet.
func (t *Table) IsUnconfirmed(id gypsum.HostID) bool {
	known, ok := t.entries[id]
	return id != t.Self.ID && (!ok || !known.confirmed)
}

// memberState returns the state of a member as determined by this daemon.
func (t *Table) memberState(known *memberEntry, now time.Time) gypsum.MemberState {
	switch sinceUpdate := now.Sub(known.updatedAt); {
	case sinceUpdate > t.FailedAfter:
		return gypsum.MemberFailed
	case known.member.Leaving:
		return gypsum.MemberLeaving
	case !known.confirmed || known.callFailed || sinceUpdate > t.SuspectAfter:
		return gypsum.MemberSuspect
	}
	return gypsum.MemberAlive
}

// Statuses returns all members of the data centre with their states, sorted by ID.
func (t *Table) Statuses(now time.Time) []Status {
	selfState := gypsum.MemberAlive
	if t.Self.Leaving {
		selfState = gypsum.MemberLeaving
	}
	list := []Status{{Member: t.Self, State: selfState}}
	for _, known := range t.entries {
		list = append(list, Status{Member: known.member, State: t.memberState(known, now), SinceUpdate: now.Sub(known.updatedAt)})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// newMemberDigest returns the digest of a member's status of the given age.
func newMemberDigest(member *gypsum.Member, age time.Duration) gypsum.MemberDigest {
	return gypsum.MemberDigest{
		ID: member.ID, Incarnation: member.Incarnation, Heartbeat: member.Heartbeat, StatusHeartbeat: member.StatusHeartbeat,
		Age: age.Truncate(time.Millisecond),
	}
}

// Digests returns the digests of all confirmed members for a peer to compare with
// its own, starting with that of this daemon.
func (t *Table) Digests(now time.Time) []gypsum.MemberDigest {
	digests := []gypsum.MemberDigest{newMemberDigest(&t.Self, 0)}
	for _, known := range t.entries {
		if known.confirmed {
			digests = append(digests, newMemberDigest(&known.member, now.Sub(known.updatedAt)))
		}
	}
	return digests
}

// Updates returns what the table has and the digests lack: the members with a newer
// status, and the heartbeats of those whose status is otherwise known. Each carries its
// age, so that an old status never looks fresh to the peer.
func (t *Table) Updates(digests []gypsum.MemberDigest, now time.Time) (updates []gypsum.Member, heartbeats []gypsum.MemberDigest) {
	peerDigests := make(map[gypsum.HostID]*gypsum.MemberDigest, len(digests))
	for i := range digests {
		peerDigests[digests[i].ID] = &digests[i]
	}
	addIfNewer := func(member gypsum.Member) {
		digest, ok := peerDigests[member.ID]
		switch {
		case ok && !isNewer(member.Incarnation, member.Heartbeat, &gypsum.Member{Incarnation: digest.Incarnation, Heartbeat: digest.Heartbeat}):
		case ok && hasSameStatus(digest, &member):
			heartbeats = append(heartbeats, newMemberDigest(&member, member.Age))
		default:
			updates = append(updates, member)
		}
	}
	addIfNewer(t.Self)
	for _, known := range t.entries {
		if known.confirmed {
			member := known.member
			member.Age = now.Sub(known.updatedAt)
			addIfNewer(member)
		}
	}
	return updates, heartbeats
}
