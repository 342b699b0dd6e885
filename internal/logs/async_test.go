package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// TestReaderThatDoesNotReadHoldsNobodyUp writes far more than the pipe and the queue
// hold while nobody reads. What was dropped is told once somebody does.
func TestReaderThatDoesNotReadHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	a := NewAsync(w)
	log, err := New(a, "info")
	g.Expect(err).NotTo(HaveOccurred())
	const lines = 3 * asyncLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			With(log, Answered).WithField("request", "x").Info()
		}
	}()
	g.Eventually(written).WithTimeout(10 * time.Second).Should(BeClosed())
	dropped := a.Dropped()
	g.Expect(dropped).To(BeNumerically(">=", lines-asyncLines-2*asyncBatch/50))

	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&out, r)
	}()
	a.Close(10 * time.Second)
	g.Expect(w.Close()).To(Succeed())
	<-read
	g.Expect(strings.Count(out.String(), "event=answered")).To(BeNumerically("==", lines-int(dropped)))
	g.Expect(out.String()).To(ContainSubstring("event=" + string(LinesDropped)))
}

// BenchmarkLine measures what one line of a request's end costs its goroutine.
func BenchmarkLine(b *testing.B) {
	a := NewAsync(io.Discard)
	defer a.Close(time.Second)
	log, err := New(a, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		With(log, Answered).WithFields(logrus.Fields{
			"request": "913845d8f3428b54", "endpoint": "i-547b7ced8f", "code": 302, "status": 200, "tries": 1,
			"queue_ms": 3, "first_ms": 29, "total_ms": 998, "version": 24, "reason": "unexpected EOF",
		}).Info()
	}
}
