package cli

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// newLogger returns a logger that writes one line of key=value pairs an event.
func newLogger(w io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, result.New(result.InvalidConfig, err.Error())
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return log, nil
}
