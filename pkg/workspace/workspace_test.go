package workspace

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

func tables(t *testing.T, keys map[string][]string) *table.Tables {
	t.Helper()
	var all []table.Workspace
	for name, list := range keys {
		hashes, err := HashKeys(list)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, table.Workspace{Name: name, Keys: hashes})
	}
	return table.NewTables(1, nil, nil).WithWorkspaces(all)
}

// Guards against a form of the header that is read in another way than stated: a wrong one that is admitted, or a
// right one that is refused.
func TestAuthorizationForms(t *testing.T) {
	known := tables(t, map[string][]string{"acme": {"key-1", "key-2", "a=b~c/d+e,f;g"}, "other": {"Key-1"}})
	for _, test := range []struct {
		form      string
		values    []string
		reason    Reason
		workspace string
	}{
		{"key", []string{"Bearer key-1"}, None, "acme"},
		{"second key", []string{"Bearer key-2"}, None, "acme"},
		{"key that differs by case", []string{"Bearer Key-1"}, None, "other"},
		{"special characters", []string{"Bearer a=b~c/d+e,f;g"}, None, "acme"},
		{"scheme in small letters", []string{"bearer key-1"}, None, "acme"},
		{"scheme in capitals", []string{"BEARER key-1"}, None, "acme"},
		{"two spaces", []string{"Bearer  key-1"}, None, "acme"},
		{"no header", nil, Missing, ""},
		{"empty header", []string{""}, Malformed, ""},
		{"scheme only", []string{"Bearer"}, Malformed, ""},
		{"empty key", []string{"Bearer "}, Malformed, ""},
		{"key only", []string{"key-1"}, Malformed, ""},
		{"other scheme", []string{"Basic key-1"}, Malformed, ""},
		{"scheme with a suffix", []string{"BearerX key-1"}, Malformed, ""},
		{"tab", []string{"Bearer\tkey-1"}, Malformed, ""},
		{"tab after the space", []string{"Bearer \tkey-1"}, Malformed, ""},
		{"key with a space", []string{"Bearer key-1 key-2"}, Malformed, ""},
		{"space at the end", []string{"Bearer key-1 "}, Malformed, ""},
		{"two credentials in one header", []string{"Bearer key-1, Bearer key-2"}, Malformed, ""},
		{"several headers", []string{"Bearer key-1", "Bearer key-1"}, Malformed, ""},
		{"an empty header beside a key", []string{"Bearer key-1", ""}, Malformed, ""},
		{"no ASCII", []string{"Bearer kéy-1"}, Malformed, ""},
		{"NUL", []string{"Bearer key-1\x00"}, Malformed, ""},
		{"unknown key", []string{"Bearer key-3"}, Unknown, ""},
		{"start of a key", []string{"Bearer key-"}, Unknown, ""},
		{"key with a suffix", []string{"Bearer key-11"}, Unknown, ""},
	} {
		t.Run(test.form, func(t *testing.T) {
			is := is.New(t)
			w, _, reason := Authenticate(known, false, test.values)
			is.Equal(reason, test.reason)
			is.Equal(w != nil, test.workspace != "")
			if w != nil {
				is.Equal(w.Name, test.workspace)
			}
			public, _, reason := Authenticate(known, true, test.values)
			if test.reason == Missing {
				is.Equal(reason, None) // a public route needs no key
			} else {
				is.Equal(reason, test.reason) // but a wrong one is refused
			}
			is.Equal(public, w)
		})
	}
}

// Guards against a key that stays valid for a waiting request after its removal, or that moves to another workspace.
func TestAdmissionEndsWithTheKey(t *testing.T) {
	is := is.New(t)
	old := tables(t, map[string][]string{"acme": {"k1", "k2"}})
	w, key, reason := Authenticate(old, false, []string{"Bearer k1"})
	is.Equal(reason, None)
	is.True(Admits(old, w, key))
	is.True(Admits(tables(t, map[string][]string{"acme": {"k1"}}), w, key))
	is.True(!Admits(tables(t, map[string][]string{"acme": {"k2"}}), w, key))
	is.True(!Admits(tables(t, map[string][]string{"acme": {"k2"}, "next": {"k1"}}), w, key))
	is.True(Admits(table.NewTables(2, nil, nil), w, key)) // no workspaces: no keys are needed
	nobody, none, _ := Authenticate(old, true, nil)
	is.True(Admits(old, nobody, none))
	is.True(Admits(old, w, table.KeyHash{})) // authenticated by another instance
	is.True(!Admits(tables(t, map[string][]string{"next": {"k1"}}), w, table.KeyHash{}))
}

// Guards against an empty intersection that permits every region, and against records outside of the intersection.
func TestHomes(t *testing.T) {
	for _, test := range []struct {
		name             string
		route, workspace []string
		record           string
		want             []string
		wantRecord       string
		ok               bool
	}{
		{"neither", nil, nil, "north", nil, "north", true},
		{"route", []string{"north"}, nil, "north", []string{"north"}, "north", true},
		{"workspace", nil, []string{"south"}, "north", []string{"south"}, "", true},
		{"both, equal", []string{"north"}, []string{"north"}, "", []string{"north"}, "", true},
		{"both, common", []string{"north", "east"}, []string{"south", "east"}, "north", []string{"east"}, "", true},
		{"both, none common", []string{"north"}, []string{"south"}, "", nil, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := table.Route{Name: "r", Class: table.ClassBulk, HomeRegions: test.route, RecordRegion: test.record}
			w := &table.Workspace{Name: "w", Class: table.ClassCritical, HomeRegions: test.workspace}
			is.Equal(Apply(w, &r), test.ok)
			problems := table.NewTables(1, []table.Route{r}, nil).WithWorkspaces([]table.Workspace{*w}).CheckHomes()
			is.Equal(len(problems) == 0, test.ok)
			if !test.ok {
				is.True(strings.Contains(problems[0].Path, `"w"`) && strings.Contains(problems[0].Message, `"r"`)) // both names
				return
			}
			is.Equal(r.HomeRegions, test.want)
			is.Equal(r.RecordRegion, test.wantRecord)
			is.Equal(r.Class, table.ClassCritical)
			is.Equal(test.route == nil && test.workspace == nil, r.Permits("elsewhere"))
		})
	}
}

// Guards against ambiguous workspaces that come into force, and against a key in the message about them.
func TestValidate(t *testing.T) {
	key := []table.KeyHash{Hash("secret")}
	for name, test := range map[string]struct {
		workspaces []table.Workspace
		path       string
	}{
		"good":                  {[]table.Workspace{{Name: "a", Keys: append(key, key...)}, {Name: "b"}}, ""},
		"no name":               {[]table.Workspace{{}}, `$[""].name`},
		"name with a line end":  {[]table.Workspace{{Name: "a\r\nb"}}, `$["a\r\nb"].name`},
		"one name twice":        {[]table.Workspace{{Name: "a"}, {Name: "a"}}, `$["a"].name`},
		"key of two workspaces": {[]table.Workspace{{Name: "a", Keys: key}, {Name: "b", Keys: key}}, `$["b"].keys`},
		"negative rate":         {[]table.Workspace{{Name: "a", RatePerSecond: -1}}, `$["a"].rate_per_second`},
		"infinite burst":        {[]table.Workspace{{Name: "a", Burst: math.Inf(1)}}, `$["a"].burst`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			problems := Validate("$", test.workspaces)
			if test.path == "" {
				is.Equal(len(problems), 0)
				return
			}
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Path, test.path)
			is.True(!strings.Contains(problems.Error(), "secret"))
		})
	}
	_, err := HashKeys([]string{"good", "not good"})
	is.New(t).True(err != nil && !strings.Contains(err.Error(), "not good"))
	is.New(t).True(!strings.Contains(fmt.Sprintf("%+v", tables(t, map[string][]string{"a": {"secret"}})), "secret"))
}

// Guards against a header that is read as a key although HTTP reads it in another way.
func FuzzParseAuthorization(f *testing.F) {
	for _, seed := range []string{"", "Bearer", "Bearer ", "Bearer k", "bearer  k", "Basic k", "Bearer k k", "Bearer\tk", "Bearer k,l"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, reason := ParseAuthorization([]string{value})
		if (reason == None) != (key != "") || reason != None && reason != Malformed {
			t.Fatalf("%q: key %q, reason %q", value, key, reason)
		}
		if reason != None {
			return
		}
		fields := strings.Fields(value)
		if len(fields) != 2 || fields[1] != key || !strings.EqualFold(fields[0], "bearer") {
			t.Fatalf("%q is read as key %q", value, key)
		}
		h := http.Header{}
		h.Set("Authorization", "Bearer "+key)
		if again, reason := ParseAuthorization(h["Authorization"]); again != key || reason != None {
			t.Fatalf("key %q is not read again: %q, %q", key, again, reason)
		}
		if Hash(key) != Hash(strings.Clone(key)) {
			t.Fatalf("the hash of %q is not stable", key)
		}
	})
}

func BenchmarkAuthenticate(b *testing.B) {
	hashes, _ := HashKeys([]string{"key-1"})
	known := table.NewTables(1, nil, nil).WithWorkspaces([]table.Workspace{{Name: "acme", Keys: hashes}})
	values := []string{"Bearer key-1"}
	b.ReportAllocs()
	for b.Loop() {
		Authenticate(known, false, values)
	}
}
