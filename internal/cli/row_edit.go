package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

func (c *rowCommand) newEdit() *cobra.Command {
	var flags writeFlags
	var set, unset []string
	cmd := &cobra.Command{
		Use: "edit NAME", Short: "Change a row in $EDITOR or by --set", Args: cobra.ExactArgs(1), ValidArgsFunction: c.completeNames,
		Long: `Change a row. Without --set and --unset, the row is opened in $EDITOR as a temporary file.
The result is checked and written only if the row still has the revision that was read.
FIELD is a JSON field, with dots between levels; JSON is the whole new value.`,
		Example: fmt.Sprintf("  turmericsail %[1]s edit roster\n  turmericsail %[1]s edit roster --set %[2]s --wait 10s", c.name, c.setExample),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			return c.edit(cmd, &flags, args[0], set, unset)
		},
	}
	cmd.Flags().StringArrayVar(&set, "set", nil, "set FIELD=JSON without an editor; repeatable")
	cmd.Flags().StringArrayVar(&unset, "unset", nil, "remove FIELD without an editor; repeatable")
	flags.add(cmd)
	return cmd
}

func (c *rowCommand) edit(cmd *cobra.Command, flags *writeFlags, name string, set, unset []string) error {
	kv, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := c.context(cmd)
	defer cancel()
	current, err := c.read(ctx, kv, name)
	if err != nil {
		return err
	}
	change := func(row []byte) ([]byte, error) { return editInEditor(cmd, row) }
	if len(set)+len(unset) > 0 {
		change = func(row []byte) ([]byte, error) { return setFields(row, set, unset) }
	}
	data, err := change(current.Value)
	if err != nil {
		return err
	}
	newName, row, err := c.decode(data)
	if err != nil {
		return err
	}
	if newName != name {
		return fault.Newf(fault.Invalid, "put a new row and delete the old one", "$.name: an edit cannot rename %q to %q", name, newName)
	}
	return c.apply(cmd, kv, flags, edit{name, row, flags.base(current.Revision)})
}

// setFields sets and removes fields of a row. Each is given by its dotted path.
func setFields(row []byte, set, unset []string) ([]byte, error) {
	var doc map[string]any
	dec := json.NewDecoder(bytes.NewReader(row))
	dec.UseNumber() // preserves the notation of numbers
	if err := dec.Decode(&doc); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the row in the store is not a JSON object", "replace it with the put command")
	}
	for _, s := range set {
		field, text, ok := strings.Cut(s, "=")
		if !ok || !json.Valid([]byte(text)) {
			return nil, fault.Newf(fault.Invalid, `write FIELD=JSON, with strings in double quotes, such as 'class="bulk"'`, "--set %s: %q is not JSON", s, text)
		}
		parent, last := parentObject(doc, field)
		parent[last] = json.RawMessage(text)
	}
	for _, field := range unset {
		parent, last := parentObject(doc, field)
		delete(parent, last)
	}
	return json.Marshal(doc)
}

// parentObject returns the object that holds the last part of a dotted path, and that
// part. It creates missing objects along the path.
func parentObject(doc map[string]any, field string) (map[string]any, string) {
	parts := strings.Split(field, ".")
	for _, part := range parts[:len(parts)-1] {
		next, ok := doc[part].(map[string]any)
		if !ok {
			next = map[string]any{}
			doc[part] = next
		}
		doc = next
	}
	return doc, parts[len(parts)-1]
}

// editInEditor opens a row in $EDITOR and returns the edited text. The temporary file
// is kept when the result cannot be used, so that the operator's changes are not lost.
func editInEditor(cmd *cobra.Command, row []byte) ([]byte, error) {
	editor := strings.Fields(os.Getenv("EDITOR"))
	if len(editor) == 0 {
		return nil, fault.New(fault.Invalid, "the environment variable EDITOR is not set", "set it, or use --set FIELD=JSON")
	}
	path, err := writeTempFile(indent(row) + "\n")
	if err != nil {
		return nil, err
	}
	run := exec.CommandContext(cmd.Context(), editor[0], append(editor[1:], path)...)
	run.Stdin, run.Stdout, run.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	if err := run.Run(); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the editor failed; your text is in "+path, "correct EDITOR, or write the file with the put command")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "the edited file cannot be read", "repeat the edit")
	}
	if !json.Valid(data) {
		return nil, fault.New(fault.Invalid, "$: the edited text is not JSON; it is kept in "+path, "correct it there and write it with the put command")
	}
	return data, os.Remove(path)
}

func writeTempFile(text string) (string, error) {
	f, err := os.CreateTemp("", "turmericsail-*.json")
	if err != nil {
		return "", err
	}
	_, writeErr := f.WriteString(text)
	return f.Name(), errors.Join(writeErr, f.Close())
}
