package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// Reader reads a trace, plain or compressed by gzip.
type Reader struct {
	r *bufio.Reader
	// headed says that the first header was read.
	headed bool
	// schedulers is how many schedulers were introduced since the last header.
	schedulers uint32
}

// gzipMagic are the first bytes of a compressed trace.
var gzipMagic = [2]byte{0x1f, 0x8b}

// NewReader returns a reader.
func NewReader(r io.Reader) (*Reader, error) {
	buffered := bufio.NewReader(r)
	first, err := buffered.Peek(len(gzipMagic))
	if err != nil || [2]byte(first) != gzipMagic {
		return &Reader{r: buffered}, nil
	}
	z, err := gzip.NewReader(buffered)
	if err != nil {
		return nil, errors.Wrap(err, "open the compressed trace")
	}
	return &Reader{r: bufio.NewReader(z)}, nil
}

// Next returns the next frame and io.EOF, not wrapped, after the last. A frame
// that is cut off, too long, malformed or out of order is an error.
func (r *Reader) Next() (Frame, error) {
	body, err := r.body()
	if err != nil {
		return Frame{}, err
	}
	var f Frame
	if err := decoding.Unmarshal(body, &f); err != nil {
		return Frame{}, errors.Wrap(err, "decode a frame")
	}
	return f, r.check(f)
}

// body reads a frame's bytes. Memory grows with what is read, not with the
// length that is claimed.
func (r *Reader) body() ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.r, length[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, errors.Wrap(err, "read the length of a frame")
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrame {
		return nil, errors.Errorf("a frame of %d bytes is longer than %d", n, MaxFrame)
	}
	body, err := io.ReadAll(io.LimitReader(r.r, int64(n)))
	if err != nil {
		return nil, errors.Wrap(err, "read a frame")
	}
	if len(body) < int(n) {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "read a frame")
	}
	return body, nil
}

// check holds a frame against the order of frames.
func (r *Reader) check(f Frame) error {
	switch {
	case f.Header != nil:
		return r.checkHeader(f)
	case !r.headed:
		return errors.New("the trace does not begin with a header")
	case f.Start != nil && f.Step == nil:
		if f.Start.Scheduler != r.schedulers || r.schedulers >= maxSchedulers {
			return errors.Errorf("scheduler %d is out of order", f.Start.Scheduler)
		}
		r.schedulers++
	case f.Step != nil && f.Start == nil:
		if f.Step.Scheduler >= r.schedulers {
			return errors.Errorf("scheduler %d was not introduced", f.Step.Scheduler)
		}
	default:
		return errors.New("a frame has not exactly one content")
	}
	return nil
}

func (r *Reader) checkHeader(f Frame) error {
	if f.Start != nil || f.Step != nil {
		return errors.New("a frame has not exactly one content")
	}
	if f.Header.Magic != magic {
		return errors.New("this is not a trace")
	}
	if f.Header.Version != Version {
		return errors.Errorf("the trace has version %d; this program reads version %d", f.Header.Version, Version)
	}
	r.headed, r.schedulers = true, 0
	return nil
}
