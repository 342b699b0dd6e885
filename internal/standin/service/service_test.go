package service_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/standin/service"
)

// start runs a service for the length of a test and returns it and its address.
func start(t *testing.T) (*service.Server, string) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := service.New(service.Options{Name: "s1"})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		g.Expect(server.Close()).To(Succeed())
		g.Expect(<-served).To(Succeed())
	})
	return server, listener.Addr().String()
}

// book sends the body "pallet" on a connection of its own.
func book(g *WithT, addr, id string) (service.Booking, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/book", strings.NewReader("pallet"))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set(engine.HeaderRequest, id)
	request.Header.Set(service.HeaderIdempotencyKey, "key-"+id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return service.Booking{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var booking service.Booking
	g.Expect(json.NewDecoder(response.Body).Decode(&booking)).To(Succeed())
	return booking, nil
}

func TestServiceNumbersItsBookings(t *testing.T) {
	g := NewWithT(t)
	server, addr := start(t)
	first, err := book(g, addr, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	key := service.BodyKey("/book", []byte("pallet"))
	g.Expect(first).To(Equal(service.Booking{Request: "r1", Number: 1, Service: "s1", Path: "/book", Body: key}))
	second, err := book(g, addr, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Number).To(Equal(2), "a double run is seen")
	g.Expect(server.Arrivals()).To(Equal(service.Arrivals{
		Requests: map[string]int{"r1": 2},
		Keys:     map[string]int{"key-r1": 2},
		Bodies:   map[string]int{key: 2},
		Bookings: 2,
	}))
}

func TestServiceBooksBeforeItsAnswerIsLost(t *testing.T) {
	g := NewWithT(t)
	server, addr := start(t)
	server.Set(service.Switches{CloseAfterRead: 1})
	_, err := book(g, addr, "r1")
	g.Expect(err).To(HaveOccurred())
	g.Expect(server.Arrivals().Bookings).To(Equal(1))
	_, err = book(g, addr, "r2")
	g.Expect(err).NotTo(HaveOccurred())
}

func TestLateAnswerComesAfterItsBooking(t *testing.T) {
	g := NewWithT(t)
	server, addr := start(t)
	server.Set(service.Switches{Late: time.Hour})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = book(g, addr, "r1")
	}()
	g.Eventually(func() int { return server.Arrivals().Bookings }).WithTimeout(10 * time.Second).Should(Equal(1))
	g.Expect(answered).NotTo(BeClosed())
}
