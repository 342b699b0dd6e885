package trace

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// Recorder writes a trace. It is not safe for concurrent use; only the control
// goroutine, which steps the schedulers, calls it.
type Recorder struct {
	w             io.Writer
	nextScheduler uint32
}

// NewRecorder writes a header to w and returns a recorder that appends to it.
func NewRecorder(w io.Writer) (*Recorder, error) {
	r := &Recorder{w: w}
	return r, r.write(Frame{Header: &Header{Magic: magic, Version: Version}})
}

// Stream records the steps of a single scheduler.
type Stream struct {
	recorder *Recorder
	number   uint32
}

// Start introduces a scheduler and returns the stream for its steps. It must be
// called before the scheduler's first step, with the configuration that the
// scheduler was created with.
func (r *Recorder) Start(c pool.Config) (*Stream, error) {
	if r.nextScheduler >= maxSchedulers {
		return nil, errors.Errorf("the trace already has %d schedulers, the maximum", maxSchedulers)
	}
	s := &Stream{recorder: r, number: r.nextScheduler}
	r.nextScheduler++
	return s, r.write(Frame{Start: &Start{Scheduler: s.number, Config: c}})
}

// Record writes a step: its time, its events and the hash of the effects that it
// returned.
func (s *Stream) Record(at time.Duration, events []pool.Event, effects []pool.Effect) error {
	step := &Step{Scheduler: s.number, At: at, Events: make([]Event, 0, len(events))}
	for _, e := range events {
		encoded, err := encodeEvent(e)
		if err != nil {
			return err
		}
		step.Events = append(step.Events, encoded)
	}
	var err error
	if step.EffectsHash, err = Hash(effects); err != nil {
		return err
	}
	return s.recorder.write(Frame{Step: step})
}

// write appends a frame to the trace.
func (r *Recorder) write(f Frame) error {
	body, err := encoding.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	if len(body) > MaxFrame {
		return errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(body), MaxFrame)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	_, err = r.w.Write(append(frame, body...))
	return errors.Wrap(err, "write a frame of the trace")
}
