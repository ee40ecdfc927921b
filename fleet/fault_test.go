package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/fleet"
)

// Times of a scene with a fault.
const (
	calmTime  = 6 * time.Second
	faultTime = 8 * time.Second
	afterTime = 14 * time.Second
)

// fault is a row of the table of faults.
type fault struct {
	name   string
	strike func(t *testing.T, s *fleet.Scene)
	heal   func(t *testing.T, s *fleet.Scene)
	// Mixes means that the fault can strike beside any other.
	mixes bool
	// Tune changes the daemons' times and limits.
	tune func(*core.Tuning)
}

// first returns the name of a daemon of the small layout.
const (
	first  gypsum.HostID = "genova-entry-1"
	second gypsum.HostID = "genova-entry-2"
	third  gypsum.HostID = "la-spezia-entry-1"
	far    gypsum.HostID = "chioggia-entry-1"
)

// kill returns a fault that kills daemons and replaces them after it.
func kill(ids ...gypsum.HostID) fault {
	return fault{
		name:   fmt.Sprintf("kill %v", ids),
		strike: func(_ *testing.T, s *fleet.Scene) { each(ids, s.Fleet.Kill) },
		heal: func(t *testing.T, s *fleet.Scene) {
			each(ids, func(id gypsum.HostID) { s.Fleet.Replace(t.Context(), id) })
		},
	}
}

// freeze returns a fault that freezes daemons.
func freeze(ids ...gypsum.HostID) fault {
	return fault{
		name: fmt.Sprintf("freeze %v", ids),
		strike: func(_ *testing.T, s *fleet.Scene) {
			each(ids, func(id gypsum.HostID) {
				s.Isolate(id, true)
				s.Fleet.Network.Freeze(id)
			})
		},
		heal: func(_ *testing.T, s *fleet.Scene) {
			each(ids, func(id gypsum.HostID) {
				s.Fleet.Network.Thaw(id)
				s.Isolate(id, false)
			})
		},
	}
}

// each calls a function for each daemon.
func each(ids []gypsum.HostID, run func(gypsum.HostID)) {
	for _, id := range ids {
		run(id)
	}
}

// logFault returns a fault of the log.
func logFault(name string, kind fake.LogFault) fault {
	return fault{
		name: name, mixes: true,
		strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Log.SetFault(kind) },
		heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Log.SetFault(0) },
	}
}

// answerFault returns a fault of all answers of an engine.
func answerFault(name string, kind fake.Answer) fault {
	return fault{
		name: name, mixes: true,
		strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Engines["genova-engine-1"].SetAnswer(kind) },
		heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Engines["genova-engine-1"].SetAnswer(0) },
	}
}

// cutFar breaks the way between the regions, and of the far one to the log.
func cutFar(s *fleet.Scene, broken bool) {
	s.Fleet.Network.CutRegions("liguria", "adriatico", broken)
	s.Fleet.CutLog(far, broken)
	s.Isolate(far, broken)
}

// faults is the table of faults.
func faults() []fault {
	nothing := func(*testing.T, *fleet.Scene) {}
	both := func(a, b fault) fault {
		return fault{
			name:   a.name + " and " + b.name,
			strike: func(t *testing.T, s *fleet.Scene) { a.strike(t, s); b.strike(t, s) },
			heal:   func(t *testing.T, s *fleet.Scene) { a.heal(t, s); b.heal(t, s) },
		}
	}
	logOut := logFault("log out", fake.LogOut)
	engineCrash := fault{
		name: "engines crash",
		strike: func(_ *testing.T, s *fleet.Scene) {
			s.Fleet.Engines["genova-engine-1"].Crash()
			s.Fleet.Engines["chioggia-engine-1"].Crash()
		},
		heal: func(_ *testing.T, s *fleet.Scene) {
			s.Fleet.Engines["genova-engine-1"].Restart()
			s.Fleet.Engines["chioggia-engine-1"].Restart()
		},
	}
	return []fault{
		kill(first), kill(second), kill(third), kill(far), kill(first, far),
		freeze(first), freeze(second), freeze(third), freeze(first, third),
		{
			name:   "cut between two hosts",
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Network.Cut(first, second, true) },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Network.Cut(first, second, false) },
		},
		{
			name:   "cut between regions",
			strike: func(_ *testing.T, s *fleet.Scene) { cutFar(s, true) },
			heal:   func(_ *testing.T, s *fleet.Scene) { cutFar(s, false) },
		},
		{
			name:   "host cut from the log",
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.CutLog(first, true) },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.CutLog(first, false) },
		},
		logOut, logFault("log hangs", fake.LogHang), logFault("log loses answers", fake.LogLost), logFault("log late", fake.LogLate),
		{
			name: "log slow", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Log.SetDelay(400 * time.Millisecond) },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Log.SetDelay(s.Fleet.Layout.LogDelay) },
		},
		{
			name:   "log retention",
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Log.SetRetention(40) },
			heal:   func(t *testing.T, s *fleet.Scene) { s.Fleet.Kill(first); s.Fleet.Replace(t.Context(), first) },
			tune:   func(tuning *core.Tuning) { tuning.SnapshotRecords, tuning.SnapshotInterval = 10, 2*time.Second },
		},
		{name: "racing operators", mixes: true, strike: func(t *testing.T, s *fleet.Scene) { s.Race(t.Context()) }, heal: nothing},
		{
			name: "leaving backend servers",
			strike: func(_ *testing.T, s *fleet.Scene) {
				s.Leave("genova-engine-1")
				s.Leave("genova-plain-1")
			},
			heal: nothing,
		},
		engineCrash,
		{
			name: "engine freezes", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Engines["genova-engine-1"].Freeze() },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Engines["genova-engine-1"].Thaw() },
		},
		{
			name: "plain services crash", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Plains["genova-plain-1"].Crash() },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Plains["genova-plain-1"].Restart() },
		},
		{
			name: "plain service freezes", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Plains["genova-plain-1"].Freeze() },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Plains["genova-plain-1"].Thaw() },
		},
		{
			name: "plain service loses answers", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Plains["genova-plain-1"].LoseAnswers(true) },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Plains["genova-plain-1"].LoseAnswers(false) },
		},
		answerFault("answers with gaps", fake.AnswerGap), answerFault("answers doubled", fake.AnswerTwice),
		answerFault("answers cut", fake.AnswerCut), answerFault("answers crossed", fake.AnswerCrossed),
		answerFault("answers without version", fake.AnswerUnversioned),
		{
			name: "failed swaps",
			strike: func(_ *testing.T, s *fleet.Scene) {
				for _, engine := range s.Fleet.Engines {
					engine.FailSwaps(2)
				}
			},
			heal: nothing,
		},
		{
			name: "weight store out", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Store.SetOut(true) },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Store.SetOut(false) },
		},
		{
			name: "host list out", mixes: true,
			strike: func(_ *testing.T, s *fleet.Scene) { s.Fleet.Hosts.SetOut(true) },
			heal:   func(_ *testing.T, s *fleet.Scene) { s.Fleet.Hosts.SetOut(false) },
		},
		{
			name: "graceful leave",
			strike: func(_ *testing.T, s *fleet.Scene) {
				s.Fleet.Node(second).Leave()
			},
			heal: func(t *testing.T, s *fleet.Scene) { s.Fleet.Kill(second); s.Fleet.Replace(t.Context(), second) },
		},
		both(kill(first), logOut), both(freeze(third), logOut), both(freeze(first), engineCrash), both(kill(second), engineCrash),
	}
}

// TestFaults lets each fault of the table strike a fleet at work, and checks
// the promises and that work goes on afterwards.
func TestFaults(t *testing.T) {
	for _, row := range faults() {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFault(t, &row) })
		})
	}
}

// runFault runs one row.
func runFault(t *testing.T, row *fault) {
	is := is.New(t)
	f := fleet.New(fleet.Small())
	f.Tune = row.tune
	defer f.Close()
	is.NoErr(f.Start(t.Context()))
	scene := fleet.NewScene(f, 1)
	scene.Begin(t.Context())
	time.Sleep(calmTime)
	struck := time.Now()
	row.strike(t, scene)
	time.Sleep(faultTime)
	healed := time.Now()
	row.heal(t, scene)
	time.Sleep(afterTime)
	broken := scene.End()
	samples, steps := scene.Record.Samples()
	t.Logf("during fault: orders %d completions %d; recovery after heal: orders %s completions %s; samples %d steps %d idle %s",
		between(scene, "order", struck, healed), between(scene, "completion", struck, healed),
		recovery(scene, "order", healed), recovery(scene, "completion", healed), samples, steps, scene.Record.Idle())
	t.Logf("refusals during fault: %v, after it: %v", refusals(scene, struck, healed), refusals(scene, healed, time.Now()))
	for _, breach := range broken {
		t.Error(breach)
	}
	is.True(scene.Record.Answered("order", healed.Add(5*time.Second)) > 20)      // orders go on afterwards
	is.True(scene.Record.Answered("completion", healed.Add(5*time.Second)) > 20) // completions go on afterwards
	is.True(steps >= 3)                                                          // the trainer goes on
}

// between counts the answers of a kind in a time.
func between(s *fleet.Scene, kind string, from, to time.Time) int {
	return s.Record.Answered(kind, from) - s.Record.Answered(kind, to)
}

// recovery returns the time from the end of a fault to the end of the last
// call in it that was not answered, for calls begun after the fault.
func recovery(s *fleet.Scene, kind string, healed time.Time) time.Duration {
	last := time.Duration(0)
	for _, result := range s.Record.Results() {
		if result.Kind == kind && result.At.After(healed) && result.Answer == "" {
			last = max(last, result.At.Add(result.Took).Sub(healed))
		}
	}
	return last
}

// refusals counts the refusals of calls begun in a time, by kind, reason and outcome.
func refusals(s *fleet.Scene, from, to time.Time) map[string]int {
	counts := make(map[string]int)
	for _, result := range s.Record.Results() {
		if result.Refusal != nil && result.At.After(from) && result.At.Before(to) {
			counts[fmt.Sprintf("%s %s/%s", result.Kind, result.Refusal.Reason, result.Refusal.Outcome)]++
		}
	}
	return counts
}
