package control

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestRepliesKeepTheirFields guards against a renamed field that would change what operators' scripts read
// from the socket and from the command line's JSON.
func TestRepliesKeepTheirFields(t *testing.T) {
	want, err := os.ReadFile("testdata/fields.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	listFields(&got, "reply", reflect.TypeFor[reply]())
	listFields(&got, "question", reflect.TypeFor[question]())
	if got.String() != string(want) {
		t.Errorf("the fields are\n%s\nand were\n%s", got.String(), want)
	}
}

// listFields writes a line for each JSON field below a type: its path and its kind.
func listFields(out *strings.Builder, path string, of reflect.Type) {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map, reflect.Array:
		listFields(out, path+"[]", of.Elem())
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			if !field.IsExported() {
				continue
			}
			name := field.Tag.Get("json")
			if name == "" && !field.Anonymous {
				name = field.Name
			}
			listFields(out, path+"."+name, field.Type)
		}
	default:
		fmt.Fprintln(out, path, of.Kind())
	}
}
