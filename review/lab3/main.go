package main

import (
	"fmt"
	"os"
)

// cases are the cases by the names of their folders. They return whether the rule was broken.
var cases = map[string]func(*lab) bool{
	"refused": caseRefused, "crash": caseCrash, "late": caseLate, "poison": casePoison, "keys": caseKeys,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and returns the exit status.
func run(check func(*lab) bool, folder string) (status int) {
	var l *lab
	defer func() {
		if reason, ok := recover().(unable); ok {
			fmt.Fprintln(os.Stderr, "the case could not run:", reason.reason)
			status = 2
		}
		if l != nil {
			l.close()
		}
	}()
	l = newLab(folder)
	broken := check(l)
	l.log("end", "broken", broken)
	fmt.Println("rule broken:", broken)
	if broken {
		return 1
	}
	return 0
}
