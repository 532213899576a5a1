package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

const (
	// maxLogLine bounds one line of a log; a longer one is not ours.
	maxLogLine = 1 << 20
	// beliefWindow is how long before a request a change of what the instance believed still explains it.
	beliefWindow = 10 * time.Second
	// maxBeliefs bounds the kept lines about beliefs, so that files larger than memory can be read.
	maxBeliefs = 20000
)

// beliefs are the lines that tell what an instance came to believe.
var beliefs = []string{
	"start", "stop", "leaving", "store lost", "store regained", "history lost", "changes missed", "reader lost", "origin changed",
	"reader place taken", "reader place lost", "listed", "changed", "configuration in force", "settings reloaded", "log lines left out",
}

// logLine is one line of a log.
type logLine struct {
	Time   time.Time      `json:"time"`
	Source string         `json:"source"`
	Event  string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

func newExplain() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID LOG...",
		Short: "Tell a request's story from the logs of one or many instances",
		Long: `Tell a request's story from the logs of one or many instances, in the order of time: every
line about the request, and what the instances that had it came to believe in the 10 s before it ended.
A LOG is a file of JSON lines, or - for standard input; text before the first brace of a line is ignored.`,
		Example: "  turmericsail explain 9c41d07be2a35f68 e1.log e2.log\n  turmericsail explain -o json 9c41d07be2a35f68 - < all.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != "text" && output != "json" {
				return fault.Newf(fault.Invalid, "use text or json", "%q is no output format", output)
			}
			story := &story{id: args[0]}
			for _, path := range args[1:] {
				if err := story.readFile(path, cmd.InOrStdin()); err != nil {
					return err
				}
			}
			return story.print(cmd.OutOrStdout(), output)
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", "text", "output format: text or json")
	return cmd
}

// story collects the lines about one request.
type story struct {
	id      string
	request []logLine
	beliefs []logLine // the latest ones, of all sources
}

func (s *story) readFile(path string, stdin io.Reader) error {
	if path == "-" {
		return s.read("stdin", stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return fault.Wrap(fault.NotFound, err, "the log cannot be read", "name a readable file, or - for standard input")
	}
	defer f.Close()
	return s.read(path, f)
}

func (s *story) read(source string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), maxLogLine)
	for lines.Scan() {
		text := lines.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		// A word before the brace names the instance where the logs of several are in one file.
		from := source
		if words := strings.Fields(text[:brace]); len(words) > 0 {
			from = words[len(words)-1]
		}
		if l, ok := parseLine(from, text[brace:]); ok {
			s.add(l)
		}
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(fault.Invalid, err, "the log cannot be read to its end", "name a file of JSON lines")
	}
	return nil
}

func parseLine(source, text string) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return logLine{}, false
	}
	event, _ := fields["msg"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || event == "" {
		return logLine{}, false
	}
	delete(fields, "msg")
	delete(fields, "time")
	delete(fields, "level")
	return logLine{Time: at, Source: source, Event: event, Fields: fields}, true
}

func (s *story) add(l logLine) {
	if id, _ := l.Fields["request"].(string); id == s.id {
		s.request = append(s.request, l)
		return
	}
	if slices.Contains(beliefs, l.Event) {
		if len(s.beliefs) == maxBeliefs {
			s.beliefs = s.beliefs[maxBeliefs/2:]
		}
		s.beliefs = append(s.beliefs, l)
	}
}

// lines returns the story in the order of time.
func (s *story) lines() []logLine {
	if len(s.request) == 0 {
		return nil
	}
	all := slices.Clone(s.request)
	byTime := func(i, j int) bool { return all[i].Time.Before(all[j].Time) }
	sort.SliceStable(all, byTime)
	first, last := all[0].Time, all[len(all)-1].Time
	sources, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range s.request {
		sources[l.Source] = true
		if u, _ := l.Fields["upstream"].(string); u != "" {
			upstreams[u] = true
		}
	}
	for _, l := range s.beliefs {
		if sources[l.Source] && l.Time.After(first.Add(-beliefWindow)) && l.Time.Before(last) && relevant(l, upstreams) {
			all = append(all, l)
		}
	}
	sort.SliceStable(all, byTime)
	return all
}

// relevant leaves out changes of upstreams that the request did not meet.
func relevant(l logLine, upstreams map[string]bool) bool {
	key, _ := l.Fields["key"].(string)
	_, id, server := strings.Cut(key, "servers/")
	return !server || upstreams[id]
}

func (s *story) print(w io.Writer, output string) error {
	lines := s.lines()
	if len(lines) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all instances, and look for the line \"log lines left out\"", "no line names request %q", s.id)
	}
	if output == "json" {
		e := json.NewEncoder(w)
		for _, l := range lines {
			if err := e.Encode(l); err != nil {
				return err
			}
		}
		return nil
	}
	for _, l := range lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			if name != "request" && name != "logger" {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		var text strings.Builder
		for _, name := range names {
			if v := fmt.Sprint(l.Fields[name]); v != "" {
				fmt.Fprintf(&text, " %s=%s", name, v)
			}
		}
		if _, err := fmt.Fprintf(w, "%s %s %s:%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Event, text.String()); err != nil {
			return err
		}
	}
	return nil
}
