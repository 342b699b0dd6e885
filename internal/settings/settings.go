// Package settings reads the INI settings of one process.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

// Entry holds the settings of an entry host's process.
type Entry struct {
	// Host is the host's name, unique in the deployment.
	Host ident.Host
	// Domain is the failure domain that the host stands in.
	Domain ident.Domain
	// Listen is the IP address and port for callers.
	Listen string
	// AdminListen is the IP address and port for operators.
	AdminListen string
	// AdminToken is the bearer token that operators send; empty: none is asked
	// for, which is allowed on a loopback address only.
	AdminToken string
	// PeerListen is the IP address and port for the other entry hosts.
	PeerListen string
	// Platform is the base URL of the platform's services.
	Platform string
	// Seeds are peer addresses to try beside the platform's host list.
	Seeds []string
	// PeerSecret is shared by all entry hosts; links without it are refused.
	PeerSecret string
	// LogLevel is a logrus level name.
	LogLevel string
	// Trace is the file that the trace of decisions is appended to; empty: none.
	Trace string
	// DrainGrace bounds a planned stop.
	DrainGrace time.Duration
}

// Read reads the settings of an entry host from a file. An error about the
// content is of type inifile.Problems.
func Read(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse reads the settings of an entry host. The name of the file is for
// messages. The error is of type inifile.Problems.
func Parse(name string, data []byte) (*Entry, error) {
	file, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	entry := &Entry{}
	problems := decode(file, groups, entry)
	if len(problems) == 0 {
		problems = check(name, entry)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return entry, nil
}

// decode fills the settings from the sections. A missing section counts as an
// empty one.
func decode[T any](file *inifile.File, groups []group[T], to *T) inifile.Problems {
	var problems inifile.Problems
	present := map[string]inifile.Section{}
	for _, section := range file.Sections {
		if !known(groups, section.Name) {
			problems = append(problems, inifile.Problem{
				File: file.Name, Line: section.Line, Section: section.Name, Want: "one of the sections " + sectionNames(groups),
			})
		}
		present[section.Name] = section
	}
	for _, group := range groups {
		section := present[group.name]
		section.Name = group.name
		problems = append(problems, inifile.Decode(file.Name, section, group.fields, to)...)
	}
	return problems
}

// check reports settings that don't fit together.
func check(file string, entry *Entry) inifile.Problems {
	var problems inifile.Problems
	add := func(section, key, want, got string) {
		problems = append(problems, inifile.Problem{File: file, Section: section, Key: key, Want: want, Got: got})
	}
	if entry.AdminToken == "" && !loopback(entry.AdminListen) {
		add(sectionAdmin, "token", "a token where "+sectionAdmin+" listens beyond loopback", "")
	}
	if unspecified(entry.PeerListen) {
		add(sectionPeer, "listen", "an address that other hosts can dial", entry.PeerListen)
	}
	if entry.Listen == entry.AdminListen || entry.Listen == entry.PeerListen || entry.AdminListen == entry.PeerListen {
		add(sectionCallers, "listen", "three addresses that differ", entry.Listen)
	}
	return problems
}

func loopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

func unspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

// validURL says whether s is "http://IP:port" without a path.
func validURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && "http://"+u.Host == s && inifile.ValidAddress(u.Host)
}
