// Command trial runs the scripts of review cases: it starts daemons with the command of the deploy file,
// and stand-ins of the platform, replicas and clients in its own process. It exits with 1 if the rule of
// the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errNotRun means that a case could not run, as what it needs did not happen.
var errNotRun = errors.New("the case could not run")

// trial is a case. With trouble, it includes the disruption. It returns whether the rule was broken.
type trial func(ctx context.Context, r *record, trouble bool) (broken bool, err error)

// trials are the cases by their numbers.
var trials = map[string]trial{
	"open": tryOpenLot, "catchall": tryCatchAll, "crash": tryCrash, "poison": tryDarkPoison, "weights": tryWeights, "copy": trySecondCopy,
}

// timeLimit is how long a case may run.
const timeLimit = 115 * time.Second

func init() {
	// The daemons end with the thread that starts them, which is the main one.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a case and writes its record into a folder.
func run(name, folder string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	r := &record{started: time.Now()}
	r.add("case %s, with the disruption: %t", name, trouble)
	broken, err := trials[name](ctx, r, trouble)
	code := exitHeld
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		code = exitFailed
	case broken:
		r.add("RULE BROKEN")
		code = exitBroken
	default:
		r.add("the rule held")
	}
	if err := r.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
