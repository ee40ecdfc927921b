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
	// GoneAfter is the silence after which a member is forgotten.
	GoneAfter time.Duration

	entries map[gypsum.HostID]*entry
}

// entry is one other member.
type entry struct {
	member gypsum.Member
	// Heard is when news of the member last advanced, by the local clock.
	heard time.Time
	// Seen is false until the member itself was heard of, not just the list's word.
	seen bool
	// FailedBeat is the newest beat known when a call to the member failed.
	failed     bool
	failedBeat int64
}

// Status is a member and what is believed of it.
type Status struct {
	Member gypsum.Member
	State  gypsum.MemberState
	// Silence is the time since news of the member last advanced.
	Silence time.Duration
}

// NewTable returns a table that knows only its own daemon.
func NewTable(self gypsum.Member) *Table {
	return &Table{Self: self, entries: make(map[gypsum.HostID]*entry)}
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
		t.entries[id] = &entry{
			member: gypsum.Member{ID: id, Address: host.Address, Location: host.Location, Leaving: host.Leaving},
			heard:  now,
		}
	}
}

// take takes over newer news of a member.
func (e *entry) take(member gypsum.Member, heard time.Time) {
	e.member, e.heard, e.seen = member, heard, true
	if e.failed && member.Heartbeat > e.failedBeat+1 {
		e.failed = false
	}
}

// newer tells whether news with an incarnation and beat replaces a member's.
func newer(incarnation gypsum.Incarnation, beat int64, known *gypsum.Member) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return beat > known.Heartbeat
}

// Merge takes over news that is newer than what is known, and returns it.
func (t *Table) Merge(members []gypsum.Member, now time.Time) (taken []gypsum.Member) {
	for _, member := range members {
		if member.ID == t.Self.ID || member.Location.DataCentre != t.Self.Location.DataCentre {
			continue
		}
		known, ok := t.entries[member.ID]
		if ok && !newer(member.Incarnation, member.Heartbeat, &known.member) {
			continue
		}
		if member.Age > t.GoneAfter {
			// Forgotten here already, or about to be.
			continue
		}
		if !ok {
			known = &entry{}
			t.entries[member.ID] = known
		}
		known.take(member, now.Add(-member.Age))
		taken = append(taken, member)
	}
	return taken
}

// Heard takes over signs of life of members whose other news is known, and returns
// their news. What a digest says of others needs the news itself.
func (t *Table) Heard(digests []gypsum.MemberDigest, now time.Time) (taken []gypsum.Member) {
	for i := range digests {
		digest := &digests[i]
		known, ok := t.entries[digest.ID]
		if !ok || !known.seen || !sameNews(digest, &known.member) || digest.Heartbeat <= known.member.Heartbeat || digest.Age > t.GoneAfter {
			continue
		}
		member := known.member
		member.Heartbeat = digest.Heartbeat
		known.take(member, now.Add(-digest.Age))
		taken = append(taken, member)
	}
	return taken
}

// sameNews tells whether a digest stands for the news that is known of a member,
// whatever its beat.
func sameNews(digest *gypsum.MemberDigest, known *gypsum.Member) bool {
	return digest.Incarnation == known.Incarnation && digest.StatusHeartbeat == known.StatusHeartbeat
}

// Failed notes that a call to a member failed. It gets no new work until news
// from it has advanced again.
func (t *Table) Failed(id gypsum.HostID) {
	if known, ok := t.entries[id]; ok {
		known.failed = true
		known.failedBeat = known.member.Heartbeat
	}
}

// Expire forgets members that were silent for too long.
func (t *Table) Expire(now time.Time) {
	for id, known := range t.entries {
		if now.Sub(known.heard) > t.GoneAfter {
			delete(t.entries, id)
		}
	}
}

// Silent tells whether a member of the list was never heard of.
func (t *Table) Silent(id gypsum.HostID) bool {
	known, ok := t.entries[id]
	return id != t.Self.ID && (!ok || !known.seen)
}

// state returns what is believed of a member.
func (t *Table) state(known *entry, now time.Time) gypsum.MemberState {
	switch silence := now.Sub(known.heard); {
	case silence > t.GoneAfter:
		return gypsum.StateFailed
	case known.member.Leaving:
		return gypsum.StateLeaving
	case !known.seen || known.failed || silence > t.SuspectAfter:
		return gypsum.StateSuspect
	}
	return gypsum.StateAlive
}

// List returns all members of the data centre with their states, by name.
func (t *Table) List(now time.Time) []Status {
	own := gypsum.StateAlive
	if t.Self.Leaving {
		own = gypsum.StateLeaving
	}
	list := []Status{{Member: t.Self, State: own}}
	for _, known := range t.entries {
		list = append(list, Status{Member: known.member, State: t.state(known, now), Silence: now.Sub(known.heard)})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// digestOf returns the digest of a member's news of some age.
func digestOf(member *gypsum.Member, age time.Duration) gypsum.MemberDigest {
	return gypsum.MemberDigest{
		ID: member.ID, Incarnation: member.Incarnation, Heartbeat: member.Heartbeat, StatusHeartbeat: member.StatusHeartbeat,
		Age: age.Truncate(time.Millisecond),
	}
}

// Digests returns what the table has, for a peer to compare with, its own
// daemon's first.
func (t *Table) Digests(now time.Time) []gypsum.MemberDigest {
	digests := []gypsum.MemberDigest{digestOf(&t.Self, 0)}
	for _, known := range t.entries {
		if known.seen {
			digests = append(digests, digestOf(&known.member, now.Sub(known.heard)))
		}
	}
	return digests
}

// News returns what the table has and the digests lack: members with newer news,
// and signs of life of the others, each with its age, so that old news never looks
// fresh elsewhere.
func (t *Table) News(digests []gypsum.MemberDigest, now time.Time) (news []gypsum.Member, alive []gypsum.MemberDigest) {
	has := make(map[gypsum.HostID]*gypsum.MemberDigest, len(digests))
	for i := range digests {
		has[digests[i].ID] = &digests[i]
	}
	add := func(member gypsum.Member) {
		digest, ok := has[member.ID]
		switch {
		case ok && !newer(member.Incarnation, member.Heartbeat, &gypsum.Member{Incarnation: digest.Incarnation, Heartbeat: digest.Heartbeat}):
		case ok && sameNews(digest, &member):
			alive = append(alive, digestOf(&member, member.Age))
		default:
			news = append(news, member)
		}
	}
	add(t.Self)
	for _, known := range t.entries {
		if known.seen {
			member := known.member
			member.Age = now.Sub(known.heard)
			add(member)
		}
	}
	return news, alive
}
