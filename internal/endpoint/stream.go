package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Errors of a stream, to be tested with errors.Is.
var (
	// ErrOtherRequest reports a chunk that belongs to another request.
	ErrOtherRequest = errors.New("endpoint: chunk of another request")
	// ErrOutOfOrder reports a chunk that is missing or repeated.
	ErrOutOfOrder = errors.New("endpoint: chunk out of order")
	// ErrTruncated reports a stream that ended without its end marker or has a
	// chunk that isn't valid JSON.
	ErrTruncated = errors.New("endpoint: no end marker")
	// ErrUnknownRequest reports that the engine hasn't seen the request since
	// it started.
	ErrUnknownRequest = errors.New("endpoint: request not known")
	// ErrStatus reports a status other than 200 and 404.
	ErrStatus = errors.New("endpoint: unexpected status")
)

// maxLineBytes limits one line of a stream.
const maxLineBytes = 1 << 20

// Stream reads the chunks of one answer from a connection.
type Stream struct {
	conn     *Conn
	resp     *fasthttp.Response
	lines    *bufio.Reader
	request  ident.Request
	nextSeq  int
	complete bool
}

// Open reads the response header of a request that was already sent on conn. The
// first chunk must have sequence number from. Open returns ErrUnknownRequest for
// status 404 and ErrStatus for any other status than 200.
func Open(conn *Conn, request ident.Request, from int, headerTimeout time.Duration) (*Stream, error) {
	resp := fasthttp.AcquireResponse()
	if err := conn.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, errors.Wrap(err, "endpoint: read deadline")
	}
	if err := conn.Receive(resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	s := &Stream{conn: conn, resp: resp, request: request, nextSeq: from}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		s.lines = bufio.NewReaderSize(resp.BodyStream(), bufferSize)
		return s, nil
	case fasthttp.StatusNotFound:
		s.Close()
		return nil, ErrUnknownRequest
	default:
		s.Close()
		return nil, errors.Wrap(ErrStatus, strconv.Itoa(status))
	}
}

// Chunk is a chunk whose request id and sequence number were checked.
type Chunk struct {
	// Data is the chunk's JSON. The caller owns it.
	Data []byte
	// Usage is set on the last chunk.
	Usage *engine.Usage
}

// Next returns the next chunk. It returns io.EOF after the end marker,
// ErrOtherRequest, ErrOutOfOrder or ErrTruncated for a faulty stream, and a
// timeout error (see IsTimeout) if no data arrives within the timeout.
func (s *Stream) Next(timeout time.Duration) (Chunk, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return Chunk{}, errors.Wrap(err, "endpoint: read deadline")
	}
	for {
		data, err := s.readEvent()
		if err != nil {
			return Chunk{}, err
		}
		if data == nil {
			continue
		}
		if string(data) == engine.DoneMarker {
			s.complete = true
			return Chunk{}, io.EOF
		}
		return s.parseChunk(data)
	}
}

// readEvent reads one line and returns its event data, or nil if it has none.
func (s *Stream) readEvent() ([]byte, error) {
	line, err := readLine(s.lines)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, errors.Wrap(err, "endpoint: read")
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, nil
	}
	return bytes.TrimSpace(data), nil
}

// readLine returns a copy of the next line. A line that exceeds maxLineBytes is
// an error.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.ReadSlice('\n')
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxLineBytes {
			return nil, errors.New("endpoint: line too long")
		}
	}
}

// parseChunk decodes a chunk and checks that it is the next one of this request.
func (s *Stream) parseChunk(data []byte) (Chunk, error) {
	var head struct {
		ID    string        `json:"id"`
		Seq   int           `json:"seq"`
		Usage *engine.Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Chunk{}, errors.Wrap(ErrTruncated, err.Error())
	}
	if head.ID != string(s.request) {
		return Chunk{}, ErrOtherRequest
	}
	if head.Seq != s.nextSeq {
		return Chunk{}, ErrOutOfOrder
	}
	s.nextSeq++
	return Chunk{Data: data, Usage: head.Usage}, nil
}

// CloseOnCancel closes the stream's connection when ctx is done. The returned
// function unregisters it.
func (s *Stream) CloseOnCancel(ctx context.Context) func() {
	conn := s.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() { stop() }
}

// Complete reports whether the end marker has been read.
func (s *Stream) Complete() bool {
	return s.complete
}

// Close releases the stream and closes its connection, unless Reuse has already
// returned the connection to the pool.
func (s *Stream) Close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.release()
}

// Reuse returns the connection of a complete stream to the pool. It closes the
// connection of a stream that isn't complete or can't be read to its end.
func (s *Stream) Reuse(p *Pool) {
	if _, err := io.Copy(io.Discard, s.lines); err != nil || !s.complete {
		s.Close()
		return
	}
	conn := s.conn
	mustClose := s.resp.ConnectionClose()
	s.conn = nil
	s.release()
	if mustClose {
		_ = conn.Close()
		return
	}
	p.Put(conn)
}

// release returns the response to fasthttp's pool.
func (s *Stream) release() {
	if s.resp == nil {
		return
	}
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
}

// IsTimeout reports whether err was caused by a timeout.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
