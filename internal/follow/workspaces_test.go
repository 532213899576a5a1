package follow

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/pkg/workspace"
)

// workspaceCodec decodes a configuration with a workspace for each name in the value. Each has a key equal to its name;
// with sharedKey, all have the key "k", too.
type workspaceCodec struct{ sharedKey bool }

func (c workspaceCodec) Decode(e store.Entry) (DecodedEntry, error) {
	config := &Config{Version: e.Revision}
	for name := range strings.FieldsSeq(string(e.Value)) {
		keys := []table.KeyHash{workspace.Hash(name)}
		if c.sharedKey {
			keys = append(keys, workspace.Hash("k"))
		}
		config.Workspaces = append(config.Workspaces, table.Workspace{Name: name, Keys: keys})
	}
	return DecodedEntry{Config: config}, nil
}

// Guards against ambiguous workspaces that replace a valid configuration, and against workspaces that get lost on the
// way to the tables in force.
func TestAmbiguousWorkspacesKeepTheLastConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		value     string
		sharedKey bool
	}{"a name twice": {"a a", false}, "a key of two workspaces": {"b c", true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFollowedState(workspaceCodec{test.sharedKey})
			is.NoErr(s.put(store.Entry{Key: "config", Value: []byte("one"), Revision: 1}))
			err := s.put(store.Entry{Key: "config", Value: []byte(test.value), Revision: 2})
			is.True(err != nil)
			tables, _ := s.tables()
			is.Equal(tables.Revision, uint64(1))
			w, ok := tables.WorkspaceOf(workspace.Hash("one"))
			is.True(ok)
			is.Equal(w.Name, "one")
			is.NoErr(s.put(store.Entry{Key: "config", Value: []byte("two"), Revision: 3}))
			tables, _ = s.tables()
			_, ok = tables.WorkspaceOf(workspace.Hash("one"))
			is.True(!ok)
		})
	}
}
