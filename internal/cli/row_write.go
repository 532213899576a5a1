package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

// noRevision is the value of --if-revision when the flag is not given.
const noRevision = -1

// writeFlags are the flags of commands that change a row.
type writeFlags struct {
	ifRevision int64
	wait       time.Duration
	output     outputFlag
}

func (f *writeFlags) add(cmd *cobra.Command) {
	cmd.Flags().Int64Var(&f.ifRevision, "if-revision", noRevision, "change the row only at this revision; 0: only if there is none (default: the revision read first)")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "wait up to this time until the edit is in force on every instance that can be reached")
	f.output.add(cmd)
}

func (f *writeFlags) check() error {
	if f.ifRevision < noRevision {
		return fault.Newf(fault.Invalid, "give the revision that get -o json prints", "revision %d is negative", f.ifRevision)
	}
	return f.output.check()
}

// base returns the revision on which an edit is based: the current one unless --if-revision is set.
func (f *writeFlags) base(current uint64) uint64 {
	if f.ifRevision == noRevision {
		return current
	}
	return uint64(f.ifRevision)
}

// writeOutput is the result of an edit as -o json prints it.
type writeOutput struct {
	Name   string `json:"name"`
	Action string `json:"action"`
	// Revision is the store's revision of the edit, for --if-revision.
	Revision uint64 `json:"revision"`
	// TablesRevision is the revision of the tables that contains the edit; only with --wait.
	TablesRevision uint64      `json:"tables_revision,omitempty"`
	Wait           *waitResult `json:"wait,omitempty"`
}

// edit is one change of a row: a new value, or its deletion when row is nil.
type edit struct {
	name string
	row  []byte
	base uint64
}

// apply writes the edit to the store, waits until it is in force if --wait is set, and prints the result.
func (c *rowCommand) apply(cmd *cobra.Command, kv *consulkv.Client, flags *writeFlags, e edit) error {
	ctx, cancel := c.context(cmd)
	defer cancel()
	action, err := "written", error(nil)
	if e.row == nil {
		action, err = "deleted", store.Delete(ctx, kv, c.key(e.name), e.base)
	} else {
		_, err = store.Put(ctx, kv, c.key(e.name), e.row, e.base)
	}
	if fault.Is(err, fault.Conflict) {
		return c.conflict(ctx, kv, e.name, e.row, e.base, err)
	}
	if err != nil {
		return err
	}
	result := writeOutput{Name: e.name, Action: action}
	if result.Revision, err = c.tableRevision(ctx, kv); err != nil {
		return fault.Wrap(fault.Unavailable, err, "the edit was accepted but its revision cannot be read", "check with the status command")
	}
	return c.finish(cmd, kv, flags, &result)
}

// tableRevision returns the revision of the last edit of the table. After an accepted
// edit it is at least the revision of that edit.
func (c *rowCommand) tableRevision(ctx context.Context, kv store.KV) (uint64, error) {
	_, index, err := kv.List(ctx, c.key(""))
	return index, err
}

// finish waits until the edit is in force if --wait is set, and prints the result.
func (c *rowCommand) finish(cmd *cobra.Command, kv *consulkv.Client, flags *writeFlags, result *writeOutput) error {
	var waitErr error
	if flags.wait > 0 {
		ctx, cancel := context.WithTimeout(cmd.Context(), flags.wait)
		defer cancel()
		result.TablesRevision, waitErr = configsync.AwaitRevision(ctx, kv, c.key(result.Name), 0)
		if waitErr == nil {
			result.Wait, waitErr = waitInForce(ctx, kv, result.TablesRevision)
		}
	}
	err := flags.output.print(cmd.OutOrStdout(), result, func(w io.Writer) {
		fmt.Fprintf(w, "%s %s %s, revision %d\n", c.name, result.Name, result.Action, result.Revision)
		result.Wait.write(w)
	})
	if waitErr != nil {
		return waitErr
	}
	return err
}

func (c *rowCommand) newPut() *cobra.Command {
	var flags writeFlags
	cmd := &cobra.Command{
		Use: "put FILE", Short: "Write a row from a JSON file, or - for standard input", Args: cobra.ExactArgs(1),
		Example: fmt.Sprintf("  echo '%s' | turmericsail %s put - --wait 10s\n  turmericsail %s put row.json --if-revision 0", c.example, c.name, c.name),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			data, err := readInput(args[0], cmd.InOrStdin())
			if err != nil {
				return err
			}
			name, row, err := c.decode(data)
			if err != nil {
				return err
			}
			kv, err := c.client()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			current, err := kv.Get(ctx, c.key(name))
			if err != nil && !fault.Is(err, fault.NotFound) {
				return err
			}
			return c.apply(cmd, kv, &flags, edit{name, row, flags.base(current.Revision)})
		},
	}
	flags.add(cmd)
	return cmd
}

func (c *rowCommand) newDelete() *cobra.Command {
	var flags writeFlags
	cmd := &cobra.Command{
		Use: "delete NAME", Short: "Delete a row", Args: cobra.ExactArgs(1), ValidArgsFunction: c.completeNames,
		Example: fmt.Sprintf("  turmericsail %s delete roster --wait 10s", c.name),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			kv, err := c.client()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			current, err := c.read(ctx, kv, args[0])
			if err != nil {
				return err
			}
			return c.apply(cmd, kv, &flags, edit{name: args[0], base: flags.base(current.Revision)})
		},
	}
	flags.add(cmd)
	return cmd
}
