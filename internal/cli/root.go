// Package cli holds the commands of the turmericsail binary.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Exit codes of the commands; the help of the root command documents them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitUnknown     = 5
	ExitNotFound    = 6
)

const rootHelp = `turmericsail is a load balancer for upstreams whose load shifts within milliseconds.
One binary holds the entry instance, the operators' commands and stand-ins to try it out.
Operators control it by two tables in the platform's key-value store, routes and pools.

Exit codes:
  0  success
  1  the command failed, or load or demo saw a failed request or a wrong answer
  2  invalid input: flags, settings or rows; every fault is named with its JSON path
  3  conflict: another edit came first, nothing was changed
  4  unavailable: the store or the instances cannot be reached, nothing was changed
  5  outcome unknown: an edit may or may not have taken effect; read the row back
  6  not found`

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(stderr, "turmericsail:", err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	e, ok := fault.As(err)
	if !ok {
		return ExitFailed
	}
	switch e.Kind { // Refused, Exhausted and Internal are failures
	case fault.Invalid:
		return ExitInvalid
	case fault.Conflict:
		return ExitConflict
	case fault.Unavailable:
		return ExitUnavailable
	case fault.OutcomeUnknown:
		return ExitUnknown
	case fault.NotFound:
		return ExitNotFound
	}
	return ExitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "turmericsail",
		Short:         "Load balancer for upstreams whose load shifts in milliseconds",
		Long:          rootHelp,
		Example:       "  turmericsail demo\n  turmericsail route list\n  turmericsail completion bash",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return fault.Wrap(fault.Invalid, err, "the flags cannot be used", "see: "+cmd.CommandPath()+" --help")
	})
	root.AddCommand(newServe(), newStandin(), newRow(routeRows), newRow(poolRows), newCheck(), newStatus(), newSchema(), newVersion(), newLoad(), newDemo(), newExplain(), newWhere())
	for _, c := range root.Commands() {
		classifyArgs(c)
	}
	return root
}

// classifyArgs makes wrong arguments of a command and its subcommands an Invalid fault.
func classifyArgs(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return fault.Wrap(fault.Invalid, err, "the arguments cannot be used", "see: "+cmd.CommandPath()+" --help")
			}
			return nil
		}
	}
	for _, c := range cmd.Commands() {
		classifyArgs(c)
	}
}

func readInput(path string, stdin io.Reader) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "the file cannot be read", "name a readable file, or - for standard input")
	}
	return data, nil
}
