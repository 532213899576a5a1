//go:build review

// Command standin plays one case of the review: it starts stand-ins of the platform's store, of servers and of clients, and
// instances of the project as separate processes, all on loopback addresses.
//
//	standin CASE BINARY RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"body":    runBodyCase,
	"stale":   runStaleCase,
	"freeze":  runFreezeCase,
	"route":   runRouteCase,
	"interim": runInterimCase,
	"storm":   runStormCase,
	"memory":  runMemoryCase,
	"extra":   runExtraCase,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY RECORD")
		return 2
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(args[1], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		d.close()
		os.Exit(2)
	}()
	broken, err := cases[args[0]](d, os.Getenv("TROUBLE") != "0")
	verdict := fmt.Sprintf("broken %d times", broken)
	if err != nil {
		verdict += ": " + err.Error()
	}
	rec.add("%s", verdict)
	fmt.Println(args[0]+":", verdict)
	switch {
	case broken > 0:
		return 1
	case err != nil:
		return 2
	}
	return 0
}
