package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// finding is a problem and the document in which it was found.
type finding struct {
	Source string `json:"source"`
	table.Problem
}

// tableFile is the JSON structure of a file that holds both tables.
type tableFile struct {
	// Routes lists the rows of the route table.
	Routes []table.Route `json:"routes"`
	// Pools lists the rows of the pool table.
	Pools []table.Pool `json:"pools"`
}

type checker struct {
	store    storeFlags
	output   outputFlag
	settings []string
	tables   []string
	configs  []string
	findings []finding
	routes   []table.Route
	pools    []table.Pool
}

func newCheck() *cobra.Command {
	var c checker
	cmd := &cobra.Command{
		Use: "check", Short: "Check settings and tables and report every fault", Args: cobra.NoArgs,
		Long: `Check settings files, files with tables, and the tables in the store. Every fault is printed
with its JSON path and the remedy; routes whose pool does not exist are faults. Exit code 2
means that there are faults. A file with tables has the form {"routes": [...], "pools": [...]}.
All tables given together are checked as one set. A configuration of the users' platform is
checked by itself, with its workspaces; API keys are not printed.`,
		Example: "  turmericsail check --settings instance.json\n  turmericsail check --tables tables.json -o json\n  turmericsail check --store http://127.0.0.1:8500",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := c.output.check(); err != nil {
				return err
			}
			return c.run(cmd)
		},
	}
	cmd.Flags().StringArrayVar(&c.settings, "settings", nil, "settings file; repeatable")
	cmd.Flags().StringArrayVar(&c.tables, "tables", nil, "file with tables; repeatable")
	cmd.Flags().StringArrayVar(&c.configs, "configuration", nil, "file with a configuration of the users' platform; repeatable")
	c.store.add(cmd)
	c.output.add(cmd)
	return cmd
}

func (c *checker) run(cmd *cobra.Command) error {
	fromStore := cmd.Flags().Changed("store")
	if len(c.settings)+len(c.tables)+len(c.configs) == 0 && !fromStore {
		return fault.New(fault.Invalid, "there is nothing to check", "give --settings, --tables, --configuration or --store")
	}
	if err := c.checkFiles(cmd.InOrStdin()); err != nil {
		return err
	}
	if fromStore {
		ctx, cancel := c.store.context(cmd)
		defer cancel()
		if err := c.checkStore(ctx); err != nil {
			return err
		}
	}
	c.add("tables", table.NewTables(0, c.routes, c.pools).CheckReferences())
	return c.report(cmd.OutOrStdout())
}

func (c *checker) add(source string, problems table.Problems) {
	for _, p := range problems {
		c.findings = append(c.findings, finding{source, p})
	}
}

func (c *checker) checkFiles(stdin io.Reader) error {
	for _, path := range c.settings {
		data, err := readInput(path, stdin)
		if err != nil {
			return err
		}
		_, err = settings.Parse(data)
		c.add(path, table.ProblemsOf(err))
	}
	for _, path := range c.configs {
		data, err := readInput(path, stdin)
		if err != nil {
			return err
		}
		c.add(path, platform.CheckConfig(data))
	}
	for _, path := range c.tables {
		data, err := readInput(path, stdin)
		if err != nil {
			return err
		}
		c.checkTableFile(path, data)
	}
	return nil
}

func (c *checker) checkTableFile(path string, data []byte) {
	var f tableFile
	problems, err := table.Decode(data, &f)
	if err != nil {
		c.add(path, table.ProblemsOf(err))
		return
	}
	var rowProblems table.Problems
	names := map[string]bool{}
	unique := func(at, kind, name string) {
		if names[kind+name] {
			rowProblems.Add(at+".name", fmt.Sprintf("%s %q is given more than once", kind, name), "keep one of the rows")
		}
		names[kind+name] = true
	}
	for i := range f.Routes {
		at := fmt.Sprintf("$.routes[%d]", i)
		rowProblems = append(rowProblems, f.Routes[i].Validate(at)...)
		unique(at, "route ", f.Routes[i].Name)
	}
	for i := range f.Pools {
		at := fmt.Sprintf("$.pools[%d]", i)
		rowProblems = append(rowProblems, f.Pools[i].Validate(at)...)
		unique(at, "pool ", f.Pools[i].Name)
	}
	c.add(path, problems.Merge(rowProblems))
	c.routes, c.pools = append(c.routes, f.Routes...), append(c.pools, f.Pools...)
}

// checkStore checks the rows in the store. A route to a pool that has faults is also reported,
// since such a pool is not in force.
func (c *checker) checkStore(ctx context.Context) error {
	kv, err := c.store.client()
	if err != nil {
		return err
	}
	entries, _, err := kv.List(ctx, configsync.Prefix)
	if err != nil {
		return err
	}
	tables, problems := table.FromRows(configsync.Prefix, entries, 0)
	c.add("store", problems)
	for _, r := range tables.Routes {
		c.routes = append(c.routes, r)
	}
	for _, p := range tables.Pools {
		c.pools = append(c.pools, p)
	}
	return nil
}

func (c *checker) report(w io.Writer) error {
	if c.findings == nil {
		c.findings = []finding{}
	}
	err := c.output.print(w, c.findings, func(w io.Writer) {
		for _, f := range c.findings {
			fmt.Fprintf(w, "%s: %s\n", f.Source, f.Problem)
		}
		if len(c.findings) == 0 {
			fmt.Fprintln(w, "no faults found")
		}
	})
	if len(c.findings) > 0 {
		return fault.Newf(fault.Invalid, "change the named fields", "%d faults found", len(c.findings))
	}
	return err
}
