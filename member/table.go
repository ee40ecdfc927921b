// Package member keeps what a daemon knows of the other daemons: in its own
// data centre each one, elsewhere a summary that the data centre's delegates
// make. All of it is soft state, learned anew after a start.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Table is a daemon's knowledge of its data centre. The control goroutine owns
// it. Set the exported fields before use.
type Table struct {
	Self gypsum.Member
	// SuspectAfter is the silence after which a member gets no new work.
	SuspectAfter time.Duration
	// FailedAfter is the silence after which a member is forgotten.
	FailedAfter time.Duration

	entries map[gypsum.HostID]*memberEntry
}

// memberEntry is one other member.
type memberEntry struct {
	member gypsum.Member
	// Heard is when news of the member last advanced, by the local clock.
	updatedAt time.Time
	// Seen is false until the member itself was heard of, not just the list's word.
	confirmed bool
	// FailedBeat is the newest beat known when a call to the member failed.
	callFailed         bool
	heartbeatAtFailure int64
}

// Status is a member and what is believed of it.
type Status struct {
	Member gypsum.Member
	State  gypsum.MemberState
	// SinceUpdate is the time since news of the member last advanced.
	SinceUpdate time.Duration
}

// NewTable returns a table that knows only its own daemon.
func NewTable(self gypsum.Member) *Table {
	return &Table{Self: self, entries: make(map[gypsum.HostID]*memberEntry)}
}

// Seed adds the daemons of the platform's list. They get no work before they
// are heard of.
func (t *Table) Seed(hosts []gypsum.Host, now time.Time) {
	for _, host := range hosts {
		id := gypsum.HostID(host.ID)
		if host.Kind != gypsum.KindDaemon || id == t.Self.ID || host.Location.DataCentre != t.Self.Location.DataCentre {
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

// update takes over newer news of a member.
func (e *memberEntry) update(member gypsum.Member, updatedAt time.Time) {
	e.member, e.updatedAt, e.confirmed = member, updatedAt, true
	if e.callFailed && member.Heartbeat > e.heartbeatAtFailure+1 {
		e.callFailed = false
	}
}

// isNewer tells whether news with an incarnation and beat replaces a member's.
func isNewer(incarnation gypsum.Incarnation, heartbeat int64, known *gypsum.Member) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return heartbeat > known.Heartbeat
}

// Merge takes over news that is newer than what is known, and returns it.
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
			// Forgotten here already, or about to be.
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

// MergeHeartbeats takes over signs of life of members whose other news is known, and returns
// their news. What a digest says of others needs the news itself.
func (t *Table) MergeHeartbeats(digests []gypsum.MemberDigest, now time.Time) (merged []gypsum.Member) {
	for i := range digests {
		digest := &digests[i]
		known, ok := t.entries[digest.ID]
		if !ok || !known.confirmed || !sameStatus(digest, &known.member) || digest.Heartbeat <= known.member.Heartbeat || digest.Age > t.FailedAfter {
			continue
		}
		member := known.member
		member.Heartbeat = digest.Heartbeat
		known.update(member, now.Add(-digest.Age))
		merged = append(merged, member)
	}
	return merged
}

// sameStatus tells whether a digest stands for the news that is known of a member,
// whatever its beat.
func sameStatus(digest *gypsum.MemberDigest, known *gypsum.Member) bool {
	return digest.Incarnation == known.Incarnation && digest.StatusHeartbeat == known.StatusHeartbeat
}

// RecordCallFailure notes that a call to a member failed. It gets no new work until news
// from it has advanced again.
func (t *Table) RecordCallFailure(id gypsum.HostID) {
	if known, ok := t.entries[id]; ok {
		known.callFailed = true
		known.heartbeatAtFailure = known.member.Heartbeat
	}
}

// Expire forgets members that were silent for too long.
func (t *Table) Expire(now time.Time) {
	for id, known := range t.entries {
		if now.Sub(known.updatedAt) > t.FailedAfter {
			delete(t.entries, id)
		}
	}
}

// Unconfirmed tells whether a member of the list was never heard of.
func (t *Table) Unconfirmed(id gypsum.HostID) bool {
	known, ok := t.entries[id]
	return id != t.Self.ID && (!ok || !known.confirmed)
}

// state returns what is believed of a member.
func (t *Table) state(known *memberEntry, now time.Time) gypsum.MemberState {
	switch sinceUpdate := now.Sub(known.updatedAt); {
	case sinceUpdate > t.FailedAfter:
		return gypsum.StateFailed
	case known.member.Leaving:
		return gypsum.StateLeaving
	case !known.confirmed || known.callFailed || sinceUpdate > t.SuspectAfter:
		return gypsum.StateSuspect
	}
	return gypsum.StateAlive
}

// List returns all members of the data centre with their states, by name.
func (t *Table) List(now time.Time) []Status {
	selfState := gypsum.StateAlive
	if t.Self.Leaving {
		selfState = gypsum.StateLeaving
	}
	list := []Status{{Member: t.Self, State: selfState}}
	for _, known := range t.entries {
		list = append(list, Status{Member: known.member, State: t.state(known, now), SinceUpdate: now.Sub(known.updatedAt)})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// memberDigest returns the digest of a member's news of some age.
func memberDigest(member *gypsum.Member, age time.Duration) gypsum.MemberDigest {
	return gypsum.MemberDigest{
		ID: member.ID, Incarnation: member.Incarnation, Heartbeat: member.Heartbeat, StatusHeartbeat: member.StatusHeartbeat,
		Age: age.Truncate(time.Millisecond),
	}
}

// Digests returns what the table has, for a peer to compare with, its own
// daemon's first.
func (t *Table) Digests(now time.Time) []gypsum.MemberDigest {
	digests := []gypsum.MemberDigest{memberDigest(&t.Self, 0)}
	for _, known := range t.entries {
		if known.confirmed {
			digests = append(digests, memberDigest(&known.member, now.Sub(known.updatedAt)))
		}
	}
	return digests
}

// Updates returns what the table has and the digests lack: members with newer news,
// and signs of life of the others, each with its age, so that old news never looks
// fresh elsewhere.
func (t *Table) Updates(digests []gypsum.MemberDigest, now time.Time) (updates []gypsum.Member, heartbeats []gypsum.MemberDigest) {
	peerDigests := make(map[gypsum.HostID]*gypsum.MemberDigest, len(digests))
	for i := range digests {
		peerDigests[digests[i].ID] = &digests[i]
	}
	addIfNewer := func(member gypsum.Member) {
		digest, ok := peerDigests[member.ID]
		switch {
		case ok && !isNewer(member.Incarnation, member.Heartbeat, &gypsum.Member{Incarnation: digest.Incarnation, Heartbeat: digest.Heartbeat}):
		case ok && sameStatus(digest, &member):
			heartbeats = append(heartbeats, memberDigest(&member, member.Age))
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
