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

// fakeDeps implements the dependencies of the front end and the flow.
type fakeDeps struct {
	view    *tarragondeal.View
	servers []tarragondeal.Server
}

func (p *fakeDeps) View() *tarragondeal.View       { return p.view }
func (p *fakeDeps) Changed() <-chan struct{}       { return nil }
func (p *fakeDeps) Servers() []tarragondeal.Server { return p.servers }
func (p *fakeDeps) Observe(tarragondeal.Sample)    {}
func (p *fakeDeps) Waste(tarragondeal.Waste)       {}

func (p *fakeDeps) Add(context.Context, tarragondeal.Usage) error { return nil }

func (p *fakeDeps) Admit(*tarragondeal.Workspace, *tarragondeal.Key, *tarragondeal.Route, int) (func(int), error) {
	return func(int) {}, nil
}

// newFront returns the handler of a front end that routes to one engine, and a
// valid key.
func newFront(b testing.TB, engine string) (http.Handler, string) {
	set, err := tdset.Parse("set", []byte(setText))
	if err != nil {
		b.Fatal(err)
	}
	text, key, err := tdkey.Issue("auditor", "auditors")
	if err != nil {
		b.Fatal(err)
	}
	set.Keys = []tarragondeal.Key{key}
	p := &fakeDeps{view: tarragondeal.NewView(1, set), servers: []tarragondeal.Server{{
		ID: "e", Pool: "narrator", DataCentre: "duluth", Addr: netip.MustParseAddrPort(engine), State: tarragondeal.VMLive,
	}}}
	flow := tdflow.New(tdflow.Deps{
		Dispatch: tdbaseline.New(tdbaseline.RoundRobin, p, nil, time.Second), Backend: tdbackend.New(), Meter: p, Burn: p,
		Guard: tdkey.NewGuard(p), Clock: tdclock.New(), Metrics: tally.NoopScope, Log: zerolog.Nop(),
	}, tdflow.Options{Attempts: 3, WriteTimeout: time.Second})
	return tdfront.New(tdfront.Deps{
		Config: p, Limiter: p, Flow: flow, Clock: tdclock.New(), Log: zerolog.Nop(),
	}, tdfront.Options{MaxBody: 1 << 20, BodyTimeout: time.Minute}).Handler(), text
}

// BenchmarkAddedLatency measures the latency that the router adds. It makes the
// same calls alternately to an engine and through the router to that engine, and
// measures the time to the first byte of an answer and to its end.
func BenchmarkAddedLatency(b *testing.B) {
	engine := httptest.NewServer(tdengine.New(tdengine.Options{Name: "e", Slots: 64}).Handler())
	defer engine.Close()
	handler, key := newFront(b, engine.Listener.Addr().String())
	router := httptest.NewServer(handler)
	defer router.Close()
	for _, c := range []struct{ name, body, end string }{
		{"stream16", chatBody("narrate", 16), "[DONE]\n\n"},
		{"stream1", chatBody("narrate", 1), "[DONE]\n\n"},
		{"plain", strings.Replace(chatBody("narrate", 16), "true", "false", 1), "}"},
	} {
		b.Run(c.name, func(b *testing.B) {
			direct, routed := newLatencies(), newLatencies()
			for n := 0; b.Loop(); n++ {
				if n < warmUpRounds {
					direct, routed = newLatencies(), newLatencies()
				}
				direct.measure(b, engine.URL, key, c.body, c.end)
				routed.measure(b, router.URL, key, c.body, c.end)
			}
			reportLatencies(b, "first", direct.firstByte, routed.firstByte)
			reportLatencies(b, "whole", direct.total, routed.total)
		})
	}
}

// warmUpRounds is the number of initial rounds that are not counted.
const warmUpRounds = 200

type latencies struct{ firstByte, total *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)}
}

func (t *latencies) measure(b *testing.B, base, key, body, end string) {
	req, err := http.NewRequest(http.MethodPost, base+chatPath, strings.NewReader(body))
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
	_ = t.firstByte.RecordValue(time.Since(start).Nanoseconds())
	if err != nil {
		b.Fatal(err)
	}
	text, err := io.ReadAll(res.Body)
	_ = t.total.RecordValue(time.Since(start).Nanoseconds())
	_ = res.Body.Close()
	if err != nil || !bytes.HasSuffix(text, []byte(end)) {
		b.Fatalf("%v: %s", err, text)
	}
}

func reportLatencies(b *testing.B, name string, direct, routed *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 99} {
		d, t := float64(direct.ValueAtQuantile(q)), float64(routed.ValueAtQuantile(q))
		b.ReportMetric(d/1e3, fmt.Sprintf("µs-%s-p%g-direct", name, q))
		b.ReportMetric((t-d)/1e3, fmt.Sprintf("µs-%s-p%g-added", name, q))
		b.ReportMetric(t/d, fmt.Sprintf("ratio-%s-p%g", name, q))
	}
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ h http.Header }

func (n *discardWriter) Header() http.Header              { return n.h }
func (n *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (n *discardWriter) WriteHeader(int)                  {}
func (n *discardWriter) Flush()                           {}
func (n *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkRelay measures the time and allocations of relaying answers of
// several lengths.
func BenchmarkRelay(b *testing.B) {
	for _, events := range []int{16, 256, 4096} {
		b.Run(fmt.Sprint(events), func(b *testing.B) {
			one := `data: {"id":"q.1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"
			last := `data: {"id":"q.1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
			text := strings.Repeat(one, events) + last
			b.ReportAllocs()
			for b.Loop() {
				s := tdrelay.NewStream(&discardWriter{h: http.Header{}}, tdrelay.Options{WriteTimeout: time.Minute})
				if end, err := s.Feed(strings.NewReader(text), 0); end != tdrelay.EndComplete {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}

// BenchmarkOpenStreams measures the memory of the router for each stream that
// waits for its next token. Callers and engine are plain TCP connections, which
// add little to the memory of this process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan struct{})
	var conns []net.Conn
	go func() {
		defer close(accepted)
		buf := make([]byte, 4<<10)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns = append(conns, c)
			_, _ = c.Read(buf)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
				`data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}`+"\n\n")
		}
	}()
	handler, key := newFront(b, ln.Addr().String())
	srv := httptest.NewServer(handler)
	for b.Loop() {
		before := heapAndStack()
		callers := make([]net.Conn, streams)
		for n := range callers {
			callers[n] = openRawStream(b, srv.Listener.Addr().String(), key)
		}
		b.ReportMetric(float64(heapAndStack()-before)/streams, "B/stream")
		for _, c := range callers {
			_ = c.Close()
		}
	}
	_ = ln.Close()
	<-accepted
	for _, c := range conns {
		_ = c.Close()
	}
	srv.Close()
}

func heapAndStack() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func openRawStream(b *testing.B, addr, key string) net.Conn {
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	body := chatBody("narrate", 16)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, key, len(body), body)
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
