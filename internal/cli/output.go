package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// outputFlag is the --output flag, which selects text or JSON.
type outputFlag struct {
	format string
}

func (o *outputFlag) add(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.format, "output", "o", "text", "output format: text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// check rejects an unknown format. Commands call it before any other action.
func (o *outputFlag) check() error {
	if o.format != "text" && o.format != "json" {
		return fault.Newf(fault.Invalid, "use text or json", "output format %q is unknown", o.format)
	}
	return nil
}

// print writes v as JSON, or calls text if that format is selected.
func (o *outputFlag) print(w io.Writer, v any, text func(w io.Writer)) error {
	if o.format != "json" {
		text(w)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeColumns writes rows as aligned columns.
func writeColumns(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, cell)
		}
		fmt.Fprintln(tw)
	}
	_ = tw.Flush()
}
