package table

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string with a unit, such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf(`a duration is a string with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf(`%q is no duration; write a number with a unit, such as "250ms" or "2s"`, s)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Size is a number of bytes that is encoded in JSON as a string with a unit, such as "64KiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	factor int64
}{
	{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1},
}

// MarshalJSON implements json.Marshaler.
func (s Size) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// String returns the size in the largest binary unit that divides it without remainder.
func (s Size) String() string {
	for _, u := range sizeUnits[:3] {
		if s != 0 && int64(s)%u.factor == 0 {
			return strconv.FormatInt(int64(s)/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Size) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf(`a size is a string with a unit, such as "64KiB"`)
	}
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			break
		}
		*s = Size(n * u.factor)
		return nil
	}
	return fmt.Errorf(`%q is no size; write a whole number with a unit, such as "64KiB" or "1GiB"`, text)
}
