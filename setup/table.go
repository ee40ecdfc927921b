package setup

import (
	"fmt"
	"strings"
)

// MarkdownTable returns all settings as a Markdown table.
func MarkdownTable() string {
	var table strings.Builder
	table.WriteString("| section | key | default | unit | allowed | meaning |\n|---|---|---|---|---|---|\n")
	for _, setting := range DefaultSettings().Descriptions() {
		defaultValue := setting.Default
		if defaultValue == "" {
			defaultValue = "(required)"
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s | %s |\n",
			setting.Section, setting.Key, defaultValue, setting.Unit, setting.Allowed, setting.Doc)
	}
	return table.String()
}
