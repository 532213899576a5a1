// Package schema generates JSON Schemas of the settings and of the rows of both
// tables from their Go types, so that the schemas match what the decoder accepts.
// The descriptions are the doc comments of the fields. go generate copies them
// into comments.json, because they are not available in the compiled binary.
package schema

import (
	_ "embed"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/invopop/jsonschema"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

//go:generate go run ../tools/schemadoc ../.. internal/schema/comments.json

//go:embed comments.json
var commentsJSON []byte

var documents = map[string]any{
	"settings": settings.Settings{},
	"route":    table.Route{},
	"pool":     table.Pool{},
}

// Names returns the names of the schemas.
func Names() []string { return slices.Sorted(maps.Keys(documents)) }

// For returns the JSON Schema with the given name, indented.
func For(name string) ([]byte, error) {
	document, ok := documents[name]
	if !ok {
		return nil, fault.Newf(fault.NotFound, "use one of "+strings.Join(Names(), ", "), "no schema is named %q", name)
	}
	var comments map[string]string
	if err := json.Unmarshal(commentsJSON, &comments); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "the embedded comments cannot be decoded", "run go generate ./internal/schema")
	}
	r := jsonschema.Reflector{CommentMap: comments, Mapper: mapCustomTypes, ExpandedStruct: true, Anonymous: true}
	s := r.Reflect(document)
	s.Title = "turmericsail " + name
	out, err := json.MarshalIndent(s, "", "  ")
	return append(out, '\n'), err
}

// mapCustomTypes returns the schemas of types whose JSON encoding differs from their Go kind, and of enumerations.
func mapCustomTypes(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[table.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9.]+(ns|us|µs|ms|s|m|h))+$|^0$`, Examples: []any{"250ms", "2s"}}
	case reflect.TypeFor[table.Size]():
		return &jsonschema.Schema{Type: "string", Pattern: `^[0-9]+ *(GiB|MiB|KiB|GB|MB|KB|B)$`, Examples: []any{"64KiB", "1GiB"}}
	case reflect.TypeFor[table.Class]():
		return &jsonschema.Schema{Type: "string", Enum: []any{table.ClassCritical, table.ClassNormal, table.ClassBulk}}
	case reflect.TypeFor[table.Idempotency]():
		return &jsonschema.Schema{Type: "string", Enum: []any{table.IdempotentByMethod, table.IdempotentAlways, table.IdempotentNever}}
	}
	return nil
}
