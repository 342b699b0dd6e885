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

// Errors of a stream. Test with errors.Is.
var (
	// ErrCrossed says that a chunk belongs to another request.
	ErrCrossed = errors.New("endpoint: chunk of another request")
	// ErrGap says that a chunk is missing.
	ErrGap = errors.New("endpoint: chunk out of order")
	// ErrCut says that the stream ended without its end marker.
	ErrCut = errors.New("endpoint: no end marker")
	// ErrUnknownRequest says that the engine hasn't seen the request since it
	// started.
	ErrUnknownRequest = errors.New("endpoint: request not known")
	// ErrStatus says that the endpoint answered with another status.
	ErrStatus = errors.New("endpoint: unexpected status")
)

// maxLine bounds one line of a stream in bytes.
const maxLine = 1 << 20

// Stream reads the chunks of one answer from one connection.
type Stream struct {
	conn    *Conn
	resp    *fasthttp.Response
	lines   *bufio.Reader
	request ident.Request
	next    int
	whole   bool
}

// Open reads the header of the answer to a request already sent on conn. The
// first chunk must have sequence number from. An error status is ErrStatus or,
// for 404, ErrUnknownRequest.
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
	s := &Stream{conn: conn, resp: resp, request: request, next: from}
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

// Chunk is one verified chunk.
type Chunk struct {
	// Data is the chunk's JSON, owned by the caller.
	Data []byte
	// Usage is set on the last chunk.
	Usage *engine.Usage
}

// Next returns the next chunk. It returns io.EOF after the end marker,
// ErrCrossed, ErrGap or ErrCut for a faulty stream, and a timeout error (see
// IsTimeout) when nothing came for the given time.
func (s *Stream) Next(silence time.Duration) (Chunk, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return Chunk{}, errors.Wrap(err, "endpoint: read deadline")
	}
	for {
		data, err := s.event()
		if err != nil {
			return Chunk{}, err
		}
		if data == nil {
			continue
		}
		if string(data) == engine.DoneMarker {
			s.whole = true
			return Chunk{}, io.EOF
		}
		return s.verify(data)
	}
}

// event reads one line and returns the data of an event, or nil.
func (s *Stream) event() ([]byte, error) {
	line, err := readLine(s.lines)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, ErrCut
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

// readLine returns a copy of the next line, which may not be longer than
// maxLine.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		piece, err := r.ReadSlice('\n')
		line = append(line, piece...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxLine {
			return nil, errors.New("endpoint: line too long")
		}
	}
}

// verify checks that a chunk is the next one of this request.
func (s *Stream) verify(data []byte) (Chunk, error) {
	var head struct {
		ID    string        `json:"id"`
		Seq   int           `json:"seq"`
		Usage *engine.Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Chunk{}, errors.Wrap(ErrCut, err.Error())
	}
	if head.ID != string(s.request) {
		return Chunk{}, ErrCrossed
	}
	if head.Seq != s.next {
		return Chunk{}, ErrGap
	}
	s.next++
	return Chunk{Data: data, Usage: head.Usage}, nil
}

// OnCancel closes the stream's connection when ctx ends. The returned function
// ends that.
func (s *Stream) OnCancel(ctx context.Context) func() {
	conn := s.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() { stop() }
}

// Whole reports whether the end marker was read.
func (s *Stream) Whole() bool {
	return s.whole
}

// Close ends the stream. The connection is closed with it unless Reuse
// succeeded before.
func (s *Stream) Close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.release()
}

// Reuse gives the connection of a whole stream back to the pool.
func (s *Stream) Reuse(p *Pool) {
	if _, err := io.Copy(io.Discard, s.lines); err != nil || !s.whole {
		s.Close()
		return
	}
	conn := s.conn
	closes := s.resp.ConnectionClose()
	s.conn = nil
	s.release()
	if closes {
		_ = conn.Close()
		return
	}
	p.Put(conn)
}

// release frees the response.
func (s *Stream) release() {
	if s.resp == nil {
		return
	}
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
}

// IsTimeout reports whether err is a read that waited too long.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
