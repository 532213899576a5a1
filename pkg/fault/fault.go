// Package fault defines the error kinds of turmericsail. Callers branch on the
// kind, never on the text, and every error has a remedy for its reader. Errors are
// wrapped by gravitational/trace, so that debug output contains the source location
// where they were created.
package fault

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Kind classifies an error by what its receiver can do about it.
type Kind string

const (
	// Invalid means that the input is wrong and must be changed.
	Invalid Kind = "invalid"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not-found"
	// Conflict means that another writer changed the object first.
	Conflict Kind = "conflict"
	// Unavailable means that the operation did not take effect and may be repeated later.
	Unavailable Kind = "unavailable"
	// OutcomeUnknown means that the operation may or may not have taken effect.
	OutcomeUnknown Kind = "outcome-unknown"
	// Refused means that a rule forbids the operation.
	Refused Kind = "refused"
	// Exhausted means that a limit or budget is used up.
	Exhausted Kind = "exhausted"
	// Internal means a defect in turmericsail or an error without a kind.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy, which tells the reader what to do next.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Cause   error
}

// New returns an error of the given kind.
func New(kind Kind, message, remedy string) error {
	return trace.Wrap(&Error{Kind: kind, Message: message, Remedy: remedy})
}

// Newf returns an error of the given kind with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Wrap returns an error of the given kind that keeps cause for errors.Is and errors.As.
func Wrap(kind Kind, cause error, message, remedy string) error {
	return trace.Wrap(&Error{Kind: kind, Message: message, Remedy: remedy, Cause: cause})
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		text += " (remedy: " + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first Error in err's chain, or Internal when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// As returns the first Error in err's chain and reports whether there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
