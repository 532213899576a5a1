package schema

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/invopop/jsonschema"
	"github.com/matryer/is"
)

type schemaNode struct {
	Description string                `json:"description"`
	Ref         string                `json:"$ref"`
	Properties  map[string]schemaNode `json:"properties"`
	Required    []string              `json:"required"`
	Defs        map[string]schemaNode `json:"$defs"`
	Extra       any                   `json:"additionalProperties"`
}

// Guards against fields without a description, for example because go generate
// ./internal/schema was not run after a change, and against schemas that allow
// unknown fields.
func TestEveryFieldIsDescribed(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := For(name)
			is.NoErr(err)
			var root schemaNode
			is.NoErr(json.Unmarshal(data, &root))
			is.True(len(root.Properties) > 0)
			root.Defs[name] = root
			for def, n := range root.Defs {
				is.Equal(n.Extra, false) // additionalProperties is false
				for field, p := range n.Properties {
					if p.Description == "" {
						t.Errorf("%s.%s has no description", def, field)
					}
				}
			}
		})
	}
	_, err := For("nothing")
	is.New(t).True(err != nil)
}

// Guards against a comments.json that differs from the doc comments.
func TestCommentsAreCurrent(t *testing.T) {
	is := is.New(t)
	t.Chdir("../..")
	var r jsonschema.Reflector
	for _, dir := range []string{"internal/settings", "pkg/table"} {
		is.NoErr(r.AddGoComments("github.com/turmericsail/turmericsail", dir, jsonschema.WithFullComment()))
	}
	for k, v := range r.CommentMap {
		r.CommentMap[k] = strings.Join(strings.Fields(v), " ")
	}
	var committed map[string]string
	is.NoErr(json.Unmarshal(commentsJSON, &committed))
	if !reflect.DeepEqual(committed, r.CommentMap) {
		t.Error("comments.json is out of date; run go generate ./internal/schema")
	}
}
