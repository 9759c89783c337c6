package registry

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Version is a position in the platform's history. The platform's counter goes back when
// the platform returns from a copy, so that a number alone names no position.
type Version struct {
	// Era is the number of the platform's returns from a copy, and zero if the platform
	// states none.
	Era uint64
	// Number is the platform's counter. It is comparable only within an era.
	Number uint64
}

// IsZero reports whether v is before the beginning of the history.
func (v Version) IsZero() bool {
	return v == Version{}
}

// Compare returns -1 if v is before o, 1 if it is after o, and 0 if they are equal.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Number, o.Number))
}

// Before reports whether v is before o.
func (v Version) Before(o Version) bool {
	return v.Compare(o) < 0
}

// After reports whether v is after o.
func (v Version) After(o Version) bool {
	return v.Compare(o) > 0
}

// String returns the era and the number, such as "2.68".
func (v Version) String() string {
	return strconv.FormatUint(v.Era, 10) + "." + strconv.FormatUint(v.Number, 10)
}

// MarshalText implements encoding.TextMarshaler.
func (v Version) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Version) UnmarshalText(b []byte) error {
	era, number, ok := strings.Cut(string(b), ".")
	if !ok {
		return fmt.Errorf("registry: version %q has no era", b)
	}
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return fmt.Errorf("registry: version %q: %w", b, err)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return fmt.Errorf("registry: version %q: %w", b, err)
	}
	v.Era = e
	v.Number = n
	return nil
}

// later returns the later of two versions.
func (v Version) later(o Version) Version {
	if v.Before(o) {
		return o
	}
	return v
}

// position is the version of a record. A record that was read in a whole part may have
// been written in an earlier era: the copy that the platform returned from holds it under
// its old number.
type position struct {
	Version
	listed bool
}

// newerThan reports whether the record of an endpoint at p was written after one at o. A
// listed record is compared with one of an earlier era by their numbers.
func (p position) newerThan(o position) bool {
	if (p.listed && o.Era < p.Era) || (o.listed && p.Era < o.Era) {
		return p.Number > o.Number
	}
	return p.After(o.Version)
}
