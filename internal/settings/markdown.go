package settings

import (
	"slices"
	"strings"

	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

//go:generate go run ./gen ../../docs/SETTINGS.md

// markdownHead starts the page of settings.
const markdownHead = `# Settings

Generated from ` + "`internal/settings`" + ` by ` + "`go generate ./...`" + `; a test holds it to the code.

An entry host's process reads one INI file at its start: ` + "`trefoilchute entry --settings FILE`" + `. A change
needs a restart. ` + "`trefoilchute settings check FILE`" + ` says what is wrong with a file, with line, section, key
and what was expected. Reading is strict: an unknown section or key, a key that stands twice, a value
without its unit or out of its range is an error, and the process doesn't start. A value ends with its
line; comments stand on lines of their own and start with ` + "`#` or `;`" + `. Addresses are IP addresses, never
names. What concerns the whole deployment is no setting but a resource, see [RESOURCES.md](RESOURCES.md).
`

// markdownExample ends the page; a test parses it.
const markdownExample = `[host]
name = entry-a1
domain = a

[callers]
listen = 10.1.0.11:7070

[admin]
listen = 10.1.0.11:7071
token = replace-this-token

[peer]
listen = 10.1.0.11:7072
secret = replace-this-secret

[platform]
url = http://10.1.0.9:7000
`

// markdownGateway begins the part on gateways.
const markdownGateway = `
## On the users' platform

` + "`trefoilchute gateway --settings FILE`" + ` reads a file of the sections below. The platform renders it from
` + "`deploy/settings.ini`" + `, the template that ` + "`deploy/system.toml`" + ` names, at every start and whenever its own
settings change. ` + "`trefoilchute settings check --gateway FILE`" + ` checks one.

The process reads the file again on SIGHUP, and when the file has changed without one. Keys that are
not marked as read at the start take effect for the requests that come from then on; a request is
served to its end by the settings that were in force when it came. A file with an error changes
nothing. The log event ` + "`settings`" + ` has the version in force, a hash over the keys that a reload can change, at the start and at each
reload, with the keys that were applied or wait for a start; ` + "`settings_rejected`" + ` says what is wrong. The
version also stands in each ` + "`answered`" + ` line and in the metric ` + "`trefoilchute_settings`" + `.
`

// Markdown returns the documentation page of the settings.
func Markdown() string {
	var b strings.Builder
	b.WriteString(markdownHead)
	for _, section := range Docs() {
		b.WriteString("\n## [" + section.Name + "]\n\n")
		b.WriteString(inifile.Markdown(section.Keys))
	}
	b.WriteString("\n## Example\n\n```ini\n" + markdownExample + "```\n")
	b.WriteString(markdownGateway)
	for _, section := range GatewayDocs() {
		b.WriteString("\n### [" + section.Name + "]\n\n")
		if slices.Contains(optionalSections, section.Name) {
			b.WriteString("The section may be missing; what it is about is off then.\n\n")
		}
		b.WriteString(inifile.Markdown(section.Keys))
	}
	return b.String()
}
