// Command standin plays the cases of the review: the platform's store, replicas, clients and the
// operator, around the project's daemons.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(d *deployment, trouble bool){"route": playRoute, "poison": playPoison, "term": playTerm}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no case %q", os.Args[1])
	}
	if _, err := os.Stat(os.Args[2]); err != nil {
		fail("program: %v", err)
	}
	play(newDeployment(os.Args[2], os.Args[3]), os.Getenv("TROUBLE") != "0")
}
