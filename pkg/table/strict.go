package table

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// DecodeStrict decodes exactly one JSON document into out, which points to a
// struct. Unknown fields, repeated fields, nulls and values of the wrong type
// are rejected; the error lists all of them with their JSON paths.
func DecodeStrict(data []byte, out any) error {
	problems, err := Decode(data, out)
	if err != nil {
		return err
	}
	return problems.Err()
}

// Decode decodes exactly one JSON document into out as far as possible and
// returns every field that could not be decoded, so that the caller can still
// validate the rest. The error is set if data is not a single JSON document.
// Field names are case-sensitive and must be unique; encoding/json alone would
// ignore their case and keep the last of two equal names.
func Decode(data []byte, out any) (Problems, error) {
	var raw json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&raw); err != nil {
		return nil, syntaxFault(data, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fault.New(fault.Invalid, "$: data follows the JSON document", "keep one document only")
	}
	var p Problems
	decodeValue(&p, "$", raw, reflect.ValueOf(out).Elem())
	return p, nil
}

func syntaxFault(data []byte, err error) error {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = min(syntax.Offset, offset)
	}
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	remedy := fmt.Sprintf("correct the JSON near line %d, byte %d", line, offset)
	return fault.Wrap(fault.Invalid, err, "$: the document is not JSON", remedy)
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func decodeValue(p *Problems, path string, raw json.RawMessage, v reflect.Value) {
	switch {
	case string(raw) == "null":
		p.Add(path, "is null", "give a value or remove the field")
	case reflect.PointerTo(v.Type()).Implements(unmarshalerType):
		decodeScalar(p, path, raw, v)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		decodeValue(p, path, raw, v.Elem())
	case v.Kind() == reflect.Struct && expectKind(p, path, raw, '{', "an object"):
		decodeStruct(p, path, raw, v)
	case v.Kind() == reflect.Map && expectKind(p, path, raw, '{', "an object"):
		decodeMap(p, path, raw, v)
	case v.Kind() == reflect.Slice && expectKind(p, path, raw, '[', "an array"):
		decodeSlice(p, path, raw, v)
	case v.Kind() != reflect.Struct && v.Kind() != reflect.Map && v.Kind() != reflect.Slice:
		decodeScalar(p, path, raw, v)
	}
}

func expectKind(p *Problems, path string, raw json.RawMessage, first byte, kind string) bool {
	if raw[0] == first {
		return true
	}
	p.Add(path, "is not "+kind, "write "+kind)
	return false
}

func decodeScalar(p *Problems, path string, raw json.RawMessage, v reflect.Value) {
	err := json.Unmarshal(raw, v.Addr().Interface())
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &typeErr):
		v.SetZero()
		p.Add(path, "is a "+typeErr.Value, "write a "+kindName(v.Kind()))
	default:
		v.SetZero()
		p.Add(path, "has a wrong value", err.Error())
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean (true or false)"
	case reflect.Float32, reflect.Float64:
		return "number"
	}
	return "whole number in the range of " + k.String()
}

// forEachMember calls visit for each member of a JSON object and reports repeated names.
func forEachMember(p *Problems, path string, raw json.RawMessage, visit func(name string, value json.RawMessage)) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token() // the opening brace; raw is known to be a valid object
	seen := map[string]bool{}
	for dec.More() {
		token, _ := dec.Token()
		name, _ := token.(string)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			p.Add(memberPath(path, name), "cannot be decoded", err.Error())
			return
		}
		if seen[name] {
			p.Add(memberPath(path, name), "is given more than once", "keep one of the fields")
			continue
		}
		seen[name] = true
		visit(name, value)
	}
}

func memberPath(path, name string) string {
	plain := name != "" && strings.IndexFunc(name, func(r rune) bool {
		return r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}) < 0
	if plain {
		return path + "." + name
	}
	return fmt.Sprintf("%s[%q]", path, name)
}

func decodeStruct(p *Problems, path string, raw json.RawMessage, v reflect.Value) {
	fields := map[string]reflect.Value{}
	jsonFields(v, fields)
	forEachMember(p, path, raw, func(name string, value json.RawMessage) {
		field, known := fields[name]
		if !known {
			p.Add(memberPath(path, name), "is an unknown field", unknownRemedy(name, slices.Collect(maps.Keys(fields))))
			return
		}
		decodeValue(p, memberPath(path, name), value, field)
	})
}

// jsonFields collects the fields of a struct, including those of embedded structs,
// by their JSON names.
func jsonFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			jsonFields(v.Field(i), fields)
		case name != "" && name != "-":
			fields[name] = v.Field(i)
		}
	}
}

func unknownRemedy(name string, names []string) string {
	fold := func(s string) string { return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(s)) }
	if i := slices.IndexFunc(names, func(n string) bool { return fold(n) == fold(name) }); i >= 0 {
		return fmt.Sprintf("write it as %q", names[i])
	}
	slices.Sort(names)
	return "remove it, or use one of " + strings.Join(names, ", ")
}

func decodeMap(p *Problems, path string, raw json.RawMessage, v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	forEachMember(p, path, raw, func(name string, value json.RawMessage) {
		item := reflect.New(v.Type().Elem()).Elem()
		decodeValue(p, memberPath(path, name), value, item)
		v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), item)
	})
}

func decodeSlice(p *Problems, path string, raw json.RawMessage, v reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		p.Add(path, "cannot be decoded", err.Error())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		decodeValue(p, fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}
