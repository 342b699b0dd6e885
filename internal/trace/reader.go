package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// Reader reads the frames of a trace, either plain or compressed with gzip.
type Reader struct {
	r *bufio.Reader
	// hasHeader reports whether the first header was read.
	hasHeader bool
	// schedulerCount is the number of schedulers introduced since the last header.
	schedulerCount uint32
}

// gzipMagic holds the first bytes of a gzip stream.
var gzipMagic = [2]byte{0x1f, 0x8b}

// NewReader returns a reader of the trace in r and detects compression by the
// first bytes.
func NewReader(r io.Reader) (*Reader, error) {
	buffered := bufio.NewReader(r)
	first, err := buffered.Peek(len(gzipMagic))
	if err != nil || [2]byte(first) != gzipMagic {
		return &Reader{r: buffered}, nil
	}
	decompressed, err := gzip.NewReader(buffered)
	if err != nil {
		return nil, errors.Wrap(err, "open the compressed trace")
	}
	return &Reader{r: bufio.NewReader(decompressed)}, nil
}

// Next returns the next frame. After the last one it returns io.EOF, unwrapped.
// It returns another error for a frame that is truncated, too long, malformed
// or out of order.
func (r *Reader) Next() (Frame, error) {
	body, err := r.readBody()
	if err != nil {
		return Frame{}, err
	}
	var f Frame
	if err := decoding.Unmarshal(body, &f); err != nil {
		return Frame{}, errors.Wrap(err, "decode a frame")
	}
	return f, r.checkOrder(f)
}

// readBody reads the encoded content of the next frame. It allocates memory as
// bytes arrive rather than up front, since the stated length is untrusted.
func (r *Reader) readBody() ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.r, length[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, errors.Wrap(err, "read the length of a frame")
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", n, MaxFrame)
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

// checkOrder checks that a frame has exactly one content and may follow the
// frames read so far.
func (r *Reader) checkOrder(f Frame) error {
	switch {
	case f.Header != nil:
		return r.checkHeader(f)
	case !r.hasHeader:
		return errors.New("the trace does not start with a header")
	case f.Start != nil && f.Step == nil:
		if f.Start.Scheduler != r.schedulerCount || r.schedulerCount >= maxSchedulers {
			return errors.Errorf("scheduler number %d is out of order or over the limit", f.Start.Scheduler)
		}
		r.schedulerCount++
	case f.Step != nil && f.Start == nil:
		if f.Step.Scheduler >= r.schedulerCount {
			return errors.Errorf("step of scheduler %d, which the trace has not introduced", f.Step.Scheduler)
		}
	default:
		return errors.New("the frame does not have exactly one content")
	}
	return nil
}

// checkHeader checks a header and restarts the numbering of schedulers.
func (r *Reader) checkHeader(f Frame) error {
	if f.Start != nil || f.Step != nil {
		return errors.New("the frame does not have exactly one content")
	}
	if f.Header.Magic != magic {
		return errors.New("the header is not that of a trace")
	}
	if f.Header.Version != Version {
		return errors.Errorf("unsupported trace version %d; the supported version is %d", f.Header.Version, Version)
	}
	r.hasHeader, r.schedulerCount = true, 0
	return nil
}
