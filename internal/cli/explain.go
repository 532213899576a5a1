package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

const (
	// maxLogLine is the largest accepted length of a log line, in bytes; turmericsail writes no longer ones.
	maxLogLine = 1 << 20
	// stateWindow is how long before a request an event of the instance is still shown as a possible cause.
	stateWindow = 10 * time.Second
	// maxStateLines bounds the state events kept in memory, so that files larger than memory can be read.
	maxStateLines = 20000
)

// stateEvents are the log events that record a change of an instance's state or of its knowledge of others.
var stateEvents = []string{
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
		Short: "Show the timeline of a request from the logs of one or many instances",
		Long: `Show the timeline of a request from the logs of one or many instances, in the order of time: every
line about the request, and state changes of the instances that handled it, from 10 s before its first line. For a
request that was refused for its API key, also the configuration that was in force.
A LOG is a file of JSON lines, or - for standard input; text before the first brace of a line is ignored.`,
		Example: "  turmericsail explain 9c41d07be2a35f68 e1.log e2.log\n  turmericsail explain -o json 9c41d07be2a35f68 - < all.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != "text" && output != "json" {
				return fault.Newf(fault.Invalid, "use text or json", "%q is no output format", output)
			}
			trace := &requestTrace{id: args[0]}
			for _, path := range args[1:] {
				if err := trace.readFile(path, cmd.InOrStdin()); err != nil {
					return err
				}
			}
			return trace.print(cmd.OutOrStdout(), output)
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", "text", "output format: text or json")
	return cmd
}

// requestTrace collects the log lines about one request and the state events that may explain it.
type requestTrace struct {
	id           string
	requestLines []logLine
	stateLines   []logLine // the latest state events of all sources
}

func (s *requestTrace) readFile(path string, stdin io.Reader) error {
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

func (s *requestTrace) read(source string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), maxLogLine)
	for lines.Scan() {
		text := lines.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		// In a merged log, the last word before the brace names the instance.
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

func (s *requestTrace) add(l logLine) {
	if id, _ := l.Fields["request"].(string); id == s.id {
		s.requestLines = append(s.requestLines, l)
		return
	}
	if slices.Contains(stateEvents, l.Event) {
		if len(s.stateLines) == maxStateLines {
			s.stateLines = s.stateLines[maxStateLines/2:]
		}
		s.stateLines = append(s.stateLines, l)
	}
}

// lines returns the lines of the request and the state events of its instances, sorted by time.
func (s *requestTrace) lines() []logLine {
	if len(s.requestLines) == 0 {
		return nil
	}
	all := slices.Clone(s.requestLines)
	byTime := func(i, j int) bool { return all[i].Time.Before(all[j].Time) }
	sort.SliceStable(all, byTime)
	first, last := all[0].Time, all[len(all)-1].Time
	sources, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range s.requestLines {
		sources[l.Source] = true
		if u, _ := l.Fields["upstream"].(string); u != "" {
			upstreams[u] = true
		}
	}
	configured := s.lastConfigurations(first)
	for _, l := range s.stateLines {
		if sources[l.Source] && l.Time.After(first.Add(-stateWindow)) && l.Time.Before(last) && concernsRequest(l, upstreams) {
			all = append(all, l)
		}
	}
	for _, l := range s.requestLines {
		refusal, _ := l.Fields["refusal"].(string)
		if before, known := configured[l.Source]; known && refusal == unknownKey {
			all = append(all, before)
			delete(configured, l.Source)
		}
	}
	sort.SliceStable(all, byTime)
	return all
}

// unknownKey is the refusal that depends on the configuration in force, however long it has been.
const unknownKey = "unknown-key"

// lastConfigurations returns by source the line about the configuration that came into force last, if that was
// earlier than stateWindow before the first line of the request.
func (s *requestTrace) lastConfigurations(first time.Time) map[string]logLine {
	last := map[string]logLine{}
	for _, l := range s.stateLines {
		if l.Event == "configuration in force" && !l.Time.After(first) && !l.Time.Before(last[l.Source].Time) {
			last[l.Source] = l
		}
	}
	maps.DeleteFunc(last, func(_ string, l logLine) bool { return l.Time.After(first.Add(-stateWindow)) })
	return last
}

// concernsRequest excludes changes of upstreams to which the request was not sent.
func concernsRequest(l logLine, upstreams map[string]bool) bool {
	key, _ := l.Fields["key"].(string)
	_, id, server := strings.Cut(key, "servers/")
	return !server || upstreams[id]
}

func (s *requestTrace) print(w io.Writer, output string) error {
	lines := s.lines()
	if len(lines) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all instances, and look for the line \"log lines left out\"", "no log line names request %q", s.id)
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
