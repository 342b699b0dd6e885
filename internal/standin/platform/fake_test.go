package platform_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

// services is all that Fake and Client offer.
type services interface {
	platform.Table
	platform.Objects
	platform.Weights
	platform.Hosts
}

// describe turns a result into text that is the same for Fake and Client.
func describe(value any, err error) string {
	for _, known := range []error{
		platform.ErrConflict, platform.ErrNotFound, platform.ErrUnavailable,
		platform.ErrAmbiguous, platform.ErrLimited,
	} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return fmt.Sprintf("%v %v", value, err)
}

// drawCall draws one call.
func drawCall(t *rapid.T) func(context.Context, services) string {
	key := rapid.SampledFrom([]string{"a", "a/1", "a/2", "b"})
	k := key.Draw(t, "key")
	switch rapid.IntRange(0, 6).Draw(t, "call") {
	case 0:
		return func(ctx context.Context, s services) string { return describe(s.Get(ctx, k)) }
	case 1:
		after, limit := key.Draw(t, "after"), rapid.IntRange(1, 3).Draw(t, "limit")
		return func(ctx context.Context, s services) string { return describe(s.List(ctx, k, after, limit)) }
	case 2:
		value := []byte(rapid.StringN(1, 3, -1).Draw(t, "object"))
		return func(ctx context.Context, s services) string { return describe(nil, s.PutObject(ctx, k, value)) }
	case 3:
		return func(ctx context.Context, s services) string { return describe(s.GetObject(ctx, k)) }
	case 4:
		return func(ctx context.Context, s services) string { return describe(s.ListObjects(ctx, k)) }
	case 5:
		entry := platform.HostEntry{Host: k, Leaving: rapid.Bool().Draw(t, "leaving")}
		return func(ctx context.Context, s services) string {
			return describe(nil, s.Register(ctx, entry)) + describe(s.ListHosts(ctx))
		}
	default:
		txn := platform.Txn{
			Conditions: []platform.Condition{{Key: k, Version: uint64(rapid.IntRange(0, 4).Draw(t, "version"))}},
			Puts:       []platform.Put{{Key: key.Draw(t, "put"), Value: []byte{rapid.Byte().Draw(t, "value")}}},
			Deletes:    rapid.SliceOfN(key, 0, 1).Draw(t, "deletes"),
		}
		return func(ctx context.Context, s services) string { return describe(s.Commit(ctx, txn)) }
	}
}

func TestFakeAnswersAsClientAndServerDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		server, fake := standin.New(standin.Options{}), standin.NewFake(standin.Options{})
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		client := platform.NewClient("http://"+listener.Addr().String(), platform.Options{})
		defer func() {
			client.Close()
			_ = listener.Close()
			<-served
		}()
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			if rapid.IntRange(0, 9).Draw(t, "switch") == 0 {
				switches := standin.Switches{
					Down:        rapid.Bool().Draw(t, "down"),
					LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose"),
					DropWrites:  rapid.IntRange(0, 1).Draw(t, "drop"),
				}
				server.Set(switches)
				fake.Set(switches)
			}
			call := drawCall(t)
			want := call(context.Background(), fake)
			g.Expect(call(context.Background(), client)).To(Equal(want))
		}
		g.Expect(server.Counters()).To(Equal(fake.Counters()))
	})
}

func TestSlowWriteTakesEffectAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := standin.NewFake(standin.Options{})
		fake.Set(standin.Switches{Delay: platform.DefaultTimeout + time.Second})
		begin := time.Now()
		err := fake.PutObject(t.Context(), "k", []byte("v"))
		g.Expect(err).To(MatchError(platform.ErrAmbiguous))
		g.Expect(time.Since(begin)).To(Equal(platform.DefaultTimeout))
		_, err = fake.GetObject(t.Context(), "k")
		g.Expect(err).To(MatchError(platform.ErrUnavailable))
		fake.Set(standin.Switches{Delay: time.Second})
		value, err := fake.GetObject(t.Context(), "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(value).To(Equal([]byte("v")))
	})
}

func TestHostListLagsAndAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		fake := standin.NewFake(standin.Options{HostLag: 10 * time.Second, HostMaxAge: time.Minute})
		here := platform.HostEntry{Host: "h1", Domain: "d1"}
		leaving := platform.HostEntry{Host: "h1", Domain: "d1", Leaving: true}
		list := func() []platform.HostEntry {
			entries, err := fake.ListHosts(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			return entries
		}
		g.Expect(fake.Register(ctx, here)).To(Succeed())
		g.Expect(list()).To(BeEmpty())
		time.Sleep(10 * time.Second)
		g.Expect(list()).To(ConsistOf(here))
		g.Expect(fake.Register(ctx, leaving)).To(Succeed())
		g.Expect(list()).To(ConsistOf(here))
		time.Sleep(10 * time.Second)
		g.Expect(list()).To(ConsistOf(leaving))
		time.Sleep(time.Minute)
		g.Expect(list()).To(ConsistOf(leaving))
		time.Sleep(time.Second)
		g.Expect(list()).To(BeEmpty())
	})
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		fake := standin.NewFake(standin.Options{WritesPerSecond: 2, WeightInterval: 10 * time.Second})
		for range 2 {
			g.Expect(fake.PutObject(ctx, "k", nil)).To(Succeed())
		}
		g.Expect(fake.PutObject(ctx, "k", nil)).To(MatchError(platform.ErrLimited))
		time.Sleep(time.Second)
		_, err := fake.Reserve(ctx, "m")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(4 * time.Second)
		wait, err := fake.Reserve(ctx, "m")
		g.Expect(err).To(MatchError(platform.ErrLimited))
		g.Expect(wait).To(Equal(6 * time.Second))
		time.Sleep(wait)
		_, err = fake.Reserve(ctx, "m")
		g.Expect(err).NotTo(HaveOccurred())
	})
}
