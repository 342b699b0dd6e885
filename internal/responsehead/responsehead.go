// Package responsehead checks heads of HTTP responses for what the HTTP libraries accept though
// no valid response has it.
package responsehead

import (
	"net/http"

	"github.com/pkg/errors"
)

const (
	// MaxInterim is how many interim responses may precede a final one.
	MaxInterim = 8

	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsInterim reports whether a status is that of an interim response, after which the final one
// follows. No request asks for 101, so that is none.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// Check returns an error if a response can't be valid: an interim or bodyless one that declares a
// body, or a status outside 100 to 599.
func Check(status int, declaresBody bool) error {
	switch {
	case IsInterim(status), status == http.StatusNoContent, status == http.StatusNotModified:
		if declaresBody {
			return errors.Errorf("a response with status %d declares a body", status)
		}
	case status < minFinalStatus || status > maxFinalStatus:
		return errors.Errorf("status %d is that of no final response", status)
	}
	return nil
}
