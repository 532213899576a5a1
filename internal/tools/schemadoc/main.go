// Command schemadoc extracts the doc comments of the settings and table types
// into a JSON file that internal/schema embeds. Its arguments are the module root
// and the path of the output file relative to the root.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/invopop/jsonschema"
)

const module = "github.com/turmericsail/turmericsail"

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: schemadoc ROOT OUTPUT")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "schemadoc:", err)
		os.Exit(1)
	}
}

func run(root, output string) error {
	if err := os.Chdir(root); err != nil {
		return err
	}
	var r jsonschema.Reflector
	for _, dir := range []string{"internal/settings", "pkg/table"} {
		if err := r.AddGoComments(module, dir, jsonschema.WithFullComment()); err != nil {
			return err
		}
	}
	for name, text := range r.CommentMap {
		r.CommentMap[name] = strings.Join(strings.Fields(text), " ")
	}
	data, err := json.MarshalIndent(r.CommentMap, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(output, append(data, '\n'), 0o644)
}
