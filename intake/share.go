package intake

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Bounds of a share of memory.
const (
	// largeDivisor is the part of a share, and minLarge the size, above which a holder is large. Large holders together get at
	// most 1/largeShareDivisor of the share, so that they do not keep out the others. One alone may
	// use all of it.
	largeDivisor      = 64
	minLarge          = 64 << 10
	largeShareDivisor = 2
)

// share counts the memory and the number of holders.
type share struct {
	limit    gypsum.Bytes
	maxCount int

	used  gypsum.Bytes
	count int
	// large is the memory of large holders.
	large gypsum.Bytes
	// leaving is the memory of holders that were chosen to make room and still hold it.
	leaving gypsum.Bytes
}

// isLarge reports whether a holder of a size is large.
func (s *share) isLarge(size gypsum.Bytes) bool { return size > max(minLarge, s.limit/largeDivisor) }

// verdict is whether a holder may grow.
type verdict int

// The verdicts: the holder may grow, it may once those have left that were chosen to make room, and
// others must make room first.
const (
	fitsNow verdict = iota
	fitsLater
	fitsNot
)

// fits returns whether a holder may grow from one size to another. A new one has size 0.
func (s *share) fits(from, to gypsum.Bytes) verdict {
	large, largeFrom := s.large, gypsum.Bytes(0)
	if s.isLarge(from) {
		largeFrom = from
	}
	switch {
	case from == 0 && s.count >= s.maxCount, s.used-from+to > s.limit:
		return fitsNot
	case s.isLarge(to) && large != largeFrom && large-largeFrom+to > s.limit/largeShareDivisor:
		return fitsNot
	case s.used+s.leaving-from+to > s.limit:
		return fitsLater
	}
	return fitsNow
}

// change changes the size of a holder. One of size 0 does not count.
func (s *share) change(from, to gypsum.Bytes) {
	s.used += to - from
	if s.isLarge(from) {
		s.large -= from
	}
	if s.isLarge(to) {
		s.large += to
	}
	switch {
	case from == 0 && to > 0:
		s.count++
	case from > 0 && to == 0:
		s.count--
	}
}

// phase is what a connection does.
type phase int

// The phases of a connection: no whole head has come, a request is at work, a request has been
// served and no further head has come whole, or the connection was refused and is about to end.
const (
	phaseNew phase = iota
	phaseBusy
	phaseIdle
	phaseRefused
)

// occupant is a connection or a request as the decision about who makes room sees it.
type occupant struct {
	phase phase
	// number is the order in which connections were opened.
	number int64
	// age is the time since a connection without a whole head was opened, and isUnread means that its client
	// has sent bytes, of which none counts yet.
	age      time.Duration
	isUnread bool
	// isWhole means that a whole head has come, whose request is not at work yet.
	isWhole bool
	// requests is the number of requests that the connection has sent, and pipelines means that it has
	// sent one before it got the response to the one before.
	requests  int
	pipelines bool
	held      gypsum.Bytes
	// stalledFor is how long the client has been expected to send or to read in vain, for a busy one.
	stalledFor time.Duration
	// leaving means that it was chosen before.
	leaving bool
}

// StallGrace is how long a client may keep a request waiting while others need its place.
const StallGrace = 500 * time.Millisecond

// group is the order in which occupants make room.
type group int

// The groups of occupants: those that are about to end, that have not sent a whole head for a while, that
// do not wait for responses, that were just opened, that are idle, and that keep a request waiting.
const (
	groupRefused group = iota
	groupNew
	groupPipelining
	groupYoung
	groupIdle
	groupStalled
	groupNone
)

// group returns the group of an occupant, groupNone if it does not make room.
func (o *occupant) group() group {
	switch {
	case o.leaving, o.phase == phaseBusy && o.stalledFor < StallGrace, o.isWhole && o.phase != phaseBusy && o.phase != phaseRefused:
		return groupNone
	case o.phase == phaseRefused:
		return groupRefused
	case o.phase == phaseNew && o.age < newGrace:
		return groupYoung
	case o.phase == phaseNew:
		return groupNew
	case o.pipelines:
		return groupPipelining
	case o.phase == phaseIdle:
		return groupIdle
	}
	return groupStalled
}

// chooseForConnection returns the index of the occupant that makes room for a new connection, -1 for
// none: the first group that has any decides. Without a whole head, the oldest one goes, but none within
// firstGrace and none of those just opened that the server has not read; of idle ones that with the fewest
// requests, the latest first, so that those in use for long stay; and of those that keep a request waiting,
// the one that does so for the longest time.
func chooseForConnection(occupants []occupant) int {
	index := chooseBest(occupants, func(o, best *occupant, in group) bool {
		switch in {
		case groupIdle:
			return o.requests < best.requests || (o.requests == best.requests && o.number > best.number)
		case groupStalled, groupPipelining:
			return o.stalledFor > best.stalledFor
		case groupYoung:
			return (best.isUnread && !o.isUnread) || (best.isUnread == o.isUnread && o.number < best.number)
		}
		return o.number < best.number
	})
	if index < 0 {
		return -1
	}
	if chosen := &occupants[index]; chosen.group() == groupYoung && (chosen.isUnread || chosen.age < firstGrace) {
		return -1
	}
	return index
}

// chooseForMemory returns the index of the occupant that makes room for the memory of another, -1 for
// none: of the first group that has any, the one that holds most. All without a whole head are one group.
func chooseForMemory(occupants []occupant) int {
	for i := range occupants {
		occupants[i].age, occupants[i].pipelines = newGrace, false
	}
	return chooseBest(occupants, func(o, best *occupant, _ group) bool { return o.held > best.held })
}

// chooseBest returns the index of the best occupant of the first group that has any, -1 for none.
func chooseBest(occupants []occupant, isBetter func(o, best *occupant, in group) bool) int {
	best, bestGroup := -1, groupNone
	for i := range occupants {
		o := &occupants[i]
		in := o.group()
		if in < bestGroup || (best >= 0 && in == bestGroup && isBetter(o, &occupants[best], in)) {
			best, bestGroup = i, in
		}
	}
	return best
}
