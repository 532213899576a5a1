package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// rowKind holds what differs between the commands of the two tables.
type rowKind struct {
	name   string
	prefix string
	// example is a row for the help texts.
	example string
	// setExample is a FIELD=JSON pair for the help texts.
	setExample string
	// decode validates a row and returns its name and canonical JSON.
	decode func(data []byte) (string, []byte, error)
	// header and summary supply the additional columns of the list command.
	header  []string
	summary func(data []byte) []string
}

var routeRows = rowKind{
	name: "route", prefix: table.RoutesPrefix,
	example:    `{"name": "roster", "match": {"path_prefix": "/roster"}, "pool": "roster"}`,
	setExample: `'class="critical"'`,
	decode: func(data []byte) (string, []byte, error) {
		r, err := table.DecodeRoute(data)
		return encodeRow(r.Name, r, err)
	},
	header: []string{"POOL", "PATH", "HOSTS", "CLASS"},
	summary: func(data []byte) []string {
		r, err := table.DecodeRoute(data)
		if err != nil {
			return []string{"(has faults, not in force; see the check command)"}
		}
		return []string{r.Pool, r.Match.PathPrefix, strings.Join(r.Match.Hosts, ","), string(r.Class)}
	},
}

var poolRows = rowKind{
	name: "pool", prefix: table.PoolsPrefix,
	example:    `{"name": "roster", "slots": 4, "connections": 250, "upstreams": [{"id": "u1", "address": "127.0.0.1:8600", "region": "north", "failure_domain": "n1"}]}`,
	setExample: `'failure_domains_out=["n1"]'`,
	decode: func(data []byte) (string, []byte, error) {
		p, err := table.DecodePool(data)
		return encodeRow(p.Name, p, err)
	},
	header: []string{"UPSTREAMS", "SLOTS", "DISCOVER", "OUT"},
	summary: func(data []byte) []string {
		p, err := table.DecodePool(data)
		if err != nil {
			return []string{"(has faults, not in force; see the check command)"}
		}
		out := append(append([]string{}, p.FailureDomainsOut...), p.UpstreamsOut...)
		return []string{fmt.Sprint(len(p.Upstreams)), fmt.Sprint(p.Slots), p.Discover, strings.Join(out, ",")}
	},
}

func encodeRow(name string, row any, err error) (string, []byte, error) {
	if err != nil {
		return "", nil, err
	}
	data, err := json.Marshal(row)
	return name, data, err
}

// storeFlags are the flags of commands that use the store.
type storeFlags struct {
	address string
	timeout time.Duration
}

func (f *storeFlags) add(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&f.address, "store", "http://127.0.0.1:8500", "base URL of the store")
	cmd.PersistentFlags().DurationVar(&f.timeout, "timeout", 10*time.Second, "time-out for reading or writing the store, including the check after a lost answer")
}

func (f *storeFlags) client() (*consulkv.Client, error) {
	return consulkv.New(consulkv.Config{Address: f.address})
}

func (f *storeFlags) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), f.timeout)
}

// rowCommand holds what the commands of one table share: the kind of row and the flags for the store.
type rowCommand struct {
	rowKind
	storeFlags
}

func newRow(kind rowKind) *cobra.Command {
	c := &rowCommand{rowKind: kind}
	cmd := &cobra.Command{
		Use: kind.name, Short: fmt.Sprintf("Read and edit the %s table", kind.name),
		Long: fmt.Sprintf(`Read and edit the %[1]s table in the store.

Each row is one key. Every edit is a compare-and-swap on the revision of the row that it is
based on: of two racing edits one wins, and the other ends with exit code 3 and shows both
versions. "turmericsail schema %[1]s" describes every field.`, kind.name),
	}
	c.add(cmd)
	cmd.AddCommand(c.newList(), c.newGet(), c.newPut(), c.newEdit(), c.newDelete())
	return cmd
}

func (c *rowCommand) key(name string) string { return configsync.Prefix + c.rowKind.prefix + name }

// read returns the row with the given name; the NotFound error names the table and the list command.
func (c *rowCommand) read(ctx context.Context, kv store.KV, name string) (store.Entry, error) {
	e, err := kv.Get(ctx, c.key(name))
	if fault.Is(err, fault.NotFound) {
		return e, fault.Newf(fault.NotFound, fmt.Sprintf("list the rows with: turmericsail %s list", c.name), "there is no %s %q", c.name, name)
	}
	return e, err
}

// conflict returns the error for an edit that lost a race; it shows both versions of the row.
func (c *rowCommand) conflict(ctx context.Context, kv store.KV, name string, mine []byte, based uint64, cause error) error {
	theirs, state := "(deleted)", "no longer in the store"
	retryRevision := 0
	e, err := kv.Get(ctx, c.key(name))
	switch {
	case err == nil:
		theirs, state, retryRevision = indent(e.Value), fmt.Sprintf("in the store, revision %d", e.Revision), int(e.Revision)
	case !fault.Is(err, fault.NotFound):
		theirs, state = "(the store cannot be read: "+err.Error()+")", "in the store"
	}
	text := fmt.Sprintf("%s %q was changed by another edit\n--- yours, based on revision %d:\n%s\n--- %s:\n%s\n", c.name, name, based, indent(mine), state, theirs)
	remedy := fmt.Sprintf("compare both and edit again, or repeat yours with --if-revision %d to replace the other", retryRevision)
	return fault.Wrap(fault.Conflict, cause, text, remedy)
}

func indent(row []byte) string {
	if row == nil {
		return "(deleted)"
	}
	var out bytes.Buffer
	if err := json.Indent(&out, row, "", "  "); err != nil {
		return string(row)
	}
	return out.String()
}
