package host

import (
	"bufio"
	"os"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
	"github.com/trefoilchute/trefoilchute/internal/trace"
)

// traceMode is the mode of a new trace file: traces name teams and requests.
const traceMode = 0o600

// traceFile records the decisions of the pool schedulers. A nil traceFile
// records nothing. It is used by the control goroutine alone, and closed after
// that has ended.
type traceFile struct {
	file     *os.File
	buffer   *bufio.Writer
	recorder *trace.Recorder
	streams  map[pool.Config]*trace.Stream
}

// openTrace starts a trace in a file that must not exist yet; an empty path
// gives nil.
func openTrace(path string) (*traceFile, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, traceMode)
	if err != nil {
		return nil, errors.Wrap(err, "host: trace")
	}
	buffer := bufio.NewWriter(file)
	recorder, err := trace.NewRecorder(buffer)
	if err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "host: trace")
	}
	return &traceFile{
		file: file, buffer: buffer, recorder: recorder, streams: map[pool.Config]*trace.Stream{},
	}, nil
}

// record writes the steps of pool schedulers.
func (t *traceFile) record(steps []scheduling.Step) error {
	if t == nil {
		return nil
	}
	for _, step := range steps {
		stream, err := t.stream(step.Config)
		if err != nil {
			return err
		}
		if err := stream.Record(step.Now, step.Events, step.Effects); err != nil {
			return errors.Wrap(err, "host: trace")
		}
	}
	return nil
}

// stream returns the stream of a scheduler.
func (t *traceFile) stream(c pool.Config) (*trace.Stream, error) {
	if s := t.streams[c]; s != nil {
		return s, nil
	}
	s, err := t.recorder.Start(c)
	if err != nil {
		return nil, errors.Wrap(err, "host: trace")
	}
	t.streams[c] = s
	return s, nil
}

// close writes out what is buffered.
func (t *traceFile) close() {
	if t == nil {
		return
	}
	_ = t.buffer.Flush()
	_ = t.file.Close()
}
