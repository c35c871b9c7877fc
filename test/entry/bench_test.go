package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/dispatch/tdbaseline"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdfront"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdrelay"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/platform/tdbackend"
	"tarragondeal/internal/standin/tdengine"
)

// parts are the least that a front needs beside its own code.
type parts struct {
	view    *tarragondeal.View
	servers []tarragondeal.Server
}

func (p *parts) View() *tarragondeal.View       { return p.view }
func (p *parts) Changed() <-chan struct{}       { return nil }
func (p *parts) Servers() []tarragondeal.Server { return p.servers }
func (p *parts) Observe(tarragondeal.Sample)    {}
func (p *parts) Waste(tarragondeal.Waste)       {}

func (p *parts) Add(context.Context, tarragondeal.Usage) error { return nil }

func (p *parts) Admit(*tarragondeal.Workspace, *tarragondeal.Key, *tarragondeal.Route, int) (func(int), error) {
	return func(int) {}, nil
}

// front returns a front before one engine, and a key.
func front(b testing.TB, engine string) (http.Handler, string) {
	set, err := tdset.Parse("set", []byte(setText))
	if err != nil {
		b.Fatal(err)
	}
	text, key, err := tdkey.Issue("auditor", "auditors")
	if err != nil {
		b.Fatal(err)
	}
	set.Keys = []tarragondeal.Key{key}
	p := &parts{view: tarragondeal.NewView(1, set), servers: []tarragondeal.Server{{
		ID: "e", Pool: "narrator", DataCentre: "duluth", Addr: netip.MustParseAddrPort(engine), State: tarragondeal.VMLive,
	}}}
	flow := tdflow.New(tdflow.Deps{
		Dispatch: tdbaseline.New(tdbaseline.RoundRobin, p, nil, time.Second), Backend: tdbackend.New(), Meter: p, Burn: p,
		Guard: tdkey.NewGuard(p), Clock: tdclock.New(), Metrics: tally.NoopScope, Log: zerolog.Nop(),
	}, tdflow.Options{Attempts: 3, Write: time.Second})
	return tdfront.New(tdfront.Deps{
		Config: p, Limiter: p, Flow: flow, Clock: tdclock.New(), Log: zerolog.Nop(),
	}, tdfront.Options{MaxBody: 1 << 20, Body: time.Minute}).Handler(), text
}

// BenchmarkAddedLatency measures the same calls through the router and direct
// to the same engine, turn by turn: the time to the first byte of an answer
// and to its end.
func BenchmarkAddedLatency(b *testing.B) {
	engine := httptest.NewServer(tdengine.New(tdengine.Options{Name: "e", Slots: 64}).Handler())
	defer engine.Close()
	handler, key := front(b, engine.Listener.Addr().String())
	router := httptest.NewServer(handler)
	defer router.Close()
	for _, c := range []struct{ name, body, end string }{
		{"stream16", ask("narrate", 16), "[DONE]\n\n"},
		{"stream1", ask("narrate", 1), "[DONE]\n\n"},
		{"plain", strings.Replace(ask("narrate", 16), "true", "false", 1), "}"},
	} {
		b.Run(c.name, func(b *testing.B) {
			direct, through := newTimes(), newTimes()
			for n := 0; b.Loop(); n++ {
				if n < warmUp {
					direct, through = newTimes(), newTimes()
				}
				direct.call(b, engine.URL, key, c.body, c.end)
				through.call(b, router.URL, key, c.body, c.end)
			}
			report(b, "first", direct.first, through.first)
			report(b, "whole", direct.whole, through.whole)
		})
	}
}

// warmUp is how many turns are not counted.
const warmUp = 200

type times struct{ first, whole *hdrhistogram.Histogram }

func newTimes() *times {
	return &times{hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)}
}

func (t *times) call(b *testing.B, base, key, body, end string) {
	req, err := http.NewRequest(http.MethodPost, base+chat, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	var one [1]byte
	_, err = io.ReadFull(res.Body, one[:])
	_ = t.first.RecordValue(time.Since(start).Nanoseconds())
	if err != nil {
		b.Fatal(err)
	}
	text, err := io.ReadAll(res.Body)
	_ = t.whole.RecordValue(time.Since(start).Nanoseconds())
	_ = res.Body.Close()
	if err != nil || !bytes.HasSuffix(text, []byte(end)) {
		b.Fatalf("%v: %s", err, text)
	}
}

func report(b *testing.B, name string, direct, through *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 99} {
		d, t := float64(direct.ValueAtQuantile(q)), float64(through.ValueAtQuantile(q))
		b.ReportMetric(d/1e3, fmt.Sprintf("µs-%s-p%g-direct", name, q))
		b.ReportMetric((t-d)/1e3, fmt.Sprintf("µs-%s-p%g-added", name, q))
		b.ReportMetric(t/d, fmt.Sprintf("ratio-%s-p%g", name, q))
	}
}

// nowhere takes an answer and keeps nothing.
type nowhere struct{ h http.Header }

func (n *nowhere) Header() http.Header              { return n.h }
func (n *nowhere) Write(p []byte) (int, error)      { return len(p), nil }
func (n *nowhere) WriteHeader(int)                  {}
func (n *nowhere) Flush()                           {}
func (n *nowhere) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkRelay measures what passing on an answer allocates, by its length.
func BenchmarkRelay(b *testing.B) {
	for _, events := range []int{16, 256, 4096} {
		b.Run(fmt.Sprint(events), func(b *testing.B) {
			one := `data: {"id":"q.1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"
			last := `data: {"id":"q.1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
			text := strings.Repeat(one, events) + last
			b.ReportAllocs()
			for b.Loop() {
				s := tdrelay.NewStream(&nowhere{h: http.Header{}}, tdrelay.Options{Write: time.Minute})
				if end, err := s.Feed(strings.NewReader(text), 0); end != tdrelay.EndWhole {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}

// BenchmarkOpenStreams measures the memory of streams that wait for their
// next token. Callers and engine are bare connections, so that the router's
// share is what is seen.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	ends := make(chan struct{})
	var held []net.Conn
	go func() {
		defer close(ends)
		buf := make([]byte, 4<<10)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			held = append(held, c)
			_, _ = c.Read(buf)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
				`data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}`+"\n\n")
		}
	}()
	handler, key := front(b, ln.Addr().String())
	srv := httptest.NewServer(handler)
	for b.Loop() {
		before := inUse()
		callers := make([]net.Conn, streams)
		for n := range callers {
			callers[n] = openBare(b, srv.Listener.Addr().String(), key)
		}
		b.ReportMetric(float64(inUse()-before)/streams, "B/stream")
		for _, c := range callers {
			_ = c.Close()
		}
	}
	_ = ln.Close()
	<-ends
	for _, c := range held {
		_ = c.Close()
	}
	srv.Close()
}

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func openBare(b *testing.B, addr, key string) net.Conn {
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	body := ask("narrate", 16)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chat, key, len(body), body)
	var got []byte
	part := make([]byte, 512)
	for !bytes.Contains(got, []byte(`"content":"x"`)) {
		n, err := c.Read(part)
		if err != nil {
			b.Fatalf("%v after %s", err, got)
		}
		got = append(got, part[:n]...)
	}
	return c
}
