package table

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against rejecting fields of embedded structs as unknown. This prevented
// instances from reading the views that they had written.
func TestDecodeStrictKnowsEmbeddedFields(t *testing.T) {
	type Inner struct {
		Epoch int `json:"epoch"`
	}
	type outer struct {
		Inner
		Region string `json:"region"`
	}
	is := is.New(t)
	var o outer
	is.NoErr(DecodeStrict([]byte(`{"epoch":3,"region":"north"}`), &o))
	is.Equal(o.Epoch, 3)
}
