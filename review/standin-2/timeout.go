package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	configTime = 2 * time.Second // configMs of the settings.
	// longEvents is the number of events of a stream, and longEventTime the time between two of them.
	longEvents    = 13
	longEventTime = 200 * time.Millisecond
	// streamEvery is the time between two streams, at the nodes in turn.
	streamEvery = 100 * time.Millisecond
	// inForce is how long the second configuration is in force.
	inForce = configTime + time.Second
)

// streamCall is what became of a stream.
type streamCall struct {
	id     string
	node   string
	sent   time.Time
	ended  time.Time
	events int
	whole  bool
}

// timeoutCase takes the time-out off a route and puts it back.
type timeoutCase struct {
	f       *fleet
	trouble bool

	mu    sync.Mutex
	calls []streamCall
	runs  map[string]bool // Streams that a server has made to their end or goes on making.
}

func (c *timeoutCase) serve(e *engine, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	c.f.note("server %s runs %s, deadline %s", e.name, id, r.Header.Get("X-Deadline-Ms"))
	c.mu.Lock()
	c.runs[id] = true
	c.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range longEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			c.f.note("server %s is left alone by %s after event %d", e.name, id, n+1)
			return
		case <-time.After(longEventTime):
		}
	}
}

func (c *timeoutCase) call(d *node, id string) streamCall {
	out := streamCall{id: id, node: d.name, sent: time.Now()}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.front+"/help/"+id, strings.NewReader(strings.Repeat("x", 1400)))
	if err != nil {
		return out
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "715,280")
	req.Header.Set("X-Prompt-Prefix", "5c1e07a2:172,91bd3f06:543")
	req.Header.Set("Authorization", "Bearer key1")
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		out.events = strings.Count(string(body), "\n\n")
		out.whole = err == nil && res.StatusCode == http.StatusOK && out.events == longEvents
	}
	out.ended = time.Now()
	c.f.note("the caller of %s gets %d events from %s, error %v", id, out.events, d.name, err)
	return out
}

// route returns the route with a time-out in milliseconds; zero leaves it out.
func (c *timeoutCase) route(timeout float64) []route {
	return []route{{
		Name: "r-help", Host: host, Prefix: "/help/", Kind: "stream", TimeoutMS: timeout, SloMS: 300, Service: "model", MaxAttempts: 1, Sticky: true, GapSloMS: 400,
	}}
}

func (c *timeoutCase) run() (broken bool, err error) {
	f := c.f
	c.runs = make(map[string]bool)
	for n := range 9 {
		if _, err := f.addEngine(fmt.Sprintf("model%d", n+1), "model", zones[n%len(zones)], 64, c.serve); err != nil {
			return false, err
		}
	}
	models, keys := []string{"model"}, map[string][]string{"hule930": {"key1"}}
	f.putConfig(1, models, c.route(15000), keys)
	if err := f.addNodes(7); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go c.load(stop, done)
	time.Sleep(5 * time.Second)
	changed := time.Now()
	second := 12000.0
	if c.trouble {
		second = 0
	}
	f.putConfig(2, models, c.route(second), keys)
	time.Sleep(inForce)
	f.putConfig(3, models, c.route(15000), keys)
	time.Sleep(8 * time.Second)
	close(stop)
	<-done
	return c.check(changed), nil
}

// load calls the nodes in turn until stop is closed.
func (c *timeoutCase) load(stop, done chan struct{}) {
	defer close(done)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(streamEvery):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out := c.call(c.f.nodes[n%len(c.f.nodes)], fmt.Sprintf("s%d", n))
			c.mu.Lock()
			defer c.mu.Unlock()
			c.calls = append(c.calls, out)
		}()
	}
}

// check counts the streams that a server ran and a node cut, beside the two changes and at other times.
func (c *timeoutCase) check(changed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := changed.Add(2 * inForce) // The time beside the second change follows that of the first.
	beside, other := 0, 0
	machines := make(map[string]bool)
	for _, s := range c.calls {
		switch {
		case s.whole || !c.runs[s.id]:
		case s.sent.After(changed) && s.ended.Before(end):
			beside++
			machines[s.node] = true
		default:
			other++
		}
	}
	c.f.note("%d streams; beside the changes %d were cut, by %d machines, and %d at other times", len(c.calls), beside, len(machines), other)
	return beside > 0 && other == 0
}
