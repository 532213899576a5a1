package quarantine

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// Guards against a log line for each failed call (20,000 of them in one day), and against a long run that is never logged.
func TestRunOfFailuresIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	lines := 0
	log := funcr.New(func(_, _ string) { lines++ }, funcr.Options{})
	var r failureRun
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	r.log(at(0), log)
	is.Equal(lines, 0) // nothing has failed
	for i := range 1000 {
		r.add(at(time.Duration(i)*time.Millisecond), "e1/1", errors.New("refused"))
		r.log(at(time.Duration(i)*time.Millisecond), log)
	}
	is.Equal(lines, 0) // the run goes on
	r.log(at(time.Second+runPause), log)
	r.log(at(2*runPause), log)
	is.Equal(lines, 1)
	for i := range 100 {
		r.add(at(time.Minute+time.Duration(i)*time.Second), "e1/1", errors.New("refused"))
		r.log(at(time.Minute+time.Duration(i)*time.Second), log)
	}
	is.Equal(lines, 4) // a run of 100 s is logged each maxRun
}
