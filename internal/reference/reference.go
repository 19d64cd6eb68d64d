// Package reference generates the reference page of all settings from the
// structs that hold them, so that the page can't differ from the code.
package reference

import (
	"fmt"
	"reflect"
	"strings"

	"sumachead/internal/config"
	"sumachead/internal/settings"
)

// section describes one table of the page.
type section struct {
	title string
	about string
	value any
}

func sections() []section {
	return []section{
		{"Settings file of a process", "Passed to `sumacheadd --config`. Read once at startup.", config.Config{}},
		{"keepers[]", "", config.Keeper{}},
		{"agent", "", config.Agent{}},
		{"tls", "", config.TLS{}},
		{"Settings file of the tool", "Passed to `sumachead --config`.", config.Client{}},
		{"Settings tree", "What operators change while the system runs: `sumachead settings apply FILE`. The path of an object is KIND/ID, that of a top-up topups/BUDGET/ID.", settings.Objects{}},
		{"branches.ID", "", settings.Branch{}},
		{"workspaces.ID", "", settings.Workspace{}},
		{"limits", "Of a branch or a workspace.", settings.Limits{}},
		{"budgets.ID", "", settings.Budget{}},
		{"topups.BUDGET.ID", "", settings.Topup{}},
		{"pools.ID", "", settings.Pool{}},
		{"servers.ID", "", settings.Server{}},
	}
}

// Page returns the page in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nThis page is generated from the code by `sumachead settings reference`; CI checks that it is current.\n" +
		"All files are strict JSON: an unknown field, a duplicate name or a wrong type is an error that names the field.\n")
	for _, s := range sections() {
		fmt.Fprintf(&b, "\n## %s\n\n", s.title)
		if s.about != "" {
			b.WriteString(s.about + "\n\n")
		}
		b.WriteString("| field | type | meaning |\n| --- | --- | --- |\n")
		t := reflect.TypeOf(s.value)
		for i := range t.NumField() {
			f := t.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", name, typeName(f.Type), f.Tag.Get("doc"))
		}
	}
	return b.String()
}

// typeName returns the name of a type for readers of JSON.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[settings.Duration]() {
		return "duration, as in \"1.5s\""
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	case reflect.Map:
		return "object of " + typeName(t.Elem()) + " by id"
	}
	return "object"
}

// undocumentedFields lists the fields of a section without a doc tag.
func undocumentedFields(s section) []string {
	var names []string
	t := reflect.TypeOf(s.value)
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("doc") == "" {
			names = append(names, t.Field(i).Name)
		}
	}
	return names
}
