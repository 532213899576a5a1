package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// rowOutput is the JSON output of a row for -o json.
type rowOutput struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Row      json.RawMessage `json:"row"`
}

// rawRow returns the value as it is if it is valid JSON, otherwise as a JSON string so that it can be printed.
func rawRow(value []byte) json.RawMessage {
	if json.Valid(value) {
		return value
	}
	text, _ := json.Marshal(string(value))
	return text
}

func (c *rowCommand) newList() *cobra.Command {
	var out outputFlag
	cmd := &cobra.Command{
		Use: "list", Short: "List the rows", Args: cobra.NoArgs,
		Example: fmt.Sprintf("  turmericsail %[1]s list\n  turmericsail %[1]s list -o json", c.name),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			kv, err := c.client()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			prefix := c.key("")
			entries, _, err := kv.List(ctx, prefix)
			if err != nil {
				return err
			}
			rows := []rowOutput{}
			text := [][]string{append([]string{"NAME", "REVISION"}, c.header...)}
			for _, e := range entries {
				name := strings.TrimPrefix(e.Key, prefix)
				rows = append(rows, rowOutput{name, e.Revision, rawRow(e.Value)})
				text = append(text, append([]string{name, fmt.Sprint(e.Revision)}, c.summary(e.Value)...))
			}
			return out.print(cmd.OutOrStdout(), rows, func(w io.Writer) { writeColumns(w, text) })
		},
	}
	out.add(cmd)
	return cmd
}

func (c *rowCommand) newGet() *cobra.Command {
	var out outputFlag
	cmd := &cobra.Command{
		Use: "get NAME", Short: "Print a row", Args: cobra.ExactArgs(1), ValidArgsFunction: c.completeNames,
		Long:    "Print a row as put takes it. With -o json its revision is printed too.",
		Example: fmt.Sprintf("  turmericsail %[1]s get roster > row.json\n  turmericsail %[1]s get roster -o json", c.name),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			kv, err := c.client()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			e, err := c.read(ctx, kv, args[0])
			if err != nil {
				return err
			}
			return out.print(cmd.OutOrStdout(), rowOutput{args[0], e.Revision, rawRow(e.Value)}, func(w io.Writer) {
				fmt.Fprintln(w, indent(e.Value))
			})
		},
	}
	out.add(cmd)
	return cmd
}

// completeNames returns the names of the rows for shell completion, or none if the
// store cannot be reached.
func (c *rowCommand) completeNames(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	kv, err := c.client()
	if err != nil || len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ctx, cancel := c.context(cmd)
	defer cancel()
	prefix := c.key("")
	entries, _, _ := kv.List(ctx, prefix)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimPrefix(e.Key, prefix)
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}
