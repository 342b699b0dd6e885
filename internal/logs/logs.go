// Package logs sets up logging: one line of key=value pairs for each event.
package logs

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Keys of log lines.
const (
	// KeyEvent is the name of the event.
	KeyEvent = "event"
	// timeFormat has a fixed width, so that lines sort by it.
	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
)

// New returns a logger that writes lines of at least the named level to w.
func New(w io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(newFormatter())
	return log, nil
}

// With returns a line for an event, to which fields may be added.
func With(log logrus.FieldLogger, event Event) *logrus.Entry {
	return log.WithField(KeyEvent, string(event))
}

// formatter writes a line as key=value pairs. The event's name stands under
// KeyEvent, whether it was given as a field or as the message.
type formatter struct {
	text logrus.TextFormatter
}

func newFormatter() *formatter {
	return &formatter{text: logrus.TextFormatter{
		DisableColors:    true,
		FullTimestamp:    true,
		TimestampFormat:  timeFormat,
		QuoteEmptyFields: true,
		FieldMap:         logrus.FieldMap{logrus.FieldKeyMsg: KeyEvent},
	}}
}

// Format returns the line. Line breaks in values are escaped by the quotes
// that the library puts round such values.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	event, ok := entry.Data[KeyEvent].(string)
	if !ok {
		return f.text.Format(entry)
	}
	line := *entry
	line.Data = make(logrus.Fields, len(entry.Data))
	for key, value := range entry.Data {
		if key != KeyEvent {
			line.Data[key] = value
		}
	}
	if entry.Message != "" {
		line.Data["detail"] = entry.Message
	}
	line.Message = event
	return f.text.Format(&line)
}
