// Package settings reads the INI settings of one process.
package settings

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
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
