package demo_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/cli"
)

// Guards against a demo that does not start, does not end after --for, or fails requests while a failure domain is out of service.
func TestDemoEndsByItself(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	code := cli.Main(t.Context(), []string{"demo", "--for", "3s", "--rate", "100"}, &out, &errs)
	t.Log(out.String(), errs.String())
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(out.String(), "north-2 is taken out of service"))
	is.True(strings.Contains(out.String(), "every request got its own whole answer"))
}
