package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"heatherford/core/code"
)

// Decode parses data into v, which must be a pointer to a struct.
//
// Fields whose tag has "omitempty" may be missing; all others are required.
// Decode returns every problem that it finds: those of an object's declared
// fields in the order of the fields in v, then its unknown fields by name. If
// there is a problem, the content of v is undefined. Decode is safe for
// concurrent use.
func Decode(data []byte, v any) []error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var raw any
	if err := d.Decode(&raw); err != nil {
		return []error{code.New(code.SettingsSyntax, "strict: not JSON: %v", err)}
	}
	if _, err := d.Token(); err != io.EOF {
		return []error{code.New(code.SettingsSyntax, "strict: more than one JSON value")}
	}
	c := &checker{}
	c.check("", raw, reflect.TypeOf(v).Elem())
	if len(c.problems) > 0 {
		return c.problems
	}
	if err := json.Unmarshal(data, v); err != nil {
		return []error{code.New(code.SettingsType, "strict: %v", err)}
	}
	return nil
}

// checker compares a decoded document with a type and collects the problems.
type checker struct {
	problems []error
}

func (c *checker) add(n code.Code, path, format string, args ...any) {
	if path == "" {
		path = "(document)"
	}
	c.problems = append(c.problems, code.At(n, path, format, args...))
}

func (c *checker) check(path string, raw any, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) || reflect.PointerTo(t).Implements(textUnmarshalerType) {
		c.checkUnmarshaler(path, raw, t)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(path, raw, t)
	case reflect.Slice:
		c.checkSlice(path, raw, t)
	case reflect.Map:
		c.checkMap(path, raw, t)
	default:
		c.checkScalar(path, raw, t)
	}
}

var (
	unmarshalerType     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// checkUnmarshaler checks a value whose type decodes itself.
func (c *checker) checkUnmarshaler(path string, raw any, t reflect.Type) {
	if t == reflect.TypeFor[json.RawMessage]() {
		return
	}
	b, err := json.Marshal(raw)
	if err != nil {
		c.add(code.SettingsType, path, "%v", err)
		return
	}
	if err := json.Unmarshal(b, reflect.New(t).Interface()); err != nil {
		c.add(code.SettingsType, path, "expected %s, found %s", describeType(t), b)
	}
}

func (c *checker) checkStruct(path string, raw any, t reflect.Type) {
	m, ok := raw.(map[string]any)
	if !ok {
		c.add(code.SettingsType, path, "expected an object, found %s", formatFound(raw))
		return
	}
	known := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		known[name] = true
		value, ok := m[name]
		if !ok {
			if !strings.Contains(options, "omitempty") {
				c.add(code.SettingsMissing, join(path, name), "missing, expected %s", describeType(f.Type))
			}
			continue
		}
		c.check(join(path, name), value, f.Type)
	}
	for _, k := range sortedKeys(m) {
		if !known[k] {
			c.add(code.SettingsUnknown, join(path, k), "unknown field")
		}
	}
}

func (c *checker) checkSlice(path string, raw any, t reflect.Type) {
	s, ok := raw.([]any)
	if !ok {
		c.add(code.SettingsType, path, "expected %s, found %s", describeType(t), formatFound(raw))
		return
	}
	for i, v := range s {
		c.check(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
	}
}

func (c *checker) checkMap(path string, raw any, t reflect.Type) {
	m, ok := raw.(map[string]any)
	if !ok {
		c.add(code.SettingsType, path, "expected an object, found %s", formatFound(raw))
		return
	}
	for _, k := range sortedKeys(m) {
		c.check(join(path, k), m[k], t.Elem())
	}
}

func (c *checker) checkScalar(path string, raw any, t reflect.Type) {
	b, err := json.Marshal(raw)
	if err != nil || raw == nil || json.Unmarshal(b, reflect.New(t).Interface()) != nil {
		c.add(code.SettingsType, path, "expected %s, found %s", describeType(t), formatFound(raw))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedKeys(m map[string]any) []string {
	s := make([]string, 0, len(m))
	for k := range m {
		s = append(s, k)
	}
	sort.Strings(s)
	return s
}

// formatFound returns the value as JSON for a message, shortened if it is long.
func formatFound(raw any) string {
	b, err := json.Marshal(raw)
	if err != nil {
		return "an unreadable value"
	}
	const limit = 60
	if len(b) > limit {
		return string(b[:limit]) + "..."
	}
	return string(b)
}

// describeType returns what a message says is expected of a value of type t.
func describeType(t reflect.Type) string {
	switch t.String() {
	case "strict.Duration":
		return `a duration such as "250ms"`
	case "netip.AddrPort":
		return `an address and port such as "127.0.0.1:7000"`
	case "netip.Addr":
		return `an address such as "10.0.0.1"`
	case "netip.Prefix":
		return `a prefix such as "10.0.0.0/24"`
	case "time.Time":
		return `a time such as "2026-12-04T18:00:00Z"`
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
