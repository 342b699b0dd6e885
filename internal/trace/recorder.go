package trace

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// Recorder writes a trace. It isn't safe for concurrent use: the control
// goroutine that steps the schedulers calls it.
type Recorder struct {
	w    io.Writer
	next uint32
}

// NewRecorder writes a header and returns a recorder.
func NewRecorder(w io.Writer) (*Recorder, error) {
	r := &Recorder{w: w}
	return r, r.write(Frame{Header: &Header{Magic: magic, Version: Version}})
}

// Stream records the steps of one scheduler.
type Stream struct {
	recorder *Recorder
	number   uint32
}

// Start introduces a scheduler to the trace. Call it with the scheduler's own
// configuration, before its first step.
func (r *Recorder) Start(c pool.Config) (*Stream, error) {
	if r.next >= maxSchedulers {
		return nil, errors.Errorf("the trace has its most schedulers, %d", maxSchedulers)
	}
	s := &Stream{recorder: r, number: r.next}
	r.next++
	return s, r.write(Frame{Start: &Start{Scheduler: s.number, Config: c}})
}

// Record writes one step with what it returned.
func (s *Stream) Record(at time.Duration, events []pool.Event, effects []pool.Effect) error {
	step := &Step{Scheduler: s.number, At: at, Events: make([]Event, 0, len(events))}
	for _, e := range events {
		x, err := encodeEvent(e)
		if err != nil {
			return err
		}
		step.Events = append(step.Events, x)
	}
	var err error
	if step.EffectsHash, err = Hash(effects); err != nil {
		return err
	}
	return s.recorder.write(Frame{Step: step})
}

func (r *Recorder) write(f Frame) error {
	body, err := encoding.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	if len(body) > MaxFrame {
		return errors.Errorf("a frame of %d bytes is longer than %d", len(body), MaxFrame)
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	_, err = r.w.Write(append(out, body...))
	return errors.Wrap(err, "write the trace")
}
