package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

func newStatus() *cobra.Command {
	var flags storeFlags
	var out outputFlag
	var admins []string
	cmd := &cobra.Command{
		Use: "status", Short: "Show instances, revisions, upstreams and faults of the tables", Args: cobra.NoArgs,
		Long: `Show every instance with its failure domain, state and revision in force, every upstream as the
instances see it, routes whose pool is missing, and rows that were refused.
Instances come from the platform's list, which lags; --admin names them directly, which works
while the store is down. Exit code 4 means that no instance could be reached.`,
		Example: "  turmericsail status\n  turmericsail status --admin 127.0.0.1:9901 -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			list, err := listInstances(cmd, &flags, admins)
			if err != nil {
				return err
			}
			all := queryAll(cmd.Context(), list)
			if err := out.print(cmd.OutOrStdout(), all, func(w io.Writer) { writeStatus(w, all) }); err != nil {
				return err
			}
			if !slices.ContainsFunc(all, func(i instanceStatus) bool { return i.Status != nil }) {
				return fault.New(fault.Unavailable, "no instance could be reached", "check that instances run and that their admin addresses can be reached from here")
			}
			return nil
		},
	}
	cmd.Flags().StringArrayVar(&admins, "admin", nil, "admin address of an instance, in place of the platform's list; repeatable")
	flags.add(cmd)
	out.add(cmd)
	return cmd
}

func listInstances(cmd *cobra.Command, flags *storeFlags, admins []string) ([]store.ListedInstance, error) {
	if len(admins) > 0 {
		list := make([]store.ListedInstance, len(admins))
		for i, a := range admins {
			list[i] = store.ListedInstance{ID: a, Admin: a}
		}
		return list, nil
	}
	kv, err := flags.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := flags.context(cmd)
	defer cancel()
	return kv.Instances(ctx, store.ServiceName)
}

func writeStatus(w io.Writer, all []instanceStatus) {
	rows := [][]string{{"INSTANCE", "REGION", "FAILURE DOMAIN", "STATE", "REVISION"}}
	for _, in := range all {
		if s := in.Status; s != nil {
			rows = append(rows, []string{s.Instance, s.Region, s.FailureDomain, s.State, fmt.Sprint(s.Revision)})
			continue
		}
		rows = append(rows, []string{in.ID, "", "", "unreachable: " + in.Error, ""})
	}
	writeColumns(w, rows)
	if ups := mergeUpstreams(all); len(ups) > 1 {
		fmt.Fprintln(w)
		writeColumns(w, ups)
	}
	writeProblems(w, all)
}

// mergeUpstreams returns one table row for each upstream, with the states that the
// instances report and the sum of their requests in flight.
func mergeUpstreams(all []instanceStatus) [][]string {
	type merged struct {
		first    admin.UpstreamStatus
		states   map[string]int
		inFlight int64
	}
	by := map[string]*merged{}
	var order []string
	for _, in := range all {
		if in.Status == nil {
			continue
		}
		for _, u := range in.Status.Upstreams {
			key := u.Pool + "\x00" + u.ID
			if by[key] == nil {
				by[key] = &merged{first: u, states: map[string]int{}}
				order = append(order, key)
			}
			by[key].states[u.State]++
			by[key].inFlight += u.InFlight
		}
	}
	slices.Sort(order)
	rows := [][]string{{"POOL", "UPSTREAM", "ADDRESS", "FAILURE DOMAIN", "STATE", "IN FLIGHT"}}
	for _, key := range order {
		m := by[key]
		rows = append(rows, []string{m.first.Pool, m.first.ID, m.first.Address, m.first.FailureDomain, describeStates(m.states), fmt.Sprint(m.inFlight)})
	}
	return rows
}

// describeStates formats the state that all instances report, or each state with the number of instances that report it.
func describeStates(states map[string]int) string {
	var parts []string
	for s, n := range states {
		if len(states) == 1 {
			return s
		}
		parts = append(parts, fmt.Sprintf("%s (%d)", s, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// writeProblems prints each problem once with the instances that report it.
func writeProblems(w io.Writer, all []instanceStatus) {
	by := map[string][]string{}
	for _, in := range all {
		if in.Status == nil {
			continue
		}
		for _, p := range in.Status.MissingPools {
			by["missing pool: "+p.String()] = append(by["missing pool: "+p.String()], in.Status.Instance)
		}
		for _, p := range in.Status.RowsRefused {
			by["row refused: "+p.String()] = append(by["row refused: "+p.String()], in.Status.Instance)
		}
	}
	lines := make([]string, 0, len(by))
	for text, names := range by {
		lines = append(lines, fmt.Sprintf("%s (seen by %s)", text, strings.Join(names, ", ")))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}
