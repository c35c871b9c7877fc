package vm_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// unreadTime is how soon after the last byte of a request its connection may end without an
	// answer, if no server has the request.
	unreadTime = 200 * time.Millisecond
	// stopGrace is graceS of the nodes' settings.
	stopGrace = 8 * time.Second
)

// slowRequest is a request that is sent in two parts.
type slowRequest struct {
	name       string
	method     string
	path       string
	first      time.Duration // When the first part is sent, from the node's SIGTERM on.
	rest       time.Duration // When the rest is sent.
	headOnly   bool          // The first part is the whole head; otherwise its first line.
	connection time.Duration // When the connection is opened.
}

// ended is what came of a slowRequest.
type ended struct {
	answer   bool          // A complete answer that is framed by its length or in chunks.
	status   int           // Zero if no answer began.
	after    time.Duration // From the last byte of the request to the answer or the end of the connection.
	stopped  bool          // The last byte could not be sent: the connection had ended before.
	received bool          // A server has the request.
}

func (q *slowRequest) send(n *node, start time.Time) ended {
	time.Sleep(time.Until(start.Add(q.connection)))
	c, err := net.Dial("tcp", n.callers)
	if err != nil {
		return ended{stopped: true}
	}
	defer func() { _ = c.Close() }()
	const body = "0123456789"
	line := fmt.Sprintf("%s %s HTTP/1.1\r\n", q.method, q.path)
	head := fmt.Sprintf("Host: x.example\r\nX-Request-Id: s%d\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-a\r\nContent-Length: %d\r\n\r\n",
		requests.Add(1), len(body))
	first, rest := line, head+body
	if q.headOnly {
		first, rest = line+head, body
	}
	time.Sleep(time.Until(start.Add(q.first)))
	_, err = io.WriteString(c, first)
	time.Sleep(time.Until(start.Add(q.rest)))
	if err == nil {
		_, err = io.WriteString(c, rest)
	}
	sent := time.Now()
	if err != nil {
		return ended{stopped: true}
	}
	_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return ended{after: time.Since(sent)}
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return ended{answer: err == nil, status: res.StatusCode, after: time.Since(sent)}
}

// lateRequests are requests that come throughout the grace period.
func lateRequests(method, prefix string) []*slowRequest {
	var out []*slowRequest
	for at := 200 * time.Millisecond; at < stopGrace; at += 400 * time.Millisecond {
		for _, q := range []slowRequest{
			{name: "whole, on a connection opened before", first: at, rest: at},
			{name: "whole, on a new connection", first: at, rest: at, connection: at},
			{name: "head that trickles in", first: min(at, 2500*time.Millisecond), rest: at},
			{name: "body that trickles in", first: min(at, 2500*time.Millisecond), rest: at, headOnly: true},
		} {
			q.method, q.path = method, fmt.Sprintf("%s%d", prefix, requests.Add(1))
			q.name += " at " + at.String()
			out = append(out, &q)
		}
	}
	return out
}

var _ = Describe("a node that is stopped", func() {
	for _, c := range []struct {
		name   string
		method string
		prefix string
		take   time.Duration // How long the server takes; a tenth of it for an event of a stream.
		full   bool          // No server has room.
		ended  []int         // Statuses that callers may get.
	}{
		{"calls that may not be repeated and take 1 s", http.MethodPost, "/book/", time.Second, false, []int{200, 503}},
		{"calls that may not be repeated and take 4.5 s", http.MethodPost, "/book/", 4500 * time.Millisecond, false, []int{200, 503}},
		{"calls that may be repeated and take 4.5 s", http.MethodGet, "/look/", 4500 * time.Millisecond, false, []int{200, 502, 503}},
		{"calls that never end", http.MethodGet, "/look/", 20 * time.Second, false, []int{502, 503, 504}},
		{"streams that take 3 s", http.MethodPost, "/chat/", 3 * time.Second, false, []int{200, 503}},
		{"streams whose servers have no room", http.MethodPost, "/chat/", time.Second, true, []int{503}},
	} {
		// Guards against requests that are accepted late and cut with no answer at the end of the grace
		// period.
		It("answers "+c.name, func() {
			f := newFleet(2)
			f.waitReady()
			for _, s := range []*server{f.plain, f.engine, f.engine2} {
				s.update(func(s *server) {
					s.reject, s.delay = c.full, c.take
					if c.prefix == "/chat/" {
						s.events, s.delay = 10, c.take/10
					}
				})
			}
			stopping := f.nodes[0]
			sent := lateRequests(c.method, c.prefix)
			results := make([]ended, len(sent))
			start := time.Now()
			stopping.signal(syscall.SIGTERM)
			var wg sync.WaitGroup
			for k, q := range sent {
				wg.Go(func() { results[k] = q.send(stopping, start) })
			}
			exited := make(chan error, 1)
			go func() { exited <- stopping.cmd.Wait() }()
			Eventually(exited, stopGrace.String(), "10ms").Should(Receive(Succeed()))
			wg.Wait()
			received := make(map[string]bool)
			for _, s := range []*server{f.plain, f.engine, f.engine2} {
				for _, r := range s.received() {
					received[r.target] = received[r.target] || !r.rejected
				}
			}
			answered := 0
			for k, q := range sent {
				e := results[k]
				e.received = received[q.path]
				isStream := c.prefix == "/chat/" && e.status == http.StatusOK
				switch {
				case e.stopped:
					continue
				case e.status == 0:
					Expect(e.received).To(BeFalse(), "%s: no answer, a server has it", q.name)
					Expect(e.after).To(BeNumerically("<", unreadTime), "%s: no answer", q.name)
					continue
				}
				answered++
				Expect(e.answer || isStream).To(BeTrue(), "%s: %+v", q.name, e)
				Expect(slices.Contains(c.ended, e.status)).To(BeTrue(), "%s: %+v", q.name, e)
				if e.status == http.StatusServiceUnavailable {
					Expect(e.received).To(BeFalse(), "%s: answered as not run", q.name)
				}
			}
			Expect(answered).To(BeNumerically(">", 10))
			Expect(strings.Contains(stopping.out.String(), "drained")).To(BeTrue())
		})
	}
})
