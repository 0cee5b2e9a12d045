package control

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestRepliesKeepTheirFields guards against a renamed or retyped JSON field, which would break operators'
// scripts that read the socket or the JSON output of the command line.
func TestRepliesKeepTheirFields(t *testing.T) {
	want, err := os.ReadFile("testdata/fields.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	listFields(&got, "reply", reflect.TypeFor[reply]())
	// The recorded file lists the query type under the name "question".
	listFields(&got, "question", reflect.TypeFor[query]())
	if got.String() != string(want) {
		t.Errorf("JSON fields of reply and query: got\n%s\nwant\n%s", got.String(), want)
	}
}

// listFields writes one line for each JSON field of a type, nested ones included: its path and its kind.
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
