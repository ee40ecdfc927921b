package intake

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestChooseForConnection replays who makes room for a new connection under the loads that fill a port.
func TestChooseForConnection(t *testing.T) {
	idle := func(number int64, requests int) occupant {
		return occupant{phase: phaseIdle, number: number, requests: requests}
	}
	busy := func(stalled time.Duration) occupant {
		return occupant{phase: phaseBusy, requests: 1, stalledFor: stalled}
	}
	fresh := func(number int64) occupant { return occupant{phase: phaseNew, number: number, age: newGrace / 2} }
	without := func(number int64) occupant { return occupant{phase: phaseNew, number: number, age: newGrace} }
	accepted := func(number int64) occupant { return occupant{phase: phaseNew, number: number, age: firstGrace / 2} }
	for _, tc := range []struct {
		name      string
		occupants []occupant
		want      int
	}{
		{"none", nil, -1},
		{"all at work", []occupant{busy(0), busy(StallGrace / 2)}, -1},
		{"connections without a byte", []occupant{idle(1, 9), without(3), without(2), fresh(1)}, 2},
		{"a new connection waits while others are read for the first time", []occupant{idle(1, 1), accepted(3), accepted(2)}, -1},
		{"one that sends nothing makes room before one that is not read yet", []occupant{{phase: phaseNew, number: 1, age: newGrace / 2, isUnread: true}, fresh(2), idle(3, 1)}, 1},
		{"one whose head has come stays", []occupant{{phase: phaseNew, age: time.Second, isWhole: true}, {phase: phaseIdle, isWhole: true}, idle(3, 1)}, 2},
		{"a new connection waits while others are not read yet", []occupant{{phase: phaseNew, number: 1, age: newGrace / 2, isUnread: true}, idle(3, 1)}, -1},
		{"but not if one makes room before them", []occupant{accepted(3), busy(time.Second), {phase: phaseRefused}}, 2},
		{"a flood of connections keeps the idle ones", []occupant{idle(1, 1), fresh(3), fresh(2)}, 2},
		{"idle connections after one request keep the one in use", []occupant{idle(1, 5), idle(2, 1), idle(3, 1)}, 2},
		{"requests without end keep the new one", []occupant{fresh(9), {phase: phaseBusy, pipelines: true, stalledFor: StallGrace}, idle(1, 1)}, 1},
		{"unread responses", []occupant{busy(time.Second), busy(2 * time.Second), busy(0)}, 1},
		{"refused first", []occupant{without(1), {phase: phaseRefused, number: 2}}, 1},
		{"chosen before", []occupant{{phase: phaseNew, number: 1, age: newGrace, leaving: true}, without(2)}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(chooseForConnection(tc.occupants), tc.want) })
	}
}

// TestChooseForMemory replays who makes room for the memory of heads.
func TestChooseForMemory(t *testing.T) {
	is := is.New(t)
	is.Equal(chooseForMemory([]occupant{{phase: phaseNew, held: 10}, {phase: phaseNew, held: 30}, {phase: phaseNew, held: 20, age: newGrace}}), 1)
	// One that sends its first head goes before one that has sent one, and before one at work.
	is.Equal(chooseForMemory([]occupant{{phase: phaseIdle, held: 90}, {phase: phaseBusy, held: 95, stalledFor: time.Second}, {phase: phaseNew, held: 5}}), 2)
	is.Equal(chooseForMemory([]occupant{{phase: phaseBusy, held: 95}, {phase: phaseBusy, held: 5, stalledFor: time.Second}}), 1)
	is.Equal(chooseForMemory([]occupant{{phase: phaseBusy, held: 95}}), -1)
}

// TestShare checks that large holders leave room for the others, that one alone gets all, and that what
// leaving holders hold counts until it is free.
func TestShare(t *testing.T) {
	is := is.New(t)
	const limit, large, small = 8 << 20, 3 << 20, 30 << 10
	s := &share{limit: limit, maxCount: 1000}
	is.Equal(s.fits(0, limit), fitsNow) // alone
	s.change(0, large)
	is.Equal(s.fits(0, large), fitsNot) // beyond the part of large ones
	for s.used+small <= limit {
		is.Equal(s.fits(0, small), fitsNow)
		s.change(0, small)
	}
	is.Equal(s.fits(0, small), fitsNot)
	count := s.count
	s.change(large, 0)
	is.Equal(s.count, count-1)
	is.Equal(s.fits(0, large), fitsNow)
	s.leaving = limit - s.used - small // still held
	is.Equal(s.fits(0, large), fitsLater)
	is.Equal(s.fits(0, small), fitsNow)
	is.Equal(s.fits(0, limit), fitsNot) // others must leave besides
	s.maxCount, s.leaving = s.count, 0
	is.Equal(s.fits(0, small), fitsNot)
	is.Equal(s.fits(small, 2*small), fitsNow) // growth is no further holder
}

// TestSharesFitIntoHost checks the sum of the shares on hosts of all sizes, and the reserves.
func TestSharesFitIntoHost(t *testing.T) {
	for _, memory := range []gypsum.Bytes{88 << 20, 112 << 20, 154 << 20, 536 << 20, 24 << 30} {
		for _, descriptors := range []int{64, 400, 2870, 8200} {
			t.Run(fmt.Sprint(memory, descriptors), func(t *testing.T) {
				is := is.New(t)
				all := NewShares(Resources{Memory: memory, Descriptors: descriptors})
				is.True(all.Connections+all.Requests+all.Payload <= memory*17/32)
				is.True(all.MaxConns+all.MaxRequests <= descriptors*3/4)
				ports := []Shares{all.Part(10, 16), all.Part(5, 16), all.Part(1, 16)}
				var sum Shares
				for _, port := range ports {
					sum.Connections, sum.Requests, sum.Payload = sum.Connections+port.Connections, sum.Requests+port.Requests, sum.Payload+port.Payload
				}
				is.True(sum.Connections <= all.Connections && sum.Requests <= all.Requests && sum.Payload <= all.Payload)
				// A head of legal size with as many lines as possible, at work.
				is.True(ports[0].Requests >= requestBytes+requestHeadCopies*16<<10+requestLineBytes*(16<<10)/4 || memory < 96<<20)
			})
		}
	}
}

// TestHeadScanner checks that heads are followed to their end however they arrive, and bodies are not.
func TestHeadScanner(t *testing.T) {
	for _, tc := range []struct {
		content string
		size    int
		lines   int
		isWhole bool
	}{
		{"", 0, 0, false},
		{"GET / HTTP/1.1\r\nHost: x\r\n", 25, 2, false},
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nbody\n\n\n", 27, 3, true},
		{"GET / HTTP/1.1\na:\n\nbody", 19, 3, true},
		{"\r\n\r\n\r\n", 6, 3, false},
		{"\r\nGET / HTTP/1.1\r\n\r\n", 20, 3, true},
		{"GET / HTTP/1.1\r\n \r\n\r\n", 21, 3, true},
		{"no line", 7, 0, false},
	} {
		for step := 1; step <= max(1, len(tc.content)); step++ {
			t.Run(fmt.Sprintf("%.12q by %d", tc.content, step), func(t *testing.T) {
				is := is.New(t)
				var s headScanner
				for rest := []byte(tc.content); len(rest) > 0; rest = rest[min(step, len(rest)):] {
					s.add(rest[:min(step, len(rest))])
				}
				is.Equal(int(s.size), tc.size)
				is.Equal(s.lines, tc.lines)
				is.Equal(s.isWhole, tc.isWhole)
			})
		}
	}
	var s headScanner
	s.add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	if !s.isHTTP2 || s.size != 0 {
		t.Error("preface of HTTP/2 counts as a head")
	}
}

// FuzzHeadScanner checks that the way in which bytes arrive does not change what is counted.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\nbody"), 3)
	f.Add([]byte("\r\n\n\r\r\n"), 1)
	f.Fuzz(func(t *testing.T, content []byte, step int) {
		if step <= 0 || len(content) < len(http2Preface) {
			return
		}
		var whole, parts headScanner
		whole.add(content)
		if whole.isHTTP2 {
			return
		}
		for rest := content; len(rest) > 0; rest = rest[min(step, len(rest)):] {
			parts.add(rest[:min(step, len(rest))])
		}
		if whole.size != parts.size || whole.lines != parts.lines || whole.isWhole != parts.isWhole || int(whole.size) > len(content) {
			t.Errorf("%+v and %+v", whole, parts)
		}
	})
}

// TestPace checks when a body is late: not while it comes at the least rate, however it is divided, and
// once it has stopped or comes too slowly.
func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		size     int
		interval time.Duration
		isLate   bool
	}{
		{"at the least rate", minBodyRate / 10, 100 * time.Millisecond, false},
		{"in large parts", minBodyRate, time.Second, false},
		{"a byte now and then", 1, 20 * time.Millisecond, true},
		{"half of the least rate", minBodyRate / 20, 100 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var pace Pace
			now := start
			for now.Sub(start) < 10*time.Second {
				pace.Begin(now)
				now = now.Add(tc.interval)
				pace.End(tc.size, now)
			}
			pace.Begin(now)
			is.Equal(pace.behindFor(now.Add(time.Millisecond)) > StallGrace, tc.isLate)
			is.True(pace.behindFor(now.Add(10*time.Second)) > StallGrace)
			pace.End(tc.size, now)
			is.Equal(pace.behindFor(now.Add(10*time.Second)), time.Duration(0)) // not awaited
		})
	}
}

// TestAwaitRoom checks that a holder waits while those that are leaving stand in its way, but not for ever, and not
// while others must make room.
func TestAwaitRoom(t *testing.T) {
	is := is.New(t)
	p := &Port{}
	p.Protect(&http.Server{})
	p.memory = share{limit: 1000, maxCount: 10, used: 100, leaving: 850}
	try := func(size gypsum.Bytes) func(time.Time) verdict {
		return func(time.Time) verdict { return p.memory.fits(0, size) }
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	is.True(p.awaitRoom(try(50)))
	start := time.Now()
	is.True(!p.awaitRoom(try(950))) // more than those that stay leave
	is.True(time.Since(start) < leaveWait)
	is.True(!p.awaitRoom(try(200)))
	is.True(time.Since(start) >= leaveWait)
	time.AfterFunc(10*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.memory.leaving = 0
		p.left.Broadcast()
	})
	is.True(p.awaitRoom(try(200)))
}
