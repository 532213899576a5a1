package table

import (
	"errors"
	"fmt"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Problem is one error in a document, with its JSON path and a remedy.
type Problem struct {
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s; %s", p.Path, p.Message, p.Remedy) }

// Problems is the list of errors found in a document.
type Problems []Problem

// Add appends a problem.
func (p *Problems) Add(path, message, remedy string) {
	*p = append(*p, Problem{path, message, remedy})
}

// Merge returns p followed by the problems in more. It drops a problem in more if p
// already reports its path or an enclosing one, because validating the zero value of
// a field that failed to decode would report the field twice.
func (p Problems) Merge(more Problems) Problems {
	merged := append(Problems(nil), p...)
	for _, m := range more {
		if !p.covers(m.Path) {
			merged = append(merged, m)
		}
	}
	return merged
}

func (p Problems) covers(path string) bool {
	for _, known := range p {
		rest, found := strings.CutPrefix(path, known.Path)
		if found && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = "\n  " + x.String()
	}
	return strings.Join(lines, "")
}

// Err returns nil if there are no problems, or one Invalid fault that lists them all.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return fault.Wrap(fault.Invalid, p, fmt.Sprintf("the document has %d faults", len(p)), "change the named fields")
}

// ProblemsOf returns the problems listed in err. Any other error is returned as one
// problem of the whole document.
func ProblemsOf(err error) Problems {
	if err == nil {
		return nil
	}
	var p Problems
	if errors.As(err, &p) {
		return p
	}
	if e, ok := fault.As(err); ok {
		bare := *e
		bare.Remedy = ""
		return Problems{{Path: "$", Message: strings.TrimPrefix(bare.Error(), "$: "), Remedy: e.Remedy}}
	}
	return Problems{{Path: "$", Message: err.Error(), Remedy: "correct the document"}}
}
