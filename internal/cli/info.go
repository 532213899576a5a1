package cli

import (
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/schema"
)

func newSchema() *cobra.Command {
	return &cobra.Command{
		Use: "schema " + strings.Join(schema.Names(), "|"), Short: "Print the JSON Schema of the settings or of a table's rows",
		Long:      "Print a JSON Schema with every field, its unit, default and effect. Instances serve the same at /schema/NAME of the admin listener.",
		Example:   "  turmericsail schema settings\n  turmericsail schema route > route.schema.json",
		Args:      cobra.ExactArgs(1),
		ValidArgs: schema.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := schema.For(args[0])
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
}

// buildInfo is the output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified,omitempty"`
}

func readBuildInfo() buildInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildInfo{Version: "unknown"}
	}
	b := buildInfo{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.time":
			b.Time = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func newVersion() *cobra.Command {
	var out outputFlag
	cmd := &cobra.Command{
		Use: "version", Short: "Print the build information", Args: cobra.NoArgs,
		Example: "  turmericsail version\n  turmericsail version -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			b := readBuildInfo()
			return out.print(cmd.OutOrStdout(), b, func(w io.Writer) {
				fmt.Fprintf(w, "turmericsail %s, %s, revision %s %s\n", b.Version, b.Go, b.Revision, b.Time)
			})
		},
	}
	out.add(cmd)
	return cmd
}
