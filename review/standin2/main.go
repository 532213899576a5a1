package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2
)

// cases are the cases by their number. Each returns how often the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken int, err error){
	"6": doubleSignal,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitUnplayed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	d, err := newDeployment(rec)
	if err != nil {
		rec.line("not played: %v", err)
		return exitUnplayed
	}
	defer d.close()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("not played: %v", err)
		return exitUnplayed
	case broken > 0:
		rec.line("the rule was broken %d times", broken)
		return exitBroken
	}
	rec.line("the rule held")
	return exitHeld
}
