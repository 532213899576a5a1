package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

func newWhere() *cobra.Command {
	var out outputFlag
	var q admin.WhereQuestion
	var address, keyFile string
	var headers []string
	cmd := &cobra.Command{
		Use: "where PATH", Short: "Show what a request would meet at an instance now, without sending it", Args: cobra.ExactArgs(1),
		Long: `Ask an instance what a request would meet at it now: route, tenant, home regions, pools, every upstream
with its load and what speaks for or against it, the longest wait, retries left and the delay of a second copy.
Nothing is sent to an upstream and no budget is used. The instance needs platform in its settings. It answers for
itself only: ask an instance in the caller's failure domain.
A key is read from a file, so that it does not appear in the list of processes; it is not logged or printed.`,
		Example: "  turmericsail where /orders/7 --admin 10.0.0.1:9901 --host shop.example.org\n" +
			"  turmericsail where /orders/7 --key-file - -o json < key",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			q.Path, q.Headers = args[0], map[string]string{}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return fault.New(fault.Invalid, "a header has no colon", `write it as "Name: value"`)
				}
				q.Headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
			}
			if keyFile != "" {
				key, err := readInput(keyFile, cmd.InOrStdin())
				if err != nil {
					return err
				}
				q.Key = strings.TrimSpace(string(key))
			}
			a, err := admin.FetchWhere(cmd.Context(), address, q)
			if err != nil {
				return err
			}
			return out.print(cmd.OutOrStdout(), a, func(w io.Writer) { writeWhere(w, a) })
		},
	}
	cmd.Flags().StringVar(&address, "admin", "127.0.0.1:9901", "admin address of the instance")
	cmd.Flags().StringVar(&q.Method, "method", "GET", "method of the request")
	cmd.Flags().StringVar(&q.Host, "host", "", "host of the request")
	cmd.Flags().StringArrayVar(&headers, "header", nil, `header of the request as "Name: value"; repeatable`)
	cmd.Flags().StringVar(&keyFile, "key-file", "", "file with the caller's API key, or - for standard input")
	cmd.Flags().StringVar(&q.FailureDomain, "failure-domain", "", "failure domain of the caller")
	out.add(cmd)
	return cmd
}

func writeWhere(w io.Writer, a admin.WhereAnswer) {
	rows := [][]string{{"instance", fmt.Sprintf("%s (%s, %s)", a.Instance, a.Region, a.FailureDomain)}}
	if a.SameDomain != nil && !*a.SameDomain {
		rows = append(rows, []string{"caller", "in another failure domain; an instance there may answer otherwise"})
	}
	if a.Refusal != "" {
		rows = append(rows, []string{"refused", a.Refusal + ": " + a.Message})
	}
	if a.Route != "" {
		home := "all"
		if len(a.HomeRegions) > 0 {
			home = strings.Join(a.HomeRegions, ", ")
		}
		rows = append(rows, []string{"route", a.Route}, []string{"tenant", a.Workspace}, []string{"class", a.Class}, []string{"home regions", home},
			[]string{"target", a.Target.Std().String()}, []string{"deadline", a.Deadline.Std().String()}, []string{"may run twice", yesNo(a.Repeatable)})
	}
	if a.Relayed {
		rows = append(rows, []string{"relayed", "to an instance inside the home regions"})
	}
	if a.Suspect {
		rows = append(rows, []string{"suspect", "upstreams were lost under such requests"})
	}
	writeColumns(w, rows)
	for _, p := range a.Pools {
		writeWherePool(w, p)
	}
}

func writeWherePool(w io.Writer, p admin.WherePool) {
	second := "none"
	if p.Hedge != nil {
		second = "after " + p.Hedge.After.Std().Round(time.Millisecond).String()
		if p.Hedge.Percent != nil && p.Hedge.Left != nil {
			second += fmt.Sprintf(", limit %g%%, %.2f left", *p.Hedge.Percent, *p.Hedge.Left)
		}
	}
	fmt.Fprintln(w)
	writeColumns(w, [][]string{
		{"pool", fmt.Sprintf("%s (%.0f%% of the route's requests)", p.Name, 100*p.Share)},
		{"crowded", fmt.Sprintf("%s (%.0f%% of recent requests found no room)", yesNo(p.Crowded), 100*p.Pressure)},
		{"longest wait", p.MaxWait.Std().Round(time.Millisecond).String()}, {"retries left", fmt.Sprintf("%.2f", p.RetriesLeft)}, {"second copy", second},
	})
	fmt.Fprintln(w)
	rows := [][]string{{"UPSTREAM", "FAILURE DOMAIN", "LOAD", "SLOWDOWN", "AGE", "COST", "USABLE", "REASON"}}
	for _, u := range p.Upstreams {
		load, slowdown, age, cost := "", "", "", ""
		if r := u.Reading; r != nil {
			load, slowdown = fmt.Sprintf("%d+%d/%d", r.Running, r.Waiting, r.Slots), fmt.Sprintf("%.1f", r.Slowdown)
			age, cost = rounded(r.Age), rounded(r.Cost)
		}
		rows = append(rows, []string{u.ID, u.FailureDomain, load, slowdown, age, cost, yesNo(u.Usable), u.Reason})
	}
	writeColumns(w, rows)
}

func rounded(d table.Duration) string { return d.Std().Round(time.Millisecond).String() }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
